#include "core/claims/key.hpp"
#include "core/rates/shards.hpp"
#include "support/virtual_fleet.hpp"

#include <gtest/gtest.h>

namespace cyclamenhold
{
namespace
{

using namespace testing_support;

const workspace_id school = workspace_id_of("school");

// A fleet in steady state, and the answers to the claim requests of its nodes.
struct claims_fleet
{
    fleet_options options;
    std::unique_ptr<virtual_fleet> fleet;
    std::map<claim_token, claim_answer> answers;
    claim_token last_token = 0;

    claims_fleet()
    {
        fleet = std::make_unique<virtual_fleet>(options);
        fleet->settings = std::make_shared<const configuration>(
            rates_configuration(options, 100.0, 20.0));
        fleet->on_claim = [this](virtual_node&, const claim_answer& answer)
        {
            answers[answer.token] = answer;
        };
        fleet->start_all();
        fleet->run_for(3s);
    }

    virtual_node& node(std::size_t index)
    {
        auto entry = fleet->nodes.begin();
        std::advance(entry, index);
        return *entry->second;
    }

    std::string issue_ticket(virtual_node& from)
    {
        return claims_issue_ticket(
            from.control->claims, inputs_of_claims(*from.control), from.random);
    }

    claim_answer request_claim(
        virtual_node& from, const std::string& key, std::uint64_t digest = 1)
    {
        const claim_token token = ++last_token;
        fleet->run_on_node(
            from,
            [&](control_state& control, time_point now, random_source& random,
                control_actions& actions)
            {
                claims_request(
                    control.claims, inputs_of_claims(control),
                    {token, school, key, digest, now + 5s, {}}, now, random,
                    actions);
            });
        fleet->run_for(3s);
        return answers.at(token);
    }

