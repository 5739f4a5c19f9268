// The one table of settings: where each stands, its unit and range, what it
// means, and the member that it fills.
#pragma once

#include "adapters/settings.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cyclamenhold
{

// Gives the member of the settings that an entry fills.
template <class Value>
using member_of = Value& (*)(node_settings&);

using setting_member = std::variant<
    member_of<std::string>, member_of<std::uint32_t>, member_of<std::uint64_t>,
    member_of<std::chrono::milliseconds>, member_of<double>,
    member_of<ip_endpoint>, member_of<std::optional<ip_endpoint>>,
    member_of<std::vector<ip_endpoint>>, member_of<log_level>,
    member_of<interface_kind>, member_of<rate_sharing>,
    member_of<std::vector<std::string>>>;

enum class setting_presence : std::uint8_t
{
    optional,
    required
};

struct setting_entry
{
    // A JSON pointer.
    std::string_view place;
    setting_member member;
    setting_presence presence = setting_presence::optional;
    // For numbers and times.
    std::uint64_t lowest = 0;
    std::uint64_t highest = 0;
    std::string_view unit;
    std::string_view meaning;
};

[[nodiscard]] std::span<const setting_entry> settings_table();

} // namespace cyclamenhold
