// Follows what the local upstream says of itself, and its silence. Used from
// the control thread.
#pragma once

#include "adapters/caller_session.hpp"
#include "core/base/time.hpp"

#include <optional>

namespace cyclamenhold
{

// An upstream that has not repeated its announcement for so long is gone.
constexpr auto announcement_timeout = std::chrono::milliseconds(3'500);

struct upstream_monitor
{
    upstream_record record;
    asio::ip::tcp::endpoint endpoint;
    time_point announced_at{};
    time_point warm_until{};
};

// Each returns the record to spread when it has changed.
[[nodiscard]] std::optional<upstream_record> on_announcement(
    upstream_monitor& monitor, const upstream_announcement& announcement,
    time_point now);
[[nodiscard]] std::optional<upstream_record>
on_drain(upstream_monitor& monitor);
[[nodiscard]] std::optional<upstream_record>
on_leave(upstream_monitor& monitor);
[[nodiscard]] std::optional<upstream_record>
check_upstream(upstream_monitor& monitor, time_point now);

} // namespace cyclamenhold
