// Hosts that share one workspace's rate by demand, on a virtual clock.
#pragma once

#include "core/node/control.hpp"
#include "core/rates/demand_shares.hpp"
#include "core/rates/rates_context.hpp"

#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <vector>

namespace cyclamenhold
{

// Requests a second, and requests.
constexpr double rate = 100.0;
constexpr double burst = 100.0;
inline const workspace_id school = workspace_id_of("school");

// Results of callers who arrive at random.
struct caller_counts
{
    int offered = 0;
    int admitted = 0;
    // Most admissions in any span of `rate_window`.
    int max_in_window = 0;
};

constexpr duration rate_window = 5s;

// One host with its limiter. The fleet sets its members and delivers its
// messages.
struct sharing_host
{
    host_id id = host_id::none;
    rates_state rates;
    rate_limiter limiter;
    membership_state members;
    // When a host became unreachable; zero for one that is reachable.
    std::map<host_id, time_point> unreachable_since;
    std::size_t messages_sent = 0;
    std::size_t bytes_sent = 0;
};

// From the loss of a host until the others suspect it.
constexpr duration detection_time = 1s;

struct sharing_fleet
{
    explicit sharing_fleet(
        std::size_t count, double school_rate = rate,
        double school_burst = burst, std::size_t data_centres = 1)
        : hosts(count), is_partitioned(count, false), is_down(count, false)
    {
        current.revision = 1;
        current.workspaces.push_back({"school", school_rate, school_burst});
        for (std::size_t i = 0; i < count; ++i)
        {
            hosts[i] = std::make_unique<sharing_host>();
            hosts[i]->id = static_cast<host_id>(i + 1);
            hosts[i]->rates.settings.sharing = rate_sharing::by_demand;
            hosts[i]->rates.settings.self = hosts[i]->id;
            hosts[i]->rates.settings.data_centre =
                data_centre_at(i % data_centres);
            hosts[i]->limiter.longest_wait = duration::zero();
            for (std::size_t other = 0; other < count; ++other)
            {
                if (other != i)
                {
                    const auto peer = static_cast<host_id>(other + 1);
                    member& entry = hosts[i]->members.members[peer];
                    entry.host = peer;
                    entry.state = member_state::alive;
                    entry.data_centre = data_centre_at(other % data_centres);
                }
            }
        }
    }

    // Runs for `time` and offers `demand[i]` requests a second at host i.
    // Returns the number of requests that each host admitted.
    std::vector<int> run(const std::vector<double>& demand, duration time)
    {
        note_faults();
        std::vector<int> admitted(hosts.size(), 0);
        std::vector<double> pending(hosts.size(), 0.0);
        for (const time_point end = now + time; now < end; now += 10ms)
        {
            for (std::size_t i = 0; i < hosts.size(); ++i)
            {
                tick(*hosts[i], i);
                for (pending[i] += demand[i] / 100.0; pending[i] >= 1.0;
                     pending[i] -= 1.0)
                {
                    const auto answer =
                        take_token(hosts[i]->limiter, school, 1, now, now);
                    admitted[i] +=
                        answer.verdict == token_verdict::admitted ? 1 : 0;
                }
            }
        }
        return admitted;
    }

    // Runs for `time` with independent callers, `demand[i]` a second at host i
    // on average. They wait for a token up to the limiter's `longest_wait`.
    caller_counts run_random(const std::vector<double>& demand, duration time)
    {
        note_faults();
        caller_counts counts;
        std::deque<time_point> recent;
        const auto admit = [&]
        {
            ++counts.admitted;
            recent.push_back(now);
            while (now - recent.front() >= rate_window)
            {
                recent.pop_front();
            }
            counts.max_in_window =
                std::max(counts.max_in_window, static_cast<int>(recent.size()));
        };
        token_waiter next_waiter = 1;
        for (const time_point end = now + time; now < end; now += 10ms)
        {
            for (std::size_t i = 0; i < hosts.size(); ++i)
            {
                tick(*hosts[i], i);
                if (is_down[i])
                {
                    continue;
                }
                const auto settled = settle_waiters(hosts[i]->limiter, now);
                for (std::size_t n = 0; n < settled.admitted.size(); ++n)
                {
                    admit();
                }
                std::poisson_distribution<int> callers(demand[i] / 100.0);
                for (int count = callers(random); count > 0; --count)
                {
                    ++counts.offered;
                    const auto answer = take_token(
                        hosts[i]->limiter, school, next_waiter++, now + 5s,
                        now);
                    if (answer.verdict == token_verdict::admitted)
                    {
                        admit();
                    }
                }
            }
        }
        return counts;
    }

    static data_centre_id data_centre_at(std::size_t position)
    {
        return data_centre_id_of("data centre " + std::to_string(position));
    }

    // Members change only after a fault.
    void note_faults()
    {
        const auto is_mixed = [](const std::vector<bool>& values)
        {
            return std::ranges::find(values, !values.front()) != values.end();
        };
        had_faults =
            had_faults || is_mixed(is_partitioned) || is_mixed(is_down);
    }

    // Hosts on the other side of a partition, and those that are down, are
    // suspected after `detection_time`, as membership does.
    void update_members(sharing_host& host, std::size_t index)
    {
        for (auto& [peer, entry] : host.members.members)
        {
            const auto position = static_cast<std::size_t>(peer) - 1;
            const bool is_reachable =
                is_partitioned[index] == is_partitioned[position] &&
                !is_down[position];
            time_point& since = host.unreachable_since[peer];
            since = is_reachable            ? time_point{}
                    : since == time_point{} ? now
                                            : since;
            const member_state next =
                is_reachable || now - since < detection_time
                    ? member_state::alive
                    : member_state::suspect;
            if (entry.state != next)
            {
                entry.state = next;
                entry.changed_at = now;
                ++host.members.version;
            }
        }
    }

    void tick(sharing_host& host, std::size_t index)
    {
        if (is_down[index])
        {
            return;
        }
        if (had_faults)
        {
            update_members(host, index);
        }
        control_actions actions;
        const rates_inputs inputs{current, host.members, host.limiter};
        rates_tick(host.rates, inputs, now, random, actions);
        deliver(index, actions);
    }

    // Delivers messages, and the replies to them, at once.
    void deliver(std::size_t from, const control_actions& actions)
    {
        for (const auto& message : actions.messages)
        {
            const auto to = static_cast<std::size_t>(message.to) - 1;
            ++hosts[from]->messages_sent;
            hosts[from]->bytes_sent += message.payload.size();
            if (is_partitioned[from] != is_partitioned[to] || is_down[to])
            {
                continue;
            }
            control_actions replies;
            const rates_inputs peer_inputs{
                current, hosts[to]->members, hosts[to]->limiter};
            rates_on_message(
                hosts[to]->rates, peer_inputs,
                {hosts[from]->id, message.kind, message.payload}, now, random,
                replies);
            deliver(to, replies);
        }
    }

    configuration current;
    std::vector<std::unique_ptr<sharing_host>> hosts;
    // Hosts on the other side of a network partition.
    std::vector<bool> is_partitioned;
    // Hosts that neither run nor receive.
    std::vector<bool> is_down;
    bool had_faults = false;
    time_point now{100s};
    random_source random{5};
};

inline int sum_of(const std::vector<int>& counts)
{
    int sum = 0;
    for (const int count : counts)
    {
        sum += count;
    }
    return sum;
}

// Most admissions in a window by the documented bound: a tenth more than rate x
// window + burst, and twenty requests.
inline double allowed_in(double seconds)
{
    return (rate * seconds + burst) * 1.1 + 20.0;
}

} // namespace cyclamenhold
