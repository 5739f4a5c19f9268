// Callers within the limits of many workspaces, a few large ones and many with
// a few requests a second over all hosts, whose demand moves between data
// centres.
#include "support/sharing_fleet.hpp"

#include <gtest/gtest.h>

#include <array>
#include <string>
#include <vector>

namespace cyclamenhold
{
namespace
{

constexpr std::size_t host_count = 83;
constexpr std::size_t data_centre_count = 3;
constexpr std::size_t workspace_count = 84;
constexpr std::size_t large_count = 4;
// Deployments allow a workspace 1.6 times its usual demand.
constexpr double rate_to_demand = 1.6;

// One workspace with its limit and where its callers are.
struct skewed_workspace
{
    workspace_id id = workspace_id::none;
    double rate = 0.0;
    // The part of its callers in each data centre.
    std::vector<double> parts;
    std::deque<time_point> recent;
    int offered = 0;
    int admitted = 0;
    int max_in_window = 0;
};

struct skewed_counts
{
    // Admitted by offered, of the large and of the other workspaces.
    double large = 0.0;
    double others = 0.0;
    // The workspace that admits the least part.
    double least = 1.0;
    bool is_bounded = true;
};

struct skewed_fleet
{
    skewed_fleet()
        : fleet(host_count, large_rate(0), large_rate(0), data_centre_count)
    {
        fleet.detects_in_turn = true;
        for (const auto& host : fleet.hosts)
        {
            host->rates.settings.window = rate_window;
            host->rates.settings.overage = overage;
            host->rates.settings.slack = slack;
            host->limiter.longest_wait = 200ms;
            host->limiter.has_loans = false;
        }
        for (std::size_t n = 0; n < workspace_count; ++n)
        {
            const std::string name =
                n == 0 ? "school" : "school " + std::to_string(n);
            const double per_second = n < large_count
                                          ? large_rate(n)
                                          : 3.0 + static_cast<double>(n % 12);
            if (n != 0)
            {
                fleet.current.workspaces.push_back(
                    {name, per_second, per_second});
            }
            workspaces.push_back({workspace_id_of(name), per_second, {}, {}});
        }
        spread_alike();
    }

    static double large_rate(std::size_t n)
    {
        return 470.0 / static_cast<double>(n + 1);
    }

    void spread_alike()
    {
        for (auto& entry : workspaces)
        {
            entry.parts.assign(data_centre_count, 1.0 / data_centre_count);
        }
    }

    // Most callers of each workspace go to one data centre, another one each
    // turn.
    void move_callers(std::size_t turn)
    {
        for (std::size_t n = 0; n < workspace_count; ++n)
        {
            workspaces[n].parts.assign(data_centre_count, 0.05);
            workspaces[n].parts[(n + turn) % data_centre_count] = 0.9;
        }
    }

    // Runs with callers at random, `factor` of the rate of each workspace.
    skewed_counts run(double factor, duration time)
    {
        for (auto& entry : workspaces)
        {
            entry.offered = entry.admitted = entry.max_in_window = 0;
        }
        fleet.note_faults();
        for (const time_point end = fleet.now + time; fleet.now < end;
             fleet.now += 10ms)
        {
            for (std::size_t i = 0; i < host_count; ++i)
            {
                fleet.tick(*fleet.hosts[i], i);
                settle(*fleet.hosts[i]);
            }
            for (std::size_t n = 0; n < workspace_count; ++n)
            {
                std::poisson_distribution<int> callers(
                    factor * workspaces[n].rate / 100.0);
                for (int count = callers(fleet.random); count > 0; --count)
                {
                    arrive(n);
                }
            }
        }
        return counts();
    }

    void settle(sharing_host& host)
    {
        for (const token_waiter waiter :
             settle_waiters(host.limiter, fleet.now).admitted)
        {
            admit(workspaces[waiter % workspace_count]);
        }
    }

    void admit(skewed_workspace& entry)
    {
        ++entry.admitted;
        entry.recent.push_back(fleet.now);
        while (fleet.now - entry.recent.front() >= rate_window)
        {
            entry.recent.pop_front();
        }
        entry.max_in_window = std::max(
            entry.max_in_window, static_cast<int>(entry.recent.size()));
    }

