// Rates that are divided among so many hosts that each host's part is less than
// one request, on a virtual clock.
#include "core/request/refusal_inputs.hpp"
#include "support/sharing_fleet.hpp"

#include <gtest/gtest.h>

namespace cyclamenhold
{
namespace
{

constexpr double overage = 0.1;
constexpr double slack = 20.0;
// The fraction of refused requests that the deployments' rules consider small.
constexpr double small_shortfall = 0.05;
// Deployments allow a workspace 1.6 times its usual demand.
constexpr double rate_to_demand = 1.6;

// A fleet in five data centres with one workspace whose callers use all hosts
// alike.
struct large_fleet
{
    explicit large_fleet(std::size_t count, double workspace_rate)
        : fleet(count, workspace_rate, workspace_rate, 5),
          usual(count, workspace_rate / rate_to_demand / to_number(count)),
          allowed(
              (workspace_rate * to_seconds(rate_window) + workspace_rate) *
                  (1.0 + overage) +
              slack)
    {
        for (const auto& host : fleet.hosts)
        {
            host->rates.settings.window = rate_window;
            host->rates.settings.overage = overage;
            host->rates.settings.slack = slack;
            host->limiter.longest_wait = 200ms;
            host->limiter.has_loans = false;
        }
    }

    static double to_number(std::size_t count)
    {
        return static_cast<double>(count);
    }

    // The usual demand times `factor`.
    [[nodiscard]] std::vector<double> demand(double factor) const
    {
        std::vector<double> scaled = usual;
        for (double& value : scaled)
        {
            value *= factor;
        }
        return scaled;
    }

