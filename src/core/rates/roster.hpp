// The roster of a data centre: the hosts that share its rates. One value in
// the platform, changed by compare-and-swap only when hosts join or go for
// good; members learn it from each other.
#pragma once

#include "core/base/ids.hpp"
#include "core/base/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenhold
{

struct roster_member
{
    host_id host = host_id::none;
    // The life that was added. A later life of the same host has to wait out
    // a term, for the earlier one may have pledged its weight.
    incarnation added = 0;
    // The index of the roster that added it.
    std::uint64_t joined = 0;
    bool operator==(const roster_member&) const = default;
};

struct roster
{
    // Grows by one with each change; 0 is "none known".
    std::uint64_t index = 0;
    std::uint64_t platform_version = 0;
    // Sorted by host.
    std::vector<roster_member> members;
    // Members removed lately, whose weight may not be taken up yet by a host
    // that does not know when they went.
    std::uint32_t removed_lately = 0;
    bool operator==(const roster&) const = default;
};

[[nodiscard]] const roster_member*
find_member(const roster& hosts, host_id host);
[[nodiscard]] inline bool contains(const roster& hosts, host_id host)
{
    return find_member(hosts, host) != nullptr;
}

// More than half of this many members.
[[nodiscard]] constexpr std::size_t majority_of(std::size_t members)
{
    return members / 2 + 1;
}

// The value kept in the platform.
[[nodiscard]] std::string serialize_roster(const roster& hosts);
[[nodiscard]] std::optional<roster>
parse_roster(std::string_view text, std::uint64_t platform_version);
[[nodiscard]] std::string roster_key(data_centre_id data_centre);

// The next roster, with these hosts added or removed.
[[nodiscard]] roster
with_members(const roster& hosts, const std::vector<roster_member>& added);
[[nodiscard]] roster without_member(
    const roster& hosts, host_id removed, bool others_removed_lately);

} // namespace cyclamenhold
