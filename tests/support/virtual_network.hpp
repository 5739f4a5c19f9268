// The virtual clock, the events on it and the links between nodes.
#pragma once

#include "support/virtual_node.hpp"

namespace cyclamenhold::testing_support
{

// The node's monotonic clock at the true time `when`.
[[nodiscard]] inline time_point
local_time(const virtual_node& node, time_point when)
{
    return time_point(
        node.offset + duration(static_cast<duration::rep>(
                          static_cast<double>(when.time_since_epoch().count()) *
                          (1.0 + node.drift))));
}

// The true time at which the node's clock reads `local`, or one hour from `now`
// when `local` is time_point::max().
[[nodiscard]] inline time_point
true_time(const virtual_node& node, time_point local, time_point now)
{
    if (local == time_point::max())
    {
        return now + 1h;
    }
    const auto since = local.time_since_epoch() - node.offset;
    return time_point(duration(static_cast<duration::rep>(
               static_cast<double>(since.count()) / (1.0 + node.drift)))) +
           1ns;
}

[[nodiscard]] inline std::uint64_t
wall_time_ms(const virtual_node& node, time_point when)
{
    constexpr std::uint64_t epoch_ms = 1'796'000'000'000;
    return epoch_ms + node.wall_offset_ms +
           static_cast<std::uint64_t>(to_milliseconds(
               local_time(node, when).time_since_epoch() - node.offset));
}

class virtual_network
{
public:
    virtual_network(std::uint64_t seed, const link_faults& faults)
        : faults_(faults), random_(seed ^ 0x6e657477)
    {
    }

    // Returns whether messages from the first node reach the second; empty when
    // all links are up. Tests set partitions here.
    std::function<bool(const virtual_node&, const virtual_node&)> is_link_up;

    void set_faults(const link_faults& faults)
    {
        faults_ = faults;
    }

    [[nodiscard]] time_point now() const
    {
        return now_;
    }

    [[nodiscard]] time_point next_event() const
    {
        return events_.empty() ? time_point::max()
                               : events_.begin()->first.first;
    }

    void advance_to(time_point when)
    {
        now_ = std::max(now_, when);
    }

    void run_next()
    {
        auto entry = events_.extract(events_.begin());
        entry.mapped()();
    }

    void at(time_point when, std::function<void()> function)
    {
        events_.emplace(
            std::pair(std::max(when, now_), ++last_event_),
            std::move(function));
    }

    // Calls `arrive` when the message is delivered, and not at all when it is
    // lost. Delivery to a paused node is deferred to the end of the pause.
    void transmit(
        const virtual_node& from, virtual_node& to, transport via,
        const std::function<void()>& arrive)
    {
        if (random_fraction(random_) < faults_.loss)
        {
            return;
        }
        time_point when = now_ + delay();
        if (via == transport::stream)
        {
            time_point& last = last_delivery_[{from.host, to.host}];
            when = std::max(when, last + 1ns);
            last = when;
        }
        else if (random_fraction(random_) < faults_.duplication)
        {
            deliver_at(now_ + delay() * 3, from, to, arrive);
        }
        deliver_at(when, from, to, arrive);
    }

private:
    duration delay()
    {
        const auto span = static_cast<std::uint64_t>(
            (faults_.longest_delay - faults_.shortest_delay).count());
        const duration extra_delay =
            random_fraction(random_) < faults_.extra_delay_probability
                ? from_seconds(
                      random_fraction(random_) *
                      to_seconds(faults_.longest_extra_delay))
                : duration::zero();
        return faults_.shortest_delay + extra_delay +
               duration(random_below(random_, span + 1));
    }

    void deliver_at(
        time_point when, const virtual_node& from, virtual_node& to,
        const std::function<void()>& arrive)
    {
        at(when,
           [this, &from, &to, arrive]
           {
               if (is_link_up && !is_link_up(from, to))
               {
                   return;
               }
               if (to.paused_until > now_)
               {
                   deliver_at(to.paused_until, from, to, arrive);
                   return;
               }
               if (to.up)
               {
                   arrive();
               }
           });
    }

    link_faults faults_;
    random_source random_;
    time_point now_{1s};
    std::map<std::pair<time_point, std::uint64_t>, std::function<void()>>
        events_;
    std::uint64_t last_event_ = 0;
    std::map<std::pair<host_id, host_id>, time_point> last_delivery_;
};

} // namespace cyclamenhold::testing_support
