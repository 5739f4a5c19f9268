// The table of all settings: place in the file, unit, range, meaning, and the
// member that holds the value. Parsing and the reference page both use it.
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

// Returns the member of node_settings that an entry sets.
template <class Value>
using member_accessor = Value& (*)(node_settings&);

using setting_member = std::variant<
    member_accessor<std::string>, member_accessor<std::uint32_t>,
    member_accessor<std::uint64_t>, member_accessor<std::chrono::milliseconds>,
    member_accessor<double>, member_accessor<ip_endpoint>,
    member_accessor<std::optional<ip_endpoint>>,
    member_accessor<std::vector<ip_endpoint>>, member_accessor<log_level>,
    member_accessor<interface_kind>, member_accessor<rate_sharing>,
    member_accessor<std::vector<std::string>>>;

enum class setting_presence : std::uint8_t
{
    optional,
    required
};

struct setting_entry
{
    // JSON pointer to the setting.
    std::string_view place;
    setting_member member;
    setting_presence presence = setting_presence::optional;
    // Inclusive range; only for numbers and durations, both zero otherwise.
    std::uint64_t lowest = 0;
    std::uint64_t highest = 0;
    std::string_view unit;
    std::string_view meaning;
};

[[nodiscard]] std::span<const setting_entry> settings_table();

} // namespace cyclamenhold
