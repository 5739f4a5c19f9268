#include "support/fleet_calls.hpp"
#include "support/fleet_faults.hpp"

#include <gtest/gtest.h>

#include <array>
#include <cstdio>

#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace cyclamenhold
{
namespace
{

using namespace testing_support;

const workspace_id school = workspace_id_of("school");

rc::Gen<fleet_fault> arbitrary_fault()
{
    return rc::gen::build<fleet_fault>(
        rc::gen::set(
            &fleet_fault::kind,
            rc::gen::map(
                rc::gen::inRange(0, fault_kind_count<fault_kind>),
                [](int kind)
                {
                    return static_cast<fault_kind>(kind);
                })),
        rc::gen::set(
            &fleet_fault::node, rc::gen::inRange<std::uint32_t>(0, 12)),
        rc::gen::set(
            &fleet_fault::milliseconds,
            rc::gen::inRange<std::uint32_t>(0, 3000)));
}

// Offers requests for the duration of a fault: at one node, or at all nodes in
// turn.
void offer_during(
    virtual_fleet& fleet, const fleet_fault& fault, double offered_rate)
{
    const time_point end =
        fleet.now() + std::chrono::milliseconds(fault.milliseconds);
    std::size_t number = fault.node;
    while (fleet.now() < end)
    {
        number += fault.kind == fault_kind::demand_at_node ? 0 : 1;
        fleet.offer(node_at(fleet, number), school, 2s);
        fleet.run_for(from_seconds(1.0 / offered_rate));
    }
}

// Applies the faults in turn under load, ends them all and checks that the
// fleet recovers. Returns a description of what was violated, or an empty
// string.
std::string run_rates_under_faults(
    const std::vector<fleet_fault>& faults, std::uint64_t seed,
    duration removal_time)
{
    fleet_options options;
    options.seed = seed;
    options.links = {0.01, 0.02, 200us, 3ms, 0.0005};
    options.fixed_members = seed % 8 != 0;
    options.rates.removal_time = removal_time;
    virtual_fleet fleet(options);
    fleet.settings = std::make_shared<const configuration>(
        rates_configuration(options, 60.0, 18.0));
    rate_oracle& oracle = fleet.oracles[school];
    oracle.rate = 60.0;
    oracle.burst = 18.0;
    std::string violation;
    fleet.after_event = [&](virtual_node&)
    {
        if (const double sum = largest_weight_sum(fleet, school);
            sum > 1.0 + 1e-9 && violation.empty())
        {
            violation = "weights in use sum to " + std::to_string(sum);
        }
    };
    fleet_cuts cuts;
    install_cuts(fleet, cuts);
    fleet.start_all();
    for (const auto& fault : faults)
    {
        apply_fault(fleet, cuts, fault);
        offer_during(fleet, fault, 90.0);
        if (oracle.highest_excess > 1e-6 && violation.empty())
        {
            violation = "admitted " + std::to_string(oracle.highest_excess) +
                        " above rate and burst";
        }
        if (!violation.empty())
        {
            return violation;
        }
    }
    end_faults(fleet, cuts);
    fleet.run_for(25s);
    const std::uint64_t before = oracle.admitted;
    offer_during(fleet, {fault_kind::demand_everywhere, 0, 4000}, 54.0);
    if (oracle.highest_excess > 1e-6)
    {
        return "admitted above rate and burst at the end";
    }
    if (!violation.empty())
    {
        return violation;
    }
    if (oracle.admitted - before < 54 * 4 * 97 / 100)
    {
        return "only " + std::to_string(oracle.admitted - before) +
               " of 216 admitted 25 s after the faults ended";
    }
    return {};
}

// Guards against admissions above rate and burst, weights in use that sum to
// more than the whole, and refusals below the rate after the faults have ended.
RC_GTEST_PROP(fleet_fuzz, rates_hold_under_faults, ())
{
    const auto faults = *rc::gen::scale(
        0.3, rc::gen::container<std::vector<fleet_fault>>(arbitrary_fault()));
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const bool quick_removal = *rc::gen::arbitrary<bool>();
    RC_ASSERT(
        run_rates_under_faults(
            faults, seed, quick_removal ? duration(14s) : duration(60s)) == "");
}

// An idempotency key with the time of its first use.
struct used_key
{
    std::string text;
    time_point first_used{};
};

// Returns a ticket issued by a node, a version 7 UUID or a key without a time.
std::string new_key(virtual_fleet& fleet, std::uint64_t number)
{
    virtual_node& node = node_at(fleet, random_below(fleet.random, 12));
    const std::uint64_t key_kind = random_below(fleet.random, 10);
    if (key_kind < 6 && node.up)
    {
        return claims_issue_ticket(
            node.control->claims, inputs_of_claims(*node.control), node.random);
    }
    if (key_kind < 9)
    {
        const auto ms = static_cast<unsigned long long>(fleet.wall_ms(node));
        std::array<char, 64> text{};
        std::snprintf(
            text.data(), text.size(), "%08llx-%04llx-7000-8000-%012llx",
            ms >> 16, ms & 0xffff, static_cast<unsigned long long>(number));
        return text.data();
    }
    return "order-" + std::to_string(number);
}

// Sends a new request, repeats an earlier one, or sends one with an invalid
// key.
void call_somewhere(
    virtual_fleet& fleet, virtual_calls& calls, std::vector<used_key>& keys)
{
    random_source& random = fleet.random;
    virtual_node& node = node_at(fleet, random_below(random, 12));
    if (random_below(random, 20) == 0)
    {
        calls.begin(node, "", invalid_key);
        return;
    }
    // Keys without a time are stored only for a limited time, so they are not
    // repeated after that.
    constexpr duration repeat_time = 10s;
    std::erase_if(
        keys,
        [&fleet, repeat_time](const used_key& key)
        {
            return key.first_used + repeat_time < fleet.now() &&
                   key.text.starts_with("order-");
        });
    if (!keys.empty() && random_below(random, 3) == 0)
    {
        calls.begin(
            node, keys[random_below(random, keys.size())].text, museum_key);
        return;
    }
    const std::string key = new_key(fleet, random() >> 16);
    if (!key.empty())
    {
        keys.push_back({key, fleet.now()});
    }
    calls.begin(node, key, museum_key);
}

// As run_rates_under_faults(), for claims of never-repeat requests.
std::string run_claims_under_faults(
    const std::vector<fleet_fault>& faults, std::uint64_t seed)
{
    fleet_options options;
    options.seed = seed;
    options.links = {0.01, 0.02, 200us, 3ms, 0.0005};
    options.fixed_members = seed % 8 != 0;
    options.claims.retention = 30s;
    options.claims.claim_term = 4s;
    virtual_fleet fleet(options);
    fleet.settings = std::make_shared<const configuration>(
        with_bookings(rates_configuration(options, 60.0, 18.0)));
    virtual_calls calls(fleet);
    fleet_cuts cuts;
    install_cuts(fleet, cuts);
    std::vector<used_key> keys;
    fleet.start_all();
    fleet.run_for(2s);
    for (const auto& fault : faults)
    {
        apply_fault(fleet, cuts, fault);
        const time_point end =
            fleet.now() + std::chrono::milliseconds(fault.milliseconds);
        while (fleet.now() < end && calls.violation.empty())
        {
            call_somewhere(fleet, calls, keys);
            fleet.run_for(20ms);
        }
        if (!calls.violation.empty())
        {
            return calls.violation;
        }
    }
    end_faults(fleet, cuts);
    fleet.run_for(25s);
    const std::uint64_t before = calls.delivered;
    for (int number = 0; number < 50; ++number)
    {
        virtual_node& node = node_at(fleet, number);
        calls.begin(
            node,
            claims_issue_ticket(
                node.control->claims, inputs_of_claims(*node.control),
                node.random),
            museum_key);
        fleet.run_for(20ms);
    }
    fleet.run_for(5s);
    if (calls.violation.empty() && calls.delivered - before < 49)
    {
        return "only " + std::to_string(calls.delivered - before) +
               " of 50 delivered 25 s after the faults ended";
    }
    return calls.violation;
}

// Guards against a second run of a never-repeat request, a request that ran but
// is reported as not-run, and requests that fail after the faults have ended.
RC_GTEST_PROP(fleet_fuzz, never_repeat_holds_under_faults, ())
{
    const auto faults = *rc::gen::scale(
        0.3, rc::gen::container<std::vector<fleet_fault>>(arbitrary_fault()));
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    RC_ASSERT(run_claims_under_faults(faults, seed) == "");
}

} // namespace
} // namespace cyclamenhold