    void complete(
        virtual_node& from, const std::string& key, const claim_grant& grant,
        outcome result)
    {
        fleet->run_on_node(
            from,
            [&](control_state& control, time_point now, random_source& random,
                control_actions& actions)
            {
                claims_complete(
                    control.claims, inputs_of_claims(control),
                    {grant, school, key, result, {201, "text/plain", "done"}},
                    now, random, actions);
            });
        fleet->run_for(1s);
    }
};

TEST(claims, keys)
{
    {
        SCOPED_TRACE("a formatted ticket parses, malformed text does not");
        const claim_ticket ticket{
            data_centre_id_of("brno"), 7, 0x123456789abcdefULL, 3, 42};
        EXPECT_EQ(parse_ticket(to_string(ticket)), ticket);
        for (const char* text :
             {"", "cyt_", "cyt_1_2_3_4", "cyt_1_99_3_4_5", "cyt_1_2_3_4_5_6",
              "cyt_1_2_3__5", "cyt_x_2_3_4_5"})
        {
            SCOPED_TRACE(text);
            EXPECT_FALSE(parse_ticket(text).has_value());
        }
    }
    {
        SCOPED_TRACE("the time of a UUIDv7 is parsed");
        EXPECT_EQ(
            uuid_time_ms("017f22e2-79b0-7cc3-98c4-dc0c0c07398f"),
            0x017f22e279b0ULL);
        EXPECT_FALSE(uuid_time_ms("017f22e2-79b0-4cc3-98c4-dc0c0c07398f"));
        EXPECT_FALSE(uuid_time_ms("017f22e2x79b0-7cc3-98c4-dc0c0c07398f"));
    }
}

TEST(claims, one_run_for_each_ticket)
{
    claims_fleet claims;
    virtual_node& first = claims.node(0);
    virtual_node& second = claims.node(9);
    const std::string key = claims.issue_ticket(first);
    ASSERT_FALSE(key.empty());
    const auto granted = claims.request_claim(first, key);
    ASSERT_EQ(granted.status, claim_status::granted);
    {
        SCOPED_TRACE("while it runs, a repeat at another node is not granted");
        EXPECT_EQ(
            claims.request_claim(second, key).status,
            claim_status::in_progress);
        EXPECT_EQ(
            claims.request_claim(second, key, 2).status,
            claim_status::mismatch);
    }
    {
        SCOPED_TRACE("not-run releases the key for another try");
        claims.complete(first, key, granted.grant, outcome::not_run);
        const auto again = claims.request_claim(second, key);
        ASSERT_EQ(again.status, claim_status::granted);
        claims.complete(second, key, again.grant, outcome::ran);
        const auto repeat = claims.request_claim(first, key);
        EXPECT_EQ(repeat.status, claim_status::finished);
        EXPECT_EQ(repeat.reply.status, 201);
        EXPECT_EQ(repeat.reply.body, "done");
    }
    {
        SCOPED_TRACE(
            "a steward that lost its records answers unknown, never grants");
        const std::string other = claims.issue_ticket(first);
        ASSERT_EQ(
            claims.request_claim(first, other).status, claim_status::granted);
        const auto shard = parse_ticket(other)->shard;
        const host_id steward =
            first.control->rates.weight_leases.observed[shard].steward;
        virtual_node& holder = *claims.fleet->nodes.at(steward);
        claims.fleet->crash(holder);
        claims.fleet->run_for(1s);
        claims.fleet->start(holder);
        claims.fleet->run_for(15s);
        EXPECT_EQ(
            claims.request_claim(second, other).status, claim_status::unknown);
        EXPECT_EQ(
            claims.request_claim(second, claims.issue_ticket(first)).status,
            claim_status::granted);
    }
}

TEST(claims, keys_without_ticket)
{
    claims_fleet claims;
    virtual_node& node = claims.node(3);
    const auto uuid = [&](std::int64_t ahead_ms)
    {
        char text[64];
        const auto ms =
            claims.fleet->wall_ms(node) + static_cast<std::uint64_t>(ahead_ms);
        std::snprintf(
            text, sizeof(text), "%08llx-%04llx-7cc3-98c4-dc0c0c07398f",
            static_cast<unsigned long long>(ms >> 16),
            static_cast<unsigned long long>(ms & 0xffff));
        return std::string(text);
    };
    {
        SCOPED_TRACE(
            "a UUIDv7 issued close to the steward change may have run before");
        EXPECT_EQ(
            claims.request_claim(node, uuid(0)).status, claim_status::unknown);
    }
    claims.fleet->run_for(20s);
    {
        SCOPED_TRACE(
            "a later UUIDv7 is granted, one with a time in the future is not");
        const auto key = uuid(0);
        EXPECT_EQ(
            claims.request_claim(node, key).status, claim_status::granted);
        EXPECT_EQ(
            claims.request_claim(node, key).status, claim_status::in_progress);
        EXPECT_EQ(
            claims.request_claim(node, uuid(60'000)).status,
            claim_status::unavailable);
    }
    {
        SCOPED_TRACE("a plain key is granted after one retention time");
        EXPECT_EQ(
            claims.request_claim(node, "order-1").status,
            claim_status::unknown);
        claims.fleet->run_for(600s);
        EXPECT_EQ(
            claims.request_claim(node, "order-1").status,
            claim_status::granted);
    }
}

TEST(claims, no_steward)
{
    claims_fleet claims;
    virtual_node& node = claims.node(0);
    const std::string key = claims.issue_ticket(node);
    SCOPED_TRACE("no claim is granted while all links are cut");
    claims.fleet->network.is_link_up =
        [](const virtual_node&, const virtual_node&)
    {
        return false;
    };
    claims.fleet->run_for(10s);
    EXPECT_EQ(
        claims.request_claim(node, key).status, claim_status::unavailable);
}

TEST(claims, upstream_gate)
{
    claims_state state;
    const time_point now{100s};
    const std::uint64_t scope = 5ULL << 24;
    EXPECT_TRUE(claims_accept_at_gate(state, {10, scope | 1, now + 1s}, now));
    {
        SCOPED_TRACE(
            "a claim after its term, or of an older steward epoch, is refused");
        EXPECT_FALSE(claims_accept_at_gate(state, {10, scope | 2, now}, now));
        EXPECT_FALSE(
            claims_accept_at_gate(state, {9, scope | 3, now + 1s}, now));
    }
    {
        SCOPED_TRACE("another shard has its own epochs");
        EXPECT_TRUE(
            claims_accept_at_gate(state, {9, 6ULL << 24, now + 1s}, now));
    }
}

} // namespace
} // namespace cyclamenhold
