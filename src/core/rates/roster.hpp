// The roster of a data centre: the hosts that share its rates. It is one value
// in the platform's store, changed by compare-and-swap, and only when hosts
// join or are removed. Members also send it to each other.
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
    // The incarnation that was added. A later incarnation of the same host
    // waits for one term, since the earlier one may have leased out its weight.
    incarnation added = 0;
    // Index of the roster that added the member.
    std::uint64_t joined = 0;
    bool operator==(const roster_member&) const = default;
};

struct roster
{
    // Increases by one with each change; 0 when no roster is known.
    std::uint64_t index = 0;
    // Version of the value in the platform, for compare-and-swap.
    std::uint64_t platform_version = 0;
    // Sorted by host.
    std::vector<roster_member> members;
    // Number of recently removed members. A host that has not seen the removals
    // itself does not use their weight before the removal time has passed.
    std::uint32_t removed_lately = 0;
    bool operator==(const roster&) const = default;
};

// Null when the host is not a member.
[[nodiscard]] const roster_member*
find_member(const roster& hosts, host_id host);
[[nodiscard]] inline bool contains(const roster& hosts, host_id host)
{
    return find_member(hosts, host) != nullptr;
}

// The smallest majority of this number of members.
[[nodiscard]] constexpr std::size_t majority_of(std::size_t members)
{
    return members / 2 + 1;
}

// The roster as JSON, as stored in the platform. Parsing returns nothing for a
// malformed value.
[[nodiscard]] std::string serialize_roster(const roster& hosts);
[[nodiscard]] std::optional<roster>
parse_roster(std::string_view text, std::uint64_t platform_version);
[[nodiscard]] std::string roster_key(data_centre_id data_centre);

// The next roster, with these hosts added or this one removed.
// `others_removed_lately`: an earlier removal is still counted in
// `removed_lately`.
[[nodiscard]] roster
with_members(const roster& hosts, const std::vector<roster_member>& added);
[[nodiscard]] roster without_member(
    const roster& hosts, host_id removed, bool others_removed_lately);

} // namespace cyclamenhold
