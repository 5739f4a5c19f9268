// Tracks the state of the local upstream from its announcements and detects
// when they stop. Used from the control thread.
#pragma once

#include "adapters/caller_session.hpp"
#include "core/base/time.hpp"

#include <optional>

namespace cyclamenhold
{

// An upstream without an announcement for 12 s is considered absent. These are
// eight intervals of the platform, because announcements may be seconds late; a
// crash is detected at once from refused connections.
constexpr auto announcement_timeout = std::chrono::milliseconds(12'000);

struct upstream_monitor
{
    upstream_record record;
    asio::ip::tcp::endpoint endpoint;
    // The id that the announced process has reported for itself.
    std::string id;
    std::uint64_t started_ms = 0;
    std::uint64_t sequence = 0;
    // The process has announced its departure; its late announcements are
    // ignored.
    bool has_left = false;
    // Identifies the upstream process; incremented for each new one.
    std::uint64_t incarnation = 0;
    time_point announced_at{};
    time_point warm_until{};
    // The upstream may have become cold since its last announcement; one that
    // arrives from this time on shows whether it has. Zero if there is no
    // doubt.
    time_point cold_known_from{};
};

// Whether the upstream is announced and takes requests.
[[nodiscard]] bool is_accepting(const upstream_monitor& monitor);

[[nodiscard]] asio::ip::tcp::endpoint endpoint_of(const ip_endpoint& endpoint);

// Each returns the record to advertise if it has changed.
[[nodiscard]] std::optional<upstream_record> on_announcement(
    upstream_monitor& monitor, const upstream_announcement& announcement,
    time_point now);
// The configuration names this rate for the service's cold upstreams.
[[nodiscard]] std::optional<upstream_record>
on_cold_rate(upstream_monitor& monitor, double rate);
// A reply of the upstream said that it stays cold for this time.
[[nodiscard]] std::optional<upstream_record>
on_cold(upstream_monitor& monitor, duration remaining, time_point now);
// The upstream may have become cold without an announcement. It is considered
// cold until one says that it isn't.
[[nodiscard]] std::optional<upstream_record>
suspect_cold(upstream_monitor& monitor, time_point now);
[[nodiscard]] std::optional<upstream_record>
on_drain(upstream_monitor& monitor);
[[nodiscard]] std::optional<upstream_record>
on_leave(upstream_monitor& monitor, const upstream_departure& departure);
[[nodiscard]] std::optional<upstream_record>
check_upstream(upstream_monitor& monitor, time_point now);

} // namespace cyclamenhold
