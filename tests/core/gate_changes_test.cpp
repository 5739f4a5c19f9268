// Requests at a gate whose callers leave or whose upstream is replaced.
#include "support/gate_requests.hpp"

#include <gtest/gtest.h>

#include <utility>

namespace cyclamenhold
{
namespace
{

// A caller that left between the decision to start its request and the start
// kept its slot for good; after enough of them the gate started nothing more
// (CONFIG).
TEST(gate, a_request_cancelled_before_its_start_releases_its_slot)
{
    gate_state gate = make_gate(1);
    (void)gate_offer(gate, make_request(1), start_time);
    (void)gate_offer(gate, make_request(2), start_time);
    EXPECT_TRUE(
        holds(gate_cancel(gate, 1, start_time + 10ms), 2, refusal::none));
    EXPECT_EQ(gate_report(gate, start_time + 10ms).in_flight, 1U);
    {
        SCOPED_TRACE("a suspect lets the next one start");
        for (const gate_entry_id entry_id : {3, 4})
        {
            gate_request request = make_request(entry_id);
            request.suspect = true;
            (void)gate_offer(gate, std::move(request), start_time + 10ms);
        }
        const time_point at = start_time + 20ms;
        EXPECT_TRUE(holds(
            gate_finish(gate, 2, gate_result::replied, at), 3, refusal::none));
        EXPECT_TRUE(holds(gate_cancel(gate, 3, at), 4, refusal::none));
    }
}

// The address of an upstream that had ended went to one of another service, to
// which the gate sent the requests that waited for the former one (ROUTE).
TEST(gate, an_upstream_of_another_service_gets_no_request_of_the_former)
{
    const auto request_for = [](gate_entry_id entry_id, const char* service)
    {
        gate_request request = make_request(entry_id);
        request.context.service = service_id_of(service);
        return request;
    };
    gate_state gate = make_gate(1);
    EXPECT_TRUE(holds(
        gate_offer(gate, request_for(1, "lookup"), start_time), 1,
        refusal::none));
    (void)gate_offer(gate, request_for(2, "lookup"), start_time);
    gate_request suspect = request_for(3, "lookup");
    suspect.suspect = true;
    (void)gate_offer(gate, std::move(suspect), start_time);
    {
        SCOPED_TRACE("the next upstream of the same service gets them");
        EXPECT_TRUE(gate_set_upstream(gate, serving(1), start_time).empty());
    }
    upstream_record other = serving(5);
    other.service = "payments";
    {
        SCOPED_TRACE("queued requests are refused when the service changes");
        const auto decisions = gate_set_upstream(gate, other, start_time);
        EXPECT_EQ(decisions.size(), 2U);
        EXPECT_TRUE(holds(decisions, 2, refusal::no_upstream));
        EXPECT_TRUE(holds(decisions, 3, refusal::no_upstream));
    }
    {
        SCOPED_TRACE("so are those that come later");
        EXPECT_TRUE(holds(
            gate_offer(gate, request_for(4, "lookup"), start_time), 4,
            refusal::no_upstream));
        EXPECT_TRUE(holds(
            gate_offer(gate, request_for(5, "payments"), start_time), 5,
            refusal::none));
    }
}

} // namespace
} // namespace cyclamenhold
