// State, inputs, time and actions of one event, for the parts of the rates
// subsystem.
#pragma once

#include "core/rates/rates.hpp"
#include "wire/generated/rates_generated.h"

namespace cyclamenhold
{

struct rates_context
{
    rates_state& state;
    const rates_inputs& inputs;
    time_point now;
    random_source& random;
    control_actions& actions;
};

// Sends a message over a stream. A message to this host itself is queued and
// handled before the event ends.
void send_rates(
    rates_context& context, host_id to, wire::rates::bodyUnion body);
// Sends a message as a datagram, which may be lost.
void send_rates_datagram(
    rates_context& context, host_id to, wire::rates::bodyUnion body);

template <class Message>
void send_rates_message(rates_context& context, host_id to, Message message)
{
    wire::rates::bodyUnion body;
    body.Set(std::move(message));
    send_rates(context, to, std::move(body));
}

[[nodiscard]] inline std::uint64_t to_wire(host_id host)
{
    return static_cast<std::uint64_t>(host);
}

[[nodiscard]] inline std::uint64_t to_microseconds(duration value)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(value).count());
}

// Clamps to one hour, so that a message cannot set an unbounded term.
[[nodiscard]] inline duration from_microseconds(std::uint64_t value)
{
    constexpr std::uint64_t longest = 3'600'000'000;
    return std::chrono::microseconds(std::min(value, longest));
}

// Records the epochs that a message reports, where they are newer than those on
// record. `from_steward`: the sender holds these steward leases itself.
void record_epochs(
    rates_context& context, host_id from,
    const std::vector<wire::rates::shard_epoch>& epochs, bool from_steward);

// Message handlers, each defined in the file of its part.
void on_roster_query(
    rates_context& context, host_id from,
    const wire::rates::roster_query_data& in);
void on_roster_answer(
    rates_context& context, host_id from,
    const wire::rates::roster_answer_data& in);
void on_removal_query(
    rates_context& context, host_id from,
    const wire::rates::removal_query_data& in);
void on_removal_answer(
    rates_context& context, host_id from,
    const wire::rates::removal_answer_data& in);
void on_weight_lease_request(
    rates_context& context, host_id from,
    const wire::rates::pledge_request_data& in);
void on_weight_lease_reply(
    rates_context& context, host_id from,
    const wire::rates::pledge_reply_data& in);
void on_weight_lease_release(
    rates_context& context, host_id from,
    const wire::rates::pledge_release_data& in);
void on_loan_request(
    rates_context& context, host_id from,
    const wire::rates::loan_request_data& in);
void on_loan_reply(
    rates_context& context, host_id from,
    const wire::rates::loan_reply_data& in);
void on_pool_request(
    rates_context& context, host_id from,
    const wire::rates::pool_request_data& in);
void on_pool_reply(
    rates_context& context, host_id from,
    const wire::rates::pool_reply_data& in);
void on_pool_loan_request(
    rates_context& context, host_id from,
    const wire::rates::pool_request_data& in);
void on_pool_loan_reply(
    rates_context& context, const sent_pool_request& sent,
    const wire::rates::pool_reply_data& in);
void on_demand_report(
    rates_context& context, host_id from,
    const wire::rates::demand_report_data& in);

} // namespace cyclamenhold
