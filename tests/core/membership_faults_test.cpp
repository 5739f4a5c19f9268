// A property test of 12 nodes under random faults. Invariants: the revision of
// a node never decreases, each revision has one configuration, the results of
// commits are correct, and all nodes agree within 90 s after the faults end.
#include "core/configuration/chain.hpp"
#include "core/configuration/chain_format.hpp"
#include "support/fake_fleet.hpp"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace cyclamenhold
{
namespace
{

const std::vector<std::string> three_data_centres{"brno", "olomouc", "zlin"};
constexpr std::size_t node_count = 12;
constexpr duration agreement_timeout = 90s;
constexpr int max_faults = 25;

enum class fault : std::uint8_t
{
    noisy_links,
    cut_data_centre,
    cut_one_way,
    cut_inside,
    restore_links,
    kill,
    restart,
    pause,
    platform_down,
    platform_slow,
    platform_loses_answers,
    platform_recovers,
    expire_leases,
    cut_from_platform,
    commit,
    racing_commits,
    count
};

struct requested_commit
{
    std::size_t node = 0;
    std::uint64_t node_incarnation = 0;
    std::string operation_id;
};

struct test_state
{
    explicit test_state(std::uint64_t seed) : fleet(seed), random(seed + 1) {}

    fake_fleet fleet;
    random_source random;
    std::map<commit_token, requested_commit> requested_commits;
    // The newest revision of each node, by incarnation of the node.
    std::map<std::pair<std::size_t, std::uint64_t>, std::uint64_t> newest;
    std::map<std::uint64_t, std::uint64_t> hash_of_revision;
    std::string violation;
};

std::size_t random_node(test_state& state)
{
    return random_below(state.random, node_count);
}

void check_revisions(test_state& state)
{
    for (std::size_t place = 0; place < state.fleet.nodes.size(); ++place)
    {
        const fleet_node& node = state.fleet.nodes[place];
        if (!node.running)
        {
            continue;
        }
        const std::uint64_t revision = node.chain->current->revision;
        auto& newest = state.newest[{place, node.incarnation}];
        if (revision < newest)
        {
            state.violation = "a revision was reverted";
        }
        newest = revision;
        const auto [known, added] = state.hash_of_revision.try_emplace(
            revision, node.chain->chain_hash);
        if (!added && known->second != node.chain->chain_hash)
        {
            state.violation = "two configurations under one revision";
        }
    }
}

void request_commit(test_state& state, std::size_t place)
{
    fleet_node& node = state.fleet.nodes[place];
    if (!node.running || state.fleet.now < node.paused_until)
    {
        return;
    }
    const commit_token token = state.requested_commits.size() + 1;
    const std::string id = "op-" + std::to_string(token);
    state.requested_commits[token] = {place, node.incarnation, id};
    run_on_node(
        state.fleet, place,
        [&](fleet_node& self, time_point now, random_source& random,
            control_actions& actions)
        {
            chain_commit(
                *self.chain, token, self.chain->current->revision, id,
                R"({"operations":[{"op":"put-workspace","name":")" + id +
                    R"(","rate":1,"burst":1}]})",
                now, random, actions);
        });
}

void cut_links(test_state& state, fault kind)
{
    const host_id one = state.fleet.nodes[random_node(state)].host;
    const std::string& name = three_data_centres[random_below(state.random, 3)];
    const std::uint64_t half = random_below(state.random, 64);
    if (kind == fault::cut_data_centre)
    {
        state.fleet.is_link_up =
            [name](const fleet_node& from, const fleet_node& to)
        {
            return (from.data_centre_name == name) ==
                   (to.data_centre_name == name);
        };
    }
    if (kind == fault::cut_one_way)
    {
        state.fleet.is_link_up =
            [one, half](const fleet_node& from, const fleet_node& to)
        {
            return from.host != one ||
                   (static_cast<std::uint64_t>(to.host) >> 16) % 3 == half % 3;
        };
    }
    if (kind == fault::cut_inside)
    {
        state.fleet.is_link_up =
            [half](const fleet_node& from, const fleet_node& to)
        {
            const auto side = [half](const fleet_node& node)
            {
                const auto address =
                    static_cast<std::uint64_t>(node.host) >> 16;
                return ((address * 7 + half) >> 2) % 2;
            };
            return side(from) == side(to);
        };
    }
}

void break_platform(test_state& state, fault kind)
{
    store_faults& faults = state.fleet.platform.faults;
    faults.down = kind == fault::platform_down;
    faults.delay = kind == fault::platform_slow ? 3s : 0s;
    faults.lose_answer_probability =
        kind == fault::platform_loses_answers ? 0.5 : 0.0;
}

