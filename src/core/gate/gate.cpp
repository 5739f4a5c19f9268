#include "core/gate/gate.hpp"

#include <algorithm>

namespace cyclamenhold
{
namespace
{

bool accepts(const gate_state& gate)
{
    return gate.upstream.state == upstream_state::serving ||
           gate.upstream.state == upstream_state::warming;
}

void start_queued(gate_state& gate, time_point now, gate_verdicts& verdicts)
{
    while (!gate.queue.empty() && gate.running.size() < gate.limit)
    {
        const gate_request request = std::move(gate.queue.front());
        gate.queue.pop_front();
        if (request.context.deadline <= now)
        {
            verdicts.push_back({request.ticket, refusal::deadline_exceeded});
            continue;
        }
        gate.running.emplace(request.ticket, now);
        verdicts.push_back({request.ticket, refusal::none});
    }
}

} // namespace

gate_verdicts gate_set_upstream(
    gate_state& gate, const upstream_record& record, time_point now)
{
    gate_verdicts verdicts;
    gate.upstream = record;
    gate.limit = std::min(record.slots, record.connections);
    if (!accepts(gate))
    {
        for (const auto& request : gate.queue)
        {
            verdicts.push_back({request.ticket, refusal::draining});
        }
        gate.queue.clear();
    }
    start_queued(gate, now, verdicts);
    return verdicts;
}

gate_verdicts gate_offer(gate_state& gate, gate_request request, time_point now)
{
    if (!accepts(gate))
    {
        return {{request.ticket, refusal::draining}};
    }
    if (gate.queue.size() >= gate.limit)
    {
        return {{request.ticket, refusal::overloaded}};
    }
    gate_verdicts verdicts;
    gate.queue.push_back(std::move(request));
    start_queued(gate, now, verdicts);
    return verdicts;
}

gate_verdicts gate_finish(
    gate_state& gate, gate_ticket ticket, gate_result /*result*/,
    time_point now)
{
    gate_verdicts verdicts;
    gate.running.erase(ticket);
    start_queued(gate, now, verdicts);
    return verdicts;
}

gate_verdicts
gate_cancel(gate_state& gate, gate_ticket ticket, time_point /*now*/)
{
    std::erase_if(
        gate.queue,
        [ticket](const gate_request& request)
        {
            return request.ticket == ticket;
        });
    return {};
}

gate_verdicts gate_tick(gate_state& gate, time_point now)
{
    gate_verdicts verdicts;
    start_queued(gate, now, verdicts);
    return verdicts;
}

load_report gate_report(const gate_state& gate, time_point /*now*/)
{
    load_report report;
    report.in_flight = static_cast<std::uint32_t>(gate.running.size());
    report.queued = static_cast<std::uint32_t>(gate.queue.size());
    report.limit = gate.limit;
    return report;
}

} // namespace cyclamenhold
