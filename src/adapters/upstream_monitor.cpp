#include "adapters/upstream_monitor.hpp"

namespace cyclamenhold
{
namespace
{

std::optional<upstream_record>
change_state(upstream_monitor& monitor, upstream_state state)
{
    if (monitor.record.state == state)
    {
        return std::nullopt;
    }
    monitor.record.state = state;
    return monitor.record;
}

bool is_announced(const upstream_monitor& monitor)
{
    return monitor.record.state != upstream_state::absent;
}

} // namespace

std::optional<upstream_record> on_announcement(
    upstream_monitor& monitor, const upstream_announcement& announcement,
    time_point now)
{
    const bool same_process =
        is_announced(monitor) && monitor.endpoint == announcement.endpoint &&
        monitor.record.service == announcement.record.service;
    monitor.announced_at = now;
    if (!same_process)
    {
        monitor.record = announcement.record;
        monitor.endpoint = announcement.endpoint;
        monitor.warm_until = now + announcement.warm_up;
        monitor.record.state = announcement.warm_up > duration::zero()
                                   ? upstream_state::warming
                                   : upstream_state::serving;
        return monitor.record;
    }
    const bool resized =
        monitor.record.slots != announcement.record.slots ||
        monitor.record.connections != announcement.record.connections;
    if (!resized)
    {
        return std::nullopt;
    }
    monitor.record.slots = announcement.record.slots;
    monitor.record.connections = announcement.record.connections;
    return monitor.record;
}

std::optional<upstream_record> on_drain(upstream_monitor& monitor)
{
    if (!is_announced(monitor))
    {
        return std::nullopt;
    }
    return change_state(monitor, upstream_state::draining);
}

std::optional<upstream_record> on_leave(upstream_monitor& monitor)
{
    return change_state(monitor, upstream_state::absent);
}

std::optional<upstream_record>
check_upstream(upstream_monitor& monitor, time_point now)
{
    if (!is_announced(monitor))
    {
        return std::nullopt;
    }
    // A draining upstream finishes its work without announcing itself.
    if (monitor.record.state != upstream_state::draining &&
        now - monitor.announced_at > announcement_timeout)
    {
        return change_state(monitor, upstream_state::absent);
    }
    if (monitor.record.state == upstream_state::warming &&
        now >= monitor.warm_until)
    {
        return change_state(monitor, upstream_state::serving);
    }
    return std::nullopt;
}

} // namespace cyclamenhold
