// Token pools, if shares follow demand: in each data centre, one host holds the
// data centre's share of a workspace's rate, and the others take tokens from it
// as requests arrive. With a share at each host instead, a rate divided by many
// hosts leaves each of them less than one token, so that callers within the
// rate are refused at random.
#pragma once

#include "core/base/ids.hpp"
#include "core/base/time.hpp"
#include "core/rates/pool_hosts.hpp"
#include "core/rates/shards.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>

namespace cyclamenhold
{

struct rates_context;
struct rates_state;

// The requests of one workspace that enter at this host.
struct entry_demand
{
    // Requests a second, smoothed.
    double rate = 0.0;
    time_point sampled_at{};
    double arrivals = 0.0;
    // Not yet reported to a pool.
    double unreported = 0.0;
    time_point reported_at{};
    // Id of the request to a pool that is waited for; 0 when there is none.
    std::uint64_t request = 0;
    // The pool expects no tokens before.
    time_point next_request_at{};
    // Callers wait for that time.
    bool has_waiters = false;
};

// A request for tokens between holders of different data centres.
struct borrowed_tokens
{
    // Tokens that hosts of this data centre have requested and not received.
    double unmet = 0.0;
    // Id of the request to a lender that is waited for; 0 when there is none.
    std::uint64_t request = 0;
    // The last one that lent tokens.
    host_id lender = host_id::none;
    // A lender expects to have no tokens to spare before.
    std::map<host_id, time_point> empty_until;
};

// A request that was sent to a pool. Its answer is used until the tokens
// expire, also after the request was sent again.
struct sent_pool_request
{
    host_id to = host_id::none;
    time_point sent_at{};
    // The answer did not come within pool_request_timeout.
    bool is_late = false;
    // Sent to a holder in another data centre.
    bool is_loan = false;
};

// This host's contact with a pool of its data centre.
struct pool_contact
{
    // Requests without an answer since the last answer.
    std::uint32_t unanswered = 0;
    time_point silent_since{};
    time_point next_trial_at{};
    // The host has declined to hold the pool until then.
    time_point declined_until{};
};

struct token_pool_state
{
    pool_hosts hosts;
    std::map<workspace_id, entry_demand> entering;
    // Of the pools of this host.
    std::map<workspace_id, borrowed_tokens> borrowing;
    std::map<host_id, pool_contact> contacts;
    std::map<std::uint64_t, sent_pool_request> sent;
    std::uint64_t last_request = 0;
    // This host holds the pool of the shard until then, because other hosts
    // have requested tokens from it.
    std::array<time_point, shard_count> requested_until{};
    // Requests at the pools of this host since the last sample.
    std::map<workspace_id, double> pool_arrivals;
};

// Tokens of a pool are not used after this time from their request.
constexpr duration pool_token_term = 1s;
// A request to a pool without an answer for this time is sent again.
constexpr duration pool_request_timeout = 80ms;

// Whether a pool host has left requests unanswered.
[[nodiscard]] bool is_silent(const token_pool_state& pools, host_id host);

// Whether a host has declined to hold pools a moment ago.
[[nodiscard]] bool is_declined(const rates_context& context, host_id host);

// Whether this host has just started and may not know all others.
[[nodiscard]] bool is_starting(const rates_context& context);

// Whether this host holds the pool of a shard.
[[nodiscard]] bool
holds_pool(const rates_context& context, std::uint32_t shard);

// How long all pools of the shard have been silent; nothing if one answers.
[[nodiscard]] std::optional<duration>
silence_of_pools(const rates_context& context, std::uint32_t shard);

// Samples the demand of callers, and requests tokens for those who wait and for
// those expected next.
void tick_token_pools(rates_context& context);

// When a request to a pool has to be sent again; the maximum without one.
[[nodiscard]] time_point token_pools_due(const rates_state& state);

} // namespace cyclamenhold