    void arrive(std::size_t n)
    {
        skewed_workspace& entry = workspaces[n];
        std::discrete_distribution<std::size_t> data_centres(
            entry.parts.begin(), entry.parts.end());
        std::size_t i = 0;
        do
        {
            std::uniform_int_distribution<std::size_t> pick(
                0, host_count / data_centre_count);
            i = data_centres(fleet.random) +
                pick(fleet.random) * data_centre_count;
        } while (i >= host_count || fleet.is_down[i]);
        ++entry.offered;
        last_waiter += workspace_count;
        const auto answer = take_token(
            fleet.hosts[i]->limiter, entry.id, last_waiter + n, fleet.now + 5s,
            fleet.now);
        if (answer.verdict == token_verdict::admitted)
        {
            admit(entry);
        }
    }

    [[nodiscard]] skewed_counts counts() const
    {
        skewed_counts result;
        std::array<int, 2> offered{};
        std::array<int, 2> admitted{};
        for (std::size_t n = 0; n < workspace_count; ++n)
        {
            const skewed_workspace& entry = workspaces[n];
            const std::size_t group = n < large_count ? 0 : 1;
            offered[group] += entry.offered;
            admitted[group] += entry.admitted;
            result.least =
                std::min(result.least, fraction(entry.admitted, entry.offered));
            const double allowed =
                entry.rate * (to_seconds(rate_window) + 1.0) * (1.0 + overage) +
                slack;
            result.is_bounded =
                result.is_bounded && entry.max_in_window <= allowed;
        }
        result.large = fraction(admitted[0], offered[0]);
        result.others = fraction(admitted[1], offered[1]);
        return result;
    }

    static double fraction(int admitted, int offered)
    {
        return offered == 0 ? 1.0 : static_cast<double>(admitted) / offered;
    }

    static constexpr double overage = 0.1;
    static constexpr double slack = 20.0;
    sharing_fleet fleet;
    std::vector<skewed_workspace> workspaces;
    token_waiter last_waiter = 0;
};

void record(const std::string& phase, const skewed_counts& counts)
{
    testing::Test::RecordProperty(
        phase + "_large", std::to_string(counts.large));
    testing::Test::RecordProperty(
        phase + "_others", std::to_string(counts.others));
}

// Guards against refusals within the limit when callers move to another data
// centre: their tokens stayed in the pools that they had left, until the shares
// had followed.
TEST(rate_skew, callers_who_move_are_admitted_within_their_limits)
{
    skewed_fleet skewed;
    skewed.run(1.0 / rate_to_demand, 4s);
    for (std::size_t turn = 0; turn < 3; ++turn)
    {
        SCOPED_TRACE(turn);
        skewed.move_callers(turn);
        const auto moved = skewed.run(1.0 / rate_to_demand, 2s);
        record("moved_" + std::to_string(turn), moved);
        EXPECT_GE(moved.large, 0.99);
        EXPECT_GE(moved.others, 0.98);
        EXPECT_TRUE(moved.is_bounded);
    }
    {
        SCOPED_TRACE("with the whole rate");
        skewed.move_callers(0);
        const auto moved = skewed.run(1.0, 3s);
        record("whole_rate", moved);
        EXPECT_GE(moved.large, 0.98);
        EXPECT_GE(moved.others, 0.98);
        EXPECT_TRUE(moved.is_bounded);
    }
    {
        SCOPED_TRACE("beyond the limit");
        skewed.move_callers(1);
        EXPECT_TRUE(skewed.run(3.0, 3s).is_bounded);
    }
}

// Guards against refusals at a demand of the whole rate, whose random variation
// in each data centre exceeds what the share there brings.
TEST(rate_skew, callers_of_the_whole_rate_are_admitted_in_calm)
{
    skewed_fleet skewed;
    skewed.run(1.0, 5s);
    const auto counts = skewed.run(1.0, 4s);
    record("calm", counts);
    EXPECT_GE(counts.large, 0.98);
    EXPECT_GE(counts.others, 0.98);
    EXPECT_TRUE(counts.is_bounded);
}

} // namespace
} // namespace cyclamenhold
