#include "core/trees/tree_messages.hpp"

#include "wire/generated/trees_generated.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <memory>
#include <utility>

namespace cyclamenhold
{
namespace
{

namespace schema = wire::trees;

std::uint32_t to_wire(route_id route)
{
    return static_cast<std::uint32_t>(route);
}

bool is_count(double value)
{
    return std::isfinite(value) && value >= 0.0;
}

std::optional<tree_key>
read_key(std::uint32_t route, std::uint64_t service, std::uint8_t priority)
{
    if (route == 0 || priority >= priority_class_count)
    {
        return std::nullopt;
    }
    return tree_key{
        static_cast<route_id>(route), static_cast<service_id>(service),
        static_cast<priority_class>(priority)};
}

schema::host_report_data body_of(const tree_report& message)
{
    const host_counts& counts = message.counts;
    schema::host_report_data body;
    body.report = message.report;
    body.incarnation = message.host_incarnation;
    body.service = static_cast<std::uint64_t>(counts.service);
    body.limit = counts.limit;
    body.started_calls = counts.started_calls;
    body.refused_calls = counts.refused_calls;
    for (const auto& [route, entry] : counts.runs)
    {
        auto row = std::make_unique<schema::run_row_data>();
        row->route = to_wire(route);
        row->runs = entry.runs;
        row->slot_us = entry.slot_us;
        for (const auto& [called, calls] : entry.calls)
        {
            row->calls.emplace_back(to_wire(called), calls);
        }
        body.runs.push_back(std::move(row));
    }
    for (const auto& [key, arrivals] : counts.arrivals)
    {
        body.arrivals.emplace_back(
            static_cast<std::uint64_t>(key.service), to_wire(key.route),
            static_cast<std::uint8_t>(key.priority), arrivals);
    }
    return body;
}

schema::allotment_reply_data body_of(const tree_reply& message)
{
    schema::allotment_reply_data body;
    body.report = message.report;
    for (const auto& [key, allotment] : message.allotments)
    {
        body.rows.emplace_back(
            static_cast<std::uint64_t>(key.service), to_wire(key.route),
            static_cast<std::uint8_t>(key.priority),
            static_cast<float>(allotment.share),
            std::isfinite(allotment.headroom)
                ? static_cast<float>(allotment.headroom)
                : 0.0F);
    }
    return body;
}

schema::collector_totals_data body_of(const tree_totals& message)
{
    schema::collector_totals_data body;
    for (const auto& [key, entry] : message.runs)
    {
        auto row = std::make_unique<schema::run_total_data>();
        row->route = to_wire(key.first);
        row->service = static_cast<std::uint64_t>(key.second);
        row->runs = static_cast<float>(entry.runs);
        row->slot_seconds = static_cast<float>(entry.slot_seconds);
        for (const auto& [called, calls] : entry.calls)
        {
            row->calls.emplace_back(to_wire(called), static_cast<float>(calls));
        }
        body.runs.push_back(std::move(row));
    }
    for (const auto& [service, entry] : message.services)
    {
        body.services.emplace_back(
            static_cast<std::uint64_t>(service),
            static_cast<float>(entry.limit),
            static_cast<float>(entry.started_calls),
            static_cast<float>(entry.refused_calls));
    }
    for (const auto& [key, per_second] : message.demand)
    {
        body.demand.emplace_back(
            static_cast<std::uint64_t>(key.service), to_wire(key.route),
            static_cast<std::uint8_t>(key.priority),
            static_cast<float>(per_second));
    }
    return body;
}

std::optional<tree_message> read(const schema::host_report_data& body)
{
    tree_report message;
    message.report = body.report;
    message.host_incarnation = body.incarnation;
    host_counts& counts = message.counts;
    counts.service = static_cast<service_id>(body.service);
    counts.limit = body.limit;
    counts.started_calls = body.started_calls;
    counts.refused_calls = body.refused_calls;
    for (const auto& row : body.runs)
    {
        run_counts& entry = counts.runs[static_cast<route_id>(row->route)];
        entry.runs = row->runs;
        entry.slot_us = row->slot_us;
        for (const auto& call : row->calls)
        {
            entry.calls[static_cast<route_id>(call.route())] = call.count();
        }
    }
    for (const auto& row : body.arrivals)
    {
        const auto key = read_key(row.route(), row.service(), row.priority());
        if (!key)
        {
            return std::nullopt;
        }
        counts.arrivals[*key] = row.count();
    }
    return message;
}

std::optional<tree_message> read(const schema::allotment_reply_data& body)
{
    tree_reply message;
    message.report = body.report;
    for (const auto& row : body.rows)
    {
        const auto key = read_key(row.route(), row.service(), row.priority());
        if (!key || !is_count(row.share()) || !is_count(row.headroom()))
        {
            return std::nullopt;
        }
        message.allotments[*key] = {
            std::min<double>(row.share(), 1.0),
            row.headroom() == 0.0F ? std::numeric_limits<double>::infinity()
                                   : std::max<double>(row.headroom(), 1.0)};
    }
    return message;
}

std::optional<tree_message> read(const schema::collector_totals_data& body)
{
    tree_totals message;
    for (const auto& row : body.runs)
    {
        run_totals& entry = message.runs[{
            static_cast<route_id>(row->route),
            static_cast<service_id>(row->service)}];
        entry.runs = row->runs;
        entry.slot_seconds = row->slot_seconds;
        if (!is_count(entry.runs) || !is_count(entry.slot_seconds))
        {
            return std::nullopt;
        }
        for (const auto& call : row->calls)
        {
            if (!is_count(call.calls()))
            {
                return std::nullopt;
            }
            entry.calls[static_cast<route_id>(call.route())] = call.calls();
        }
    }
    for (const auto& row : body.services)
    {
        if (!is_count(row.limit()) || !is_count(row.started_calls()) ||
            !is_count(row.refused_calls()))
        {
            return std::nullopt;
        }
        message.services[static_cast<service_id>(row.service())] = {
            row.limit(), row.started_calls(), row.refused_calls()};
    }
    for (const auto& row : body.demand)
    {
        const auto key = read_key(row.route(), row.service(), row.priority());
        if (!key || !is_count(row.per_second()))
        {
            return std::nullopt;
        }
        message.demand[*key] = row.per_second();
    }
    return message;
}

} // namespace

std::vector<std::uint8_t> encode(const tree_message& message)
{
    schema::message_data root;
    std::visit(
        [&root](const auto& body)
        {
            root.body.Set(body_of(body));
        },
        message);
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(schema::message::Pack(builder, &root));
    return {
        builder.GetBufferPointer(),
        builder.GetBufferPointer() + builder.GetSize()};
}

std::optional<tree_message>
decode_tree_message(std::span<const std::uint8_t> payload)
{
    flatbuffers::Verifier verifier(payload.data(), payload.size());
    if (!schema::VerifymessageBuffer(verifier))
    {
        return std::nullopt;
    }
    schema::message_data root;
    schema::Getmessage(payload.data())->UnPackTo(&root);
    if (const auto* const report = root.body.Ashost_report())
    {
        return read(*report);
    }
    if (const auto* const reply = root.body.Asallotment_reply())
    {
        return read(*reply);
    }
    if (const auto* const totals = root.body.Ascollector_totals())
    {
        return read(*totals);
    }
    return std::nullopt;
}

} // namespace cyclamenhold
