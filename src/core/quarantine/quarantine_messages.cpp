#include "core/quarantine/quarantine_messages.hpp"

#include "wire/generated/quarantine_generated.h"

namespace cyclamenhold
{

namespace schema = wire::quarantine;

std::vector<std::uint8_t> encode_quarantine(const quarantine_message& message)
{
    schema::message_data root;
    if (message.crash)
    {
        schema::death_report_data body;
        body.host = static_cast<std::uint64_t>(message.crash->host);
        body.life = message.crash->incarnation;
        body.digests = message.digests;
        body.hops = message.hops;
        root.body.Set(std::move(body));
    }
    else
    {
        schema::clearance_data body;
        body.digests = message.digests;
        body.hops = message.hops;
        root.body.Set(std::move(body));
    }
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(schema::message::Pack(builder, &root));
    return {
        builder.GetBufferPointer(),
        builder.GetBufferPointer() + builder.GetSize()};
}

std::optional<quarantine_message>
decode_quarantine(std::span<const std::uint8_t> payload)
{
    flatbuffers::Verifier verifier(payload.data(), payload.size());
    if (!schema::VerifymessageBuffer(verifier))
    {
        return std::nullopt;
    }
    schema::message_data root;
    schema::Getmessage(payload.data())->UnPackTo(&root);
    quarantine_message message;
    if (const auto* const report = root.body.Asdeath_report())
    {
        message.crash = {static_cast<host_id>(report->host), report->life};
        message.digests = report->digests;
        message.hops = report->hops;
    }
    else if (const auto* const cleared = root.body.Asclearance())
    {
        message.digests = cleared->digests;
        message.hops = cleared->hops;
    }
    if (message.digests.empty() ||
        message.digests.size() > max_reported_digests)
    {
        return std::nullopt;
    }
    return message;
}

} // namespace cyclamenhold
