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
    time_point members_updated_at{};
    std::size_t messages_sent = 0;
    std::size_t bytes_sent = 0;
};

// From the loss of a host until the others suspect it.
constexpr duration detection_time = 1s;
// Of a fleet that detects losses in turn.
constexpr duration probe_interval = 500ms;
constexpr duration probe_timeout = 700ms;

struct sharing_fleet
{
    explicit sharing_fleet(
        std::size_t count, double school_rate = rate,
        double school_burst = burst, std::size_t data_centres = 1)
        : data_centre_count(data_centres),
          hosts(count),
          is_partitioned(count, false),
          is_down(count, false),
          is_isolated(count, false),
          met_at(count, time_point::min())
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
        recent.clear();
        return run_on(demand, time);
    }

    // As run_random, but windows also include admissions of earlier runs.
    caller_counts run_on(const std::vector<double>& demand, duration time)
    {
        note_faults();
        caller_counts counts;
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
        had_faults = had_faults || is_mixed(is_partitioned) ||
                     is_mixed(is_down) || is_mixed(is_isolated);
    }

    // Replaces the processes of all hosts by new ones, which do not know each
    // other yet. Each host meets the others within `time`.
    void restart_all(duration time)
    {
        std::uniform_int_distribution<std::int64_t> moment(0, time.count());
        for (std::size_t i = 0; i < hosts.size(); ++i)
        {
            const auto settings = hosts[i]->rates.settings;
            auto next = std::make_unique<sharing_host>();
            next->id = hosts[i]->id;
            next->limiter.longest_wait = hosts[i]->limiter.longest_wait;
            next->limiter.has_loans = hosts[i]->limiter.has_loans;
            next->members.seed.others_listed = others_listed;
            control_actions actions;
            rates_start(next->rates, settings, now, random, actions);
            hosts[i] = std::move(next);
            met_at[i] = now + duration(moment(random));
        }
        had_faults = true;
    }

    [[nodiscard]] bool is_reachable(std::size_t from, std::size_t to) const
    {
        return is_partitioned[from] == is_partitioned[to] && !is_down[to] &&
               !is_isolated[from] && !is_isolated[to] &&
               !(is_pair_cut &&
                 from % data_centre_count + to % data_centre_count == 1);
    }

    // Hosts that `index` can reach, with itself.
    [[nodiscard]] std::size_t side_of(std::size_t index) const
    {
        std::size_t count = 1;
        for (std::size_t other = 0; other < hosts.size(); ++other)
        {
            count += other != index && is_reachable(index, other) ? 1 : 0;
        }
        return count;
    }

    // From the loss of `peer` until `index` suspects it.
    [[nodiscard]] duration detection_time_of(
        std::size_t index, std::size_t peer, std::size_t side) const
    {
        if (!detects_in_turn)
        {
            return detection_time;
        }
        // Each host probes one member at a time and reports what it finds to
        // those it can reach. `turn` orders the members at random.
        const std::size_t turn =
            (peer * 7919 + index * (side == 1 ? 104729 : 0)) % hosts.size();
        return probe_timeout + probe_interval * (turn / side);
    }

    // Adds the members that this host and the others have met.
    void meet_members(sharing_host& host, std::size_t index)
    {
        if (met_at[index] > now ||
            host.members.members.size() + 1 == hosts.size())
        {
            return;
        }
        for (std::size_t other = 0; other < hosts.size(); ++other)
        {
            const auto peer = static_cast<host_id>(other + 1);
            if (other == index || host.members.members.contains(peer) ||
                met_at[other] > now || !is_reachable(index, other))
            {
                continue;
            }
            member& entry = host.members.members[peer];
            entry.host = peer;
            entry.state = member_state::alive;
            entry.data_centre = data_centre_at(other % data_centre_count);
            ++host.members.version;
        }
    }

    // Hosts on the other side of a partition, and those that are down, are
    // suspected after `detection_time`, as membership does.
    void update_members(sharing_host& host, std::size_t index)
    {
        const std::size_t side = detects_in_turn ? side_of(index) : 1;
        for (auto& [peer, entry] : host.members.members)
        {
            const auto position = static_cast<std::size_t>(peer) - 1;
            const bool is_in_reach = is_reachable(index, position);
            time_point& since = host.unreachable_since[peer];
            since = is_in_reach             ? time_point{}
                    : since == time_point{} ? now
                                            : since;
            const member_state next =
                is_in_reach ||
                        now - since < detection_time_of(index, position, side)
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
        constexpr duration member_interval = 50ms;
        if (had_faults && now - host.members_updated_at >= member_interval)
        {
            host.members_updated_at = now;
            meet_members(host, index);
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
            if (!is_reachable(from, to) || is_message_lost())
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

    bool is_message_lost()
    {
        return loss > 0.0 && std::bernoulli_distribution(loss)(random);
    }

    configuration current;
    std::size_t data_centre_count = 1;
    std::vector<std::unique_ptr<sharing_host>> hosts;
    // Hosts on the other side of a network partition.
    std::vector<bool> is_partitioned;
    // Hosts that neither run nor receive.
    std::vector<bool> is_down;
    // Hosts that reach no other host.
    std::vector<bool> is_isolated;
    // The first two data centres do not reach each other, but all others.
    bool is_pair_cut = false;
    // Entries of other hosts that the platform lists to one that starts.
    std::size_t others_listed = 0;
    // When a host meets the others after restart_all.
    std::vector<time_point> met_at;
    // The part of all messages that are lost.
    double loss = 0.0;
    // Hosts detect the loss of others one after the other, as membership does,
    // and not all at the same time.
    bool detects_in_turn = false;
    // Admissions of the last rate_window.
    std::deque<time_point> recent;
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