    sharing_fleet fleet;
    std::vector<double> usual;
    // Most admissions in a window by the stated bound.
    double allowed = 0.0;
};

double refused_fraction(const caller_counts& counts)
{
    return 1.0 - static_cast<double>(counts.admitted) /
                     static_cast<double>(std::max(1, counts.offered));
}

// Guards against refusals within the rate: with a share at each host, a bucket
// held at most one token, and more than a quarter of the callers were refused.
TEST(token_pools, thin_callers_within_the_rate_are_admitted)
{
    for (const std::size_t count : {96, 300})
    {
        for (const double workspace_rate : {30.0, 100.0})
        {
            SCOPED_TRACE(std::to_string(count) + " hosts");
            SCOPED_TRACE(workspace_rate);
            large_fleet large(count, workspace_rate);
            large.fleet.run_random(large.usual, 5s);
            const auto counts = large.fleet.run_random(large.usual, 20s);
            EXPECT_LE(refused_fraction(counts), small_shortfall);
            EXPECT_LE(counts.max_in_window, large.allowed);
        }
    }
}

// Guards against admissions beyond the bound when each of many hosts has a
// token in its bucket and demand rises 7.5 times: 77 of 73 allowed at 96 hosts,
// 273 of 218 at 300 hosts with a share at each host.
TEST(token_pools, surge_at_many_hosts_stays_within_the_bound)
{
    for (const double workspace_rate : {8.0, 30.0})
    {
        SCOPED_TRACE(workspace_rate);
        large_fleet large(300, workspace_rate);
        large.fleet.run_random(large.usual, 5s);
        const auto counts = large.fleet.run_random(large.demand(7.5), 7s);
        EXPECT_LE(counts.max_in_window, large.allowed);
        EXPECT_GE(counts.admitted, workspace_rate * 7.0 * 0.9);
    }
}

// Guards against callers who are refused for long after the host that holds
// their pool has stopped without notice.
TEST(token_pools, another_host_replaces_one_that_is_down)
{
    large_fleet large(96, 100.0);
    large.fleet.run_random(large.usual, 5s);
    const std::uint32_t shard = shard_of(school);
    const host_id holder =
        large.fleet.hosts[0]->rates.pools.hosts.local[shard][0];
    const auto position = static_cast<std::size_t>(holder) - 1;
    large.fleet.is_down[position] = true;
    std::vector<double> others = large.usual;
    others[position] = 0.0;
    {
        SCOPED_TRACE("two seconds later callers are admitted as before");
        const auto first = large.fleet.run_random(others, 2s);
        EXPECT_LE(first.max_in_window, large.allowed);
        const auto counts = large.fleet.run_random(others, 10s);
        EXPECT_LE(refused_fraction(counts), small_shortfall);
        EXPECT_LE(counts.max_in_window, large.allowed);
    }
    {
        SCOPED_TRACE("its return admits no more than the bound");
        large.fleet.is_down[position] = false;
        large.fleet.run_random(large.usual, 1s);
        const auto surge = large.fleet.run_random(large.demand(7.5), 7s);
        EXPECT_LE(surge.max_in_window, large.allowed);
    }
}

// Guards against callers of a whole data centre who get nothing for two seconds
// because the host that replaces a lost holder may not use the share yet.
TEST(token_pools, other_data_centres_lend_when_a_holder_is_lost)
{
    large_fleet large(96, 100.0);
    large.fleet.run_random(large.usual, 5s);
    const host_id holder =
        large.fleet.hosts[0]->rates.pools.hosts.local[shard_of(school)][0];
    const auto position = static_cast<std::size_t>(holder) - 1;
    large.fleet.is_down[position] = true;
    // All callers are in the data centre of the lost holder.
    std::vector<double> demand(96, 0.0);
    for (std::size_t i = 0; i < demand.size(); i += 5)
    {
        demand[i] = i == position ? 0.0 : 0.4 * 100.0 / 19.0;
    }
    const auto lost = large.fleet.run_on(demand, 2s);
    RecordProperty("refused", std::to_string(refused_fraction(lost)));
    EXPECT_LE(refused_fraction(lost), 0.25);
    const auto surge = large.fleet.run_on(large.demand(7.5), 5s);
    EXPECT_LE(surge.max_in_window, large.allowed);
}

// Guards against a host that admits nothing because it cannot reach its pool,
// and against the sum of such hosts and the pools exceeding the bound.
TEST(token_pools, hosts_that_are_cut_off_use_their_own_part)
{
    large_fleet large(96, 100.0);
    large.fleet.run_random(large.usual, 5s);
    // Sixteen hosts of all data centres, each cut off from the others.
    for (std::size_t i = 0; i < 16; ++i)
    {
        large.fleet.is_partitioned[i] = true;
    }
    for (int window = 0; window < 4; ++window)
    {
        SCOPED_TRACE(window);
        const auto counts = large.fleet.run_random(large.demand(7.5), 5s);
        EXPECT_LE(counts.max_in_window, large.allowed);
        EXPECT_GE(counts.admitted, 100.0 * 5.0 * 0.8);
    }
}

// Guards against a host that uses its whole part as soon as its last pool is
// silent, because another one has been silent for long: the pools have not
// detected yet that the host is gone.
TEST(token_pools, silence_counts_from_the_last_pool_that_answered)
{
    large_fleet large(30, 100.0);
    large.fleet.run_random(large.usual, 1s);
    const std::uint32_t shard = shard_of(school);
    sharing_host& host = *large.fleet.hosts[0];
    const auto& pools = host.rates.pools.hosts.local[shard];
    ASSERT_EQ(pools.size(), pool_hosts_per_data_centre);
    const rates_inputs inputs{large.fleet.current, host.members, host.limiter};
    control_actions actions;
    const rates_context context{
        host.rates, inputs, large.fleet.now, large.fleet.random, actions};
    host.rates.pools.contacts[pools[0]].silent_since = large.fleet.now - 9s;
    EXPECT_FALSE(silence_of_pools(context, shard));
    host.rates.pools.contacts[pools[1]].silent_since = large.fleet.now - 200ms;
    EXPECT_EQ(silence_of_pools(context, shard), duration(200ms));
}

// Guards against demand that is followed too slowly when the callers of one
// data centre move to another.
TEST(token_pools, demand_that_moves_is_followed_within_a_second)
{
    large_fleet large(95, 100.0);
    const auto at = [&](std::size_t data_centre)
    {
        std::vector<double> demand(95, 0.0);
        for (std::size_t i = data_centre; i < 95; i += 5)
        {
            demand[i] = 100.0 / rate_to_demand / 19.0;
        }
        return demand;
    };
    large.fleet.run_random(at(0), 5s);
    const auto moving = large.fleet.run_random(at(1), 1s);
    EXPECT_LE(moving.max_in_window, large.allowed);
    const auto moved = large.fleet.run_random(at(1), 10s);
    EXPECT_LE(refused_fraction(moved), small_shortfall);
    EXPECT_LE(moved.max_in_window, large.allowed);
}

// Guards against control traffic that grows with the square of the hosts: each
// host sent two reports a second to each other one.
TEST(token_pools, messages_of_a_host_do_not_grow_with_the_fleet)
{
    const auto messages_a_second = [](std::size_t count)
    {
        constexpr double rate_per_host = 2.0;
        large_fleet large(count, rate_per_host * large_fleet::to_number(count));
        large.fleet.run_random(large.usual, 5s);
        for (const auto& host : large.fleet.hosts)
        {
            host->messages_sent = 0;
        }
        large.fleet.run_random(large.usual, 10s);
        std::size_t sum = 0;
        for (const auto& host : large.fleet.hosts)
        {
            sum += host->messages_sent;
        }
        return static_cast<double>(sum) / static_cast<double>(count) / 10.0;
    };
    const double at_30 = messages_a_second(30);
    const double at_300 = messages_a_second(300);
    EXPECT_LE(at_300, 1.3 * at_30);
    RecordProperty("messages_at_30", std::to_string(at_30));
    RecordProperty("messages_at_300", std::to_string(at_300));
}

// Guards against callers who are held until the end of the longest wait though
// the pool has said that no token comes before, and against a Retry-After that
// ignores the pool.
TEST(token_pools, callers_who_cannot_be_served_in_time_are_refused_at_once)
{
    const time_point now{100s};
    rate_limiter limiter;
    limiter.longest_wait = 200ms;
    limit_workspaces(limiter, {school}, now);
    set_own_allowance(
        limiter, school, {0.0, 1.0, now + 3s, allowance_role::pooled}, now);
    EXPECT_EQ(
        take_token(limiter, school, 1, now + 5s, now).verdict,
        token_verdict::waiting);
    set_pool_refill(limiter, school, now + 700ms);
    {
        SCOPED_TRACE("the one who waits, and the next one");
        EXPECT_EQ(settle_waiters(limiter, now).expired.size(), 1U);
        const auto refused = take_token(limiter, school, 2, now + 5s, now);
        EXPECT_EQ(refused.verdict, token_verdict::refused);
        EXPECT_EQ(refused.retry_after, duration(700ms));
        const auto text = rate_inputs(request_tables{}, "school", refused);
        EXPECT_NE(text.find("no token for 700 ms"), std::string::npos) << text;
    }
    {
        SCOPED_TRACE("shortly before the refill callers wait again");
        EXPECT_EQ(
            take_token(limiter, school, 3, now + 5s, now + 600ms).verdict,
            token_verdict::waiting);
        add_pool_tokens(limiter, school, 1.0, now + 2s, now + 650ms);
        EXPECT_EQ(settle_waiters(limiter, now + 650ms).admitted.size(), 1U);
    }
    {
        SCOPED_TRACE("tokens end with their term");
        add_pool_tokens(limiter, school, 1.0, now + 2s, now + 1s);
        EXPECT_NE(
            take_token(limiter, school, 4, now + 9s, now + 2s).verdict,
            token_verdict::admitted);
    }
}

} // namespace
} // namespace cyclamenhold
