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

constexpr double rate = 100.0;
constexpr double burst = 100.0;
inline const workspace_id school = workspace_id_of("school");

// What callers who come at random got.
struct caller_counts
{
    int offered = 0;
    int admitted = 0;
    // The most that was admitted in any span of `rate_window`.
    int most_in_window = 0;
};

constexpr duration rate_window = 5s;

// One host with its limiter; members and messages are moved by the test.
struct sharing_host
{
    host_id id = host_id::none;
    rates_state rates;
    rate_limiter limiter;
    membership_state members;
};

struct sharing_fleet
{
    explicit sharing_fleet(
        std::size_t count, double school_rate = rate,
        double school_burst = burst)
        : hosts(count), is_cut(count, false)
    {
        current.revision = 1;
        current.workspaces.push_back({"school", school_rate, school_burst});
        for (std::size_t i = 0; i < count; ++i)
        {
            hosts[i] = std::make_unique<sharing_host>();
            hosts[i]->id = static_cast<host_id>(i + 1);
            hosts[i]->rates.settings.sharing = rate_sharing::by_demand;
            hosts[i]->rates.settings.self = hosts[i]->id;
            hosts[i]->limiter.longest_wait = duration::zero();
            for (std::size_t other = 0; other < count; ++other)
            {
                if (other != i)
                {
                    const auto peer = static_cast<host_id>(other + 1);
                    member& known = hosts[i]->members.members[peer];
                    known.host = peer;
                    known.state = member_state::alive;
                }
            }
        }
    }

    // Lets time pass, offering `demand[i]` requests a second at host i; returns
    // what each admitted.
    std::vector<int> run(const std::vector<double>& demand, duration time)
    {
        std::vector<int> admitted(hosts.size(), 0);
        std::vector<double> owed(hosts.size(), 0.0);
        for (const time_point end = now + time; now < end; now += 10ms)
        {
            for (std::size_t i = 0; i < hosts.size(); ++i)
            {
                tick(*hosts[i], i);
                for (owed[i] += demand[i] / 100.0; owed[i] >= 1.0;
                     owed[i] -= 1.0)
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

    // Callers who come independently of each other, `demand[i]` a second at
    // host i on average, and wait for a token as long as the limiter lets them.
    caller_counts run_random(const std::vector<double>& demand, duration time)
    {
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
            counts.most_in_window = std::max(
                counts.most_in_window, static_cast<int>(recent.size()));
        };
        token_waiter next_waiter = 1;
        for (const time_point end = now + time; now < end; now += 10ms)
        {
            for (std::size_t i = 0; i < hosts.size(); ++i)
            {
                tick(*hosts[i], i);
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

    void tick(sharing_host& host, std::size_t index)
    {
        control_actions actions;
        const rates_inputs inputs{current, host.members, host.limiter};
        rates_tick(host.rates, inputs, now, random, actions);
        for (const auto& message : actions.messages)
        {
            const auto to = static_cast<std::size_t>(message.to) - 1;
            if (is_cut[index] != is_cut[to])
            {
                continue;
            }
            control_actions ignored;
            const rates_inputs theirs{
                current, hosts[to]->members, hosts[to]->limiter};
            rates_on_message(
                hosts[to]->rates, theirs,
                {host.id, message.kind, message.payload}, now, random, ignored);
        }
    }

    configuration current;
    std::vector<std::unique_ptr<sharing_host>> hosts;
    // Hosts on the other side of a cut.
    std::vector<bool> is_cut;
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

// What the stated bound allows in a window: a tenth more than rate and burst,
// and twenty requests.
inline double allowed_in(double seconds)
{
    return (rate * seconds + burst) * 1.1 + 20.0;
}

} // namespace cyclamenhold
