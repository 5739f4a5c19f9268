// Follows what the local upstream says of itself, and its silence. Used from
// the control thread.
#pragma once

#include "adapters/caller_session.hpp"
#include "core/base/time.hpp"

#include <optional>

namespace cyclamenhold
{

// An upstream that has not repeated its announcement for so long is gone: eight
// of the platform's intervals, for announcements may be seconds late and a
// crash shows in refused connections at once.
constexpr auto announcement_timeout = std::chrono::milliseconds(12'000);

struct upstream_monitor
{
    upstream_record record;
    asio::ip::tcp::endpoint endpoint;
    // The process that the record is about, as it names itself.
    std::string id;
    std::uint64_t started_ms = 0;
    std::uint64_t sequence = 0;
    // It said that it is gone; its late announcements are not believed.
    bool has_left = false;
    // Tells one upstream process from the next; grows with each.
    std::uint64_t incarnation = 0;
    time_point announced_at{};
    time_point warm_until{};
};

[[nodiscard]] asio::ip::tcp::endpoint endpoint_of(const ip_endpoint& endpoint);

// Each returns the record to spread when it has changed.
[[nodiscard]] std::optional<upstream_record> on_announcement(
    upstream_monitor& monitor, const upstream_announcement& announcement,
    time_point now);
[[nodiscard]] std::optional<upstream_record>
on_drain(upstream_monitor& monitor);
[[nodiscard]] std::optional<upstream_record>
on_leave(upstream_monitor& monitor, const upstream_departure& departure);
[[nodiscard]] std::optional<upstream_record>
check_upstream(upstream_monitor& monitor, time_point now);

} // namespace cyclamenhold
