#include "core/rates/demand_shares.hpp"

#include "core/node/control.hpp"
#include "core/rates/step.hpp"

#include <gtest/gtest.h>

#include <array>
#include <vector>

namespace cyclamenhold
{
namespace
{

constexpr double rate = 100.0;
constexpr double burst = 100.0;
const workspace_id school = workspace_id_of("school");

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
    explicit sharing_fleet(std::size_t count)
        : hosts(count), is_cut(count, false)
    {
        current.revision = 1;
        current.workspaces.push_back({"school", rate, burst});
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

int sum_of(const std::vector<int>& counts)
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
double allowed_in(double seconds)
{
    return (rate * seconds + burst) * 1.1 + 20.0;
}

TEST(demand_shares, follow_the_callers)
{
    sharing_fleet fleet(4);
    {
        SCOPED_TRACE("demand inside the rate at one host only is served");
        fleet.run({60, 0, 0, 0}, 3s);
        EXPECT_GE(fleet.run({60, 0, 0, 0}, 5s)[0], 290);
    }
    {
        SCOPED_TRACE("it moves to another host, which serves it soon");
        fleet.run({0, 0, 60, 0}, 2s);
        EXPECT_GE(fleet.run({0, 0, 60, 0}, 5s)[2], 290);
    }
    {
        SCOPED_TRACE("many times the rate at all hosts stays within it");
        fleet.run({300, 300, 100, 20}, 3s);
        const int sum = sum_of(fleet.run({300, 300, 100, 20}, 5s));
        EXPECT_LE(sum, allowed_in(5.0));
        EXPECT_GE(sum, rate * 5.0 * 0.9);
    }
}

TEST(demand_shares, sides_of_a_cut_stay_inside_the_rate_together)
{
    sharing_fleet fleet(6);
    const std::vector<double> demand(6, 80.0);
    fleet.run(demand, 4s);
    fleet.is_cut = {true, true, false, false, false, false};
    for (int window = 0; window < 4; ++window)
    {
        SCOPED_TRACE(window);
        EXPECT_LE(sum_of(fleet.run(demand, 5s)), allowed_in(5.0));
    }
    {
        SCOPED_TRACE("each side serves its part");
        const auto served = fleet.run(demand, 5s);
        EXPECT_NEAR(served[0] + served[1], rate * 5 / 3, 25);
    }
    {
        SCOPED_TRACE("after the cut the whole rate is used again");
        fleet.is_cut.assign(6, false);
        fleet.run(demand, 3s);
        EXPECT_GE(sum_of(fleet.run(demand, 5s)), rate * 5 * 0.95);
    }
}

TEST(demand_shares, all_hosts_start_at_once)
{
    sharing_fleet fleet(12);
    // Two and a half times the rate from the first moment.
    const std::vector<double> demand(12, 2.5 * rate / 12.0);
    EXPECT_LE(sum_of(fleet.run(demand, 5s)), allowed_in(5.0));
}

TEST(demand_shares, a_burst_is_granted_in_each_window)
{
    sharing_fleet fleet(4);
    for (const auto& host : fleet.hosts)
    {
        host->rates.settings.window = 5s;
    }
    {
        SCOPED_TRACE("a tenth more than the rate is served for long");
        const std::vector<double> demand{50, 30, 20, 10};
        fleet.run(demand, 5s);
        EXPECT_GE(sum_of(fleet.run(demand, 20s)), 110 * 20 * 0.97);
    }
    {
        SCOPED_TRACE("no window has more than the stated bound allows");
        const std::vector<double> demand(4, 200.0);
        for (int window = 0; window < 5; ++window)
        {
            EXPECT_LE(sum_of(fleet.run(demand, 5s)), allowed_in(5.0));
        }
    }
}

TEST(demand_shares, a_token_that_was_not_used_comes_back)
{
    sharing_fleet fleet(1);
    fleet.run({0}, 3s);
    auto& limiter = fleet.hosts[0]->limiter;
    int taken = 0;
    while (take_token(limiter, school, 1, fleet.now, fleet.now).verdict ==
           token_verdict::admitted)
    {
        ++taken;
    }
    EXPECT_GE(taken, 99);
    give_back_token(limiter, school, fleet.now);
    EXPECT_EQ(
        take_token(limiter, school, 1, fleet.now, fleet.now).verdict,
        token_verdict::admitted);
    EXPECT_EQ(
        take_token(limiter, school, 1, fleet.now, fleet.now).verdict,
        token_verdict::refused);
}

} // namespace
} // namespace cyclamenhold
