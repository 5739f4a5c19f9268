#include "core/quarantine/quarantine_messages.hpp"

#include "wire/generated/quarantine_generated.h"

#include <algorithm>
#include <limits>
#include <memory>
#include <utility>

namespace cyclamenhold
{

namespace schema = wire::quarantine;

namespace
{

constexpr std::size_t max_copied_quarantined = 1024;

std::uint32_t milliseconds_of(duration time)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
        to_milliseconds(time), 0, std::numeric_limits<std::uint32_t>::max()));
}

schema::table_copy_data body_of_copy(const quarantine_message& message)
{
    schema::table_copy_data body;
    body.is_complete = message.is_complete;
    for (const auto& [digest, remaining] : message.quarantined)
    {
        auto entry = std::make_unique<schema::quarantined_request_data>();
        entry->digest = digest;
        entry->remaining_ms = milliseconds_of(remaining);
        body.quarantined.push_back(std::move(entry));
    }
    for (const auto& [digest, crashes, remaining] : message.suspects)
    {
        auto entry = std::make_unique<schema::suspect_request_data>();
        entry->digest = digest;
        entry->remaining_ms = milliseconds_of(remaining);
        for (const auto& [host, incarnation] : crashes)
        {
            entry->crashes.emplace_back(
                static_cast<std::uint64_t>(host), incarnation);
        }
        body.suspects.push_back(std::move(entry));
    }
    return body;
}

bool read_report(
    const schema::death_report_data& body, quarantine_message& message)
{
    message.kind = quarantine_message_kind::crash_report;
    message.crash = {static_cast<host_id>(body.host), body.life};
    message.age = std::chrono::milliseconds(body.age_ms);
    message.digests = body.digests;
    message.hops = body.hops;
    return !message.digests.empty() &&
           message.digests.size() <= max_reported_digests;
}

bool read_clearance(
    const schema::clearance_data& body, quarantine_message& message)
{
    message.kind = quarantine_message_kind::clearance;
    message.digests = body.digests;
    message.hops = body.hops;
    return !message.digests.empty() &&
           message.digests.size() <= max_reported_digests;
}

bool read_request(
    const schema::table_request_data& body, quarantine_message& message)
{
    message.kind = quarantine_message_kind::table_request;
    message.fingerprint = body.fingerprint;
    message.is_starting = body.is_starting;
    return true;
}

bool read_copy(const schema::table_copy_data& body, quarantine_message& message)
{
    message.kind = quarantine_message_kind::table_copy;
    message.is_complete = body.is_complete;
    if (body.quarantined.size() > max_copied_quarantined ||
        body.suspects.size() > max_copied_suspects)
    {
        return false;
    }
    for (const auto& entry : body.quarantined)
    {
        message.quarantined.push_back(
            {entry->digest, std::chrono::milliseconds(entry->remaining_ms)});
    }
    for (const auto& entry : body.suspects)
    {
        if (entry->crashes.size() >= crashes_to_quarantine)
        {
            return false;
        }
        suspect_request read{
            entry->digest, {}, std::chrono::milliseconds(entry->remaining_ms)};
        for (const auto& crash : entry->crashes)
        {
            read.crashes.push_back(
                {static_cast<host_id>(crash.host()), crash.life()});
        }
        message.suspects.push_back(std::move(read));
    }
    return true;
}

bool read_body(schema::message_bodyUnion& body, quarantine_message& message)
{
    if (const auto* const report = body.Asdeath_report())
    {
        return read_report(*report, message);
    }
    if (const auto* const cleared = body.Asclearance())
    {
        return read_clearance(*cleared, message);
    }
    if (const auto* const request = body.Astable_request())
    {
        return read_request(*request, message);
    }
    if (const auto* const copy = body.Astable_copy())
    {
        return read_copy(*copy, message);
    }
    return false;
}

} // namespace

std::vector<std::uint8_t> encode_quarantine(const quarantine_message& message)
{
    schema::message_data root;
    switch (message.kind)
    {
    case quarantine_message_kind::crash_report:
    {
        schema::death_report_data body;
        body.host = static_cast<std::uint64_t>(message.crash.host);
        body.life = message.crash.incarnation;
        body.age_ms = milliseconds_of(message.age);
        body.digests = message.digests;
        body.hops = message.hops;
        root.body.Set(std::move(body));
        break;
    }
    case quarantine_message_kind::clearance:
    {
        schema::clearance_data body;
        body.digests = message.digests;
        body.hops = message.hops;
        root.body.Set(std::move(body));
        break;
    }
    case quarantine_message_kind::table_request:
    {
        schema::table_request_data body;
        body.fingerprint = message.fingerprint;
        body.is_starting = message.is_starting;
        root.body.Set(body);
        break;
    }
    case quarantine_message_kind::table_copy:
        root.body.Set(body_of_copy(message));
        break;
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
    if (!read_body(root.body, message))
    {
        return std::nullopt;
    }
    return message;
}

} // namespace cyclamenhold