void inject_fault(test_state& state, fault kind)
{
    fake_fleet& fleet = state.fleet;
    const std::size_t place = random_node(state);
    switch (kind)
    {
    case fault::noisy_links:
        fleet.faults = {0.2, 0.1, 0us, 300ms};
        return;
    case fault::cut_data_centre:
    case fault::cut_one_way:
    case fault::cut_inside:
        cut_links(state, kind);
        return;
    case fault::restore_links:
        fleet.is_link_up = {};
        fleet.faults = {};
        return;
    case fault::kill:
        crash_node(fleet, place);
        return;
    case fault::restart:
        crash_node(fleet, place);
        // In half of the restarts, the wall clocks are set back by 5 s.
        fleet.wall_clock_ms -= random_below(state.random, 2) * 5000;
        start_node(fleet, place);
        return;
    case fault::pause:
        fleet.nodes[place].paused_until =
            fleet.now +
            std::chrono::seconds(1 + random_below(state.random, 45));
        return;
    case fault::platform_down:
    case fault::platform_slow:
    case fault::platform_loses_answers:
    case fault::platform_recovers:
        break_platform(state, kind);
        return;
    case fault::expire_leases:
        store_expire_all_leases(fleet.platform, fleet.now);
        return;
    case fault::cut_from_platform:
        cut_from_platform(fleet, place);
        return;
    case fault::commit:
        request_commit(state, place);
        return;
    case fault::racing_commits:
        request_commit(state, place);
        request_commit(state, random_node(state));
        request_commit(state, random_node(state));
        return;
    case fault::count:
        return;
    }
}

void run_checked(test_state& state, duration span)
{
    run_until(
        state.fleet, state.fleet.now + span,
        [&]
        {
            check_revisions(state);
        });
}

void end_faults(test_state& state)
{
    fake_fleet& fleet = state.fleet;
    fleet.is_link_up = {};
    fleet.faults = {0.01, 0.0, 500us, 1500us};
    fleet.platform.faults = {};
    for (std::size_t place = 0; place < node_count; ++place)
    {
        fleet_node& node = fleet.nodes[place];
        node.cut_from_platform = false;
        node.paused_until = std::min(node.paused_until, fleet.now);
        if (!node.running)
        {
            start_node(fleet, place);
        }
    }
}

// Returns the operation ids of the chain stored in the platform.
std::vector<std::string> chain_in_platform(const fake_fleet& fleet)
{
    std::vector<std::string> ids;
    for (const auto& [key, stored] : fleet.platform.values)
    {
        if (key.starts_with(change_prefix))
        {
            ids.push_back(parse_change(stored.value)->operation_id);
        }
    }
    return ids;
}

// Returns the first wrong result of a commit, or an empty string.
std::string check_results(const test_state& state)
{
    const auto chain = chain_in_platform(state.fleet);
    for (const auto& [token, requested] : state.requested_commits)
    {
        const fleet_node& node = state.fleet.nodes[requested.node];
        if (node.incarnation != requested.node_incarnation)
        {
            continue;
        }
        const auto result = std::ranges::find(
            node.chain->results, token, &commit_result::token);
        if (result == node.chain->results.end())
        {
            return requested.operation_id + " has no result";
        }
        const auto found = std::ranges::find(chain, requested.operation_id);
        const bool is_present = found != chain.end();
        const auto revision =
            static_cast<std::uint64_t>(found - chain.begin()) + 1;
        const bool denied = result->status == commit_status::conflict ||
                            result->status == commit_status::invalid;
        if (result->status == commit_status::committed &&
            (!is_present || revision != result->revision))
        {
            return requested.operation_id +
                   " is not in the chain at its reported revision";
        }
        if (denied && is_present)
        {
            return requested.operation_id +
                   " was reported rejected but is in the chain";
        }
    }
    return state.violation;
}

// Returns what the nodes disagree about, or an empty string.
std::string check_agreement(test_state& state)
{
    fake_fleet& fleet = state.fleet;
    const auto same_revision = [&]
    {
        const std::uint64_t head = chain_in_platform(fleet).size();
        return std::ranges::all_of(
            fleet.nodes,
            [&](const fleet_node& node)
            {
                return node.chain->current->revision == head;
            });
    };
    const auto agrees = [&]
    {
        return is_converged(fleet) && same_revision();
    };
    if (!run_until_true(fleet, agreement_timeout, agrees))
    {
        return is_converged(fleet) ? "revisions differ" : "members differ";
    }
    run_checked(state, 20s);
    return agrees() ? "" : "agreement did not last";
}

// Runs a fleet with the faults. Returns the first violation, or an empty
// string.
std::string
run_faults(std::uint32_t seed, const std::vector<std::uint8_t>& faults)
{
    test_state state(seed);
    for (std::size_t place = 0; place < node_count; ++place)
    {
        add_node(
            state.fleet, three_data_centres[place % 3],
            std::chrono::milliseconds(random_below(state.random, 100'000)));
        state.fleet.nodes.back().clock_drift =
            (random_fraction(state.random) - 0.5) * 400e-6;
        start_node(state.fleet, place);
    }
    run_checked(state, 15s);
    for (const std::uint8_t kind : faults)
    {
        inject_fault(state, static_cast<fault>(kind));
        run_checked(
            state,
            std::chrono::milliseconds(random_below(state.random, 12'000)));
    }
    end_faults(state);
    if (std::string problem = check_agreement(state); !problem.empty())
    {
        return problem;
    }
    if (state.fleet.largest_datagram > max_datagram_payload)
    {
        return "a datagram was too large";
    }
    return check_results(state);
}

RC_GTEST_PROP(
    membership_faults, the_fleet_agrees_after_any_faults, (std::uint32_t seed))
{
    // The size limits the number of faults; each kind is drawn at every size.
    const auto kinds = rc::gen::resize(
        rc::kNominalSize, rc::gen::inRange<std::uint8_t>(
                              0, static_cast<std::uint8_t>(fault::count)));
    const auto faults = *rc::gen::resize(
        max_faults, rc::gen::container<std::vector<std::uint8_t>>(kinds));
    RC_ASSERT(run_faults(seed, faults) == "");
}

} // namespace
} // namespace cyclamenhold
