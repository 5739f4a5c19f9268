#include "adapters/upstream_monitor.hpp"

#include <utility>

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

bool is_same_process(
    const upstream_monitor& monitor, const upstream_announcement& announcement)
{
    return monitor.id == announcement.id &&
           monitor.started_ms == announcement.started_ms &&
           monitor.endpoint == endpoint_of(announcement.endpoint) &&
           monitor.record.service == announcement.record.service;
}

// True for an announcement of an earlier process, or of this process but not
// newer than the last one received.
bool is_outdated(
    const upstream_monitor& monitor, const upstream_announcement& announcement)
{
    if (announcement.started_ms == 0)
    {
        return false;
    }
    if (announcement.started_ms != monitor.started_ms)
    {
        return announcement.started_ms < monitor.started_ms;
    }
    return monitor.id == announcement.id &&
           (monitor.has_left || announcement.sequence <= monitor.sequence);
}

void start_incarnation(
    upstream_monitor& monitor, const upstream_announcement& announcement,
    time_point now)
{
    const bool draining = announcement.record.state == upstream_state::draining;
    monitor.record = announcement.record;
    monitor.endpoint = endpoint_of(announcement.endpoint);
    monitor.id = announcement.id;
    monitor.started_ms = announcement.started_ms;
    monitor.has_left = false;
    ++monitor.incarnation;
    monitor.cold_known_from = {};
    monitor.warm_until = now + announcement.warm_up;
    monitor.record.state = draining ? upstream_state::draining
                           : announcement.warm_up > duration::zero()
                               ? upstream_state::warming
                               : upstream_state::serving;
}

// An announcement that was sent before the upstream became cold may arrive
// after that.
constexpr duration announcement_delay = 500ms;

// Applies what an announcement of the known process says about its warm-up.
bool update_warm_up(upstream_monitor& monitor, duration warm_up, time_point now)
{
    const bool is_in_doubt = now < monitor.cold_known_from;
    if (warm_up == duration::zero() && is_in_doubt)
    {
        return false;
    }
    monitor.cold_known_from = {};
    monitor.warm_until = now + warm_up;
    const upstream_state state = warm_up > duration::zero()
                                     ? upstream_state::warming
                                     : upstream_state::serving;
    return std::exchange(monitor.record.state, state) != state;
}

// Whether a later announcement of a process tells how long it stays cold. Those
// without an id name the whole time since its start, if any; they only end an
// assumption.
bool says_what_remains(
    const upstream_monitor& monitor, const upstream_announcement& announcement)
{
    return !announcement.id.empty() || monitor.cold_known_from != time_point{};
}

} // namespace

bool is_accepting(const upstream_monitor& monitor)
{
    return monitor.record.state == upstream_state::warming ||
           monitor.record.state == upstream_state::serving;
}

asio::ip::tcp::endpoint endpoint_of(const ip_endpoint& endpoint)
{
    return {asio::ip::address_v4(endpoint.address), endpoint.port};
}

std::optional<upstream_record> on_announcement(
    upstream_monitor& monitor, const upstream_announcement& announcement,
    time_point now)
{
    if (is_outdated(monitor, announcement))
    {
        return std::nullopt;
    }
    monitor.sequence = announcement.sequence;
    monitor.announced_at = now;
    if (!is_announced(monitor) || !is_same_process(monitor, announcement))
    {
        start_incarnation(monitor, announcement, now);
        return monitor.record;
    }
    if (announcement.record.state == upstream_state::draining)
    {
        return on_drain(monitor);
    }
    const upstream_record& announced = announcement.record;
    const bool is_rewarmed = is_accepting(monitor) &&
                             says_what_remains(monitor, announcement) &&
                             update_warm_up(monitor, announcement.warm_up, now);
    const bool is_resized =
        monitor.record.slots != announced.slots ||
        monitor.record.connections != announced.connections ||
        monitor.record.cold_rate != announced.cold_rate;
    if (!is_resized && !is_rewarmed)
    {
        return std::nullopt;
    }
    monitor.record.slots = announced.slots;
    monitor.record.connections = announced.connections;
    monitor.record.cold_rate = announced.cold_rate;
    return monitor.record;
}

std::optional<upstream_record>
on_cold_rate(upstream_monitor& monitor, double rate)
{
    if (!is_announced(monitor) || monitor.record.cold_rate == rate)
    {
        return std::nullopt;
    }
    monitor.record.cold_rate = rate;
    return monitor.record;
}

std::optional<upstream_record>
on_cold(upstream_monitor& monitor, duration remaining, time_point now)
{
    if (!is_accepting(monitor) || remaining <= duration::zero())
    {
        return std::nullopt;
    }
    const bool is_new = update_warm_up(monitor, remaining, now);
    if (!monitor.id.empty())
    {
        monitor.cold_known_from = now + announcement_delay;
    }
    return is_new ? std::optional(monitor.record) : std::nullopt;
}

std::optional<upstream_record>
suspect_cold(upstream_monitor& monitor, time_point now)
{
    if (!is_accepting(monitor))
    {
        return std::nullopt;
    }
    monitor.cold_known_from = now + announcement_delay;
    monitor.warm_until = now + announcement_timeout;
    return change_state(monitor, upstream_state::warming);
}

std::optional<upstream_record> on_drain(upstream_monitor& monitor)
{
    if (!is_announced(monitor))
    {
        return std::nullopt;
    }
    return change_state(monitor, upstream_state::draining);
}

std::optional<upstream_record>
on_leave(upstream_monitor& monitor, const upstream_departure& departure)
{
    const bool is_other =
        departure.id != monitor.id ||
        (departure.started_ms != 0 && monitor.started_ms != 0 &&
         departure.started_ms != monitor.started_ms);
    if (is_other && !departure.id.empty())
    {
        return std::nullopt;
    }
    monitor.has_left = true;
    return change_state(monitor, upstream_state::absent);
}

std::optional<upstream_record>
check_upstream(upstream_monitor& monitor, time_point now)
{
    if (!is_announced(monitor))
    {
        return std::nullopt;
    }
    // A draining upstream finishes its requests without further announcements.
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
