#include "core/membership/membership_wire.hpp"

#include <algorithm>
#include <cmath>

namespace cyclamenhold
{
namespace
{

namespace wire_format = wire::membership;

constexpr std::size_t status_size = sizeof(wire_format::member_status);
// Bytes of a record's table, vtable, offsets and padding, in addition to its
// status and service name.
constexpr std::size_t record_overhead = 64;
constexpr std::size_t max_service_name_size = 255;

wire_format::member_status to_wire(const member_status_report& report)
{
    return {
        static_cast<std::uint64_t>(report.host), report.host_incarnation,
        report.refutation, static_cast<std::uint32_t>(report.data_centre),
        static_cast<std::uint8_t>(report.state)};
}

bool is_valid_status(const wire_format::member_status& status)
{
    return status.host() != 0 && status.incarnation() != 0 &&
           status.state() <= static_cast<std::uint8_t>(member_state::left);
}

member_status_report from_wire(const wire_format::member_status& status)
{
    return {
        static_cast<host_id>(status.host()), status.incarnation(),
        status.refutation(), static_cast<data_centre_id>(status.data_centre()),
        static_cast<member_state>(status.state())};
}

flatbuffers::Offset<wire_format::member_record> write_record(
    flatbuffers::FlatBufferBuilder& builder, const member_update& update)
{
    const auto service = builder.CreateString(update.upstream.service);
    const auto status = to_wire(update.report);
    return wire_format::Createmember_record(
        builder, &status, service,
        static_cast<std::uint8_t>(update.upstream.state), update.upstream.slots,
        update.upstream.connections, update.upstream.version,
        static_cast<float>(update.upstream.cold_rate));
}

flatbuffers::Offset<void> write_body(
    flatbuffers::FlatBufferBuilder& builder, const membership_message& message)
{
    switch (message.kind)
    {
    case wire_format::message_body::ping:
        return wire_format::Createping(builder, message.sequence).Union();
    case wire_format::message_body::ping_request:
        return wire_format::Createping_request(
                   builder, message.sequence,
                   static_cast<std::uint64_t>(message.target))
            .Union();
    case wire_format::message_body::ack:
        return wire_format::Createack(builder, message.sequence).Union();
    case wire_format::message_body::digest:
        return wire_format::Createdigest(
                   builder, builder.CreateVector(message.buckets),
                   message.is_reply)
            .Union();
    case wire_format::message_body::gossip:
    case wire_format::message_body::NONE:
        break;
    }
    return wire_format::Creategossip(builder).Union();
}

void read_body(const wire_format::message& table, membership_message& message)
{
    if (const auto* ping = table.body_as_ping())
    {
        message.sequence = ping->sequence();
    }
    if (const auto* request = table.body_as_ping_request())
    {
        message.sequence = request->sequence();
        message.target = static_cast<host_id>(request->target());
    }
    if (const auto* ack = table.body_as_ack())
    {
        message.sequence = ack->sequence();
    }
    if (const auto* digest = table.body_as_digest())
    {
        message.buckets.assign(
            digest->buckets()->begin(), digest->buckets()->end());
        message.is_reply = digest->reply();
    }
}

bool read_record(
    const wire_format::member_record& record, membership_message& message)
{
    const bool is_valid =
        is_valid_status(*record.status()) &&
        record.upstream_state() <=
            static_cast<std::uint8_t>(upstream_state::draining) &&
        std::isfinite(record.cold_rate()) && record.cold_rate() >= 0.0F &&
        (record.service() == nullptr ||
         record.service()->size() <= max_service_name_size);
    if (!is_valid)
    {
        return false;
    }
    member_update update;
    update.report = from_wire(*record.status());
    update.includes_upstream = true;
    update.upstream.service =
        record.service() == nullptr ? "" : record.service()->str();
    update.upstream.state =
        static_cast<upstream_state>(record.upstream_state());
    update.upstream.slots = record.slots();
    update.upstream.connections = record.connections();
    update.upstream.version = record.upstream_version();
    update.upstream.cold_rate = record.cold_rate();
    message.updates.push_back(std::move(update));
    return true;
}

bool read_updates(
    const wire_format::message& table, membership_message& message)
{
    if (table.statuses() != nullptr)
    {
        for (const auto* status : *table.statuses())
        {
            if (!is_valid_status(*status))
            {
                return false;
            }
            message.updates.push_back({from_wire(*status), {}, false});
        }
    }
    if (table.records() == nullptr)
    {
        return true;
    }
    for (const auto* record : *table.records())
    {
        if (!read_record(*record, message))
        {
            return false;
        }
    }
    return true;
}

bool read_evacuations(
    const wire_format::message& table, membership_message& message)
{
    message.evacuations.era = table.evacuation_era();
    message.evacuations.revision = table.evacuation_revision();
    if (table.evacuated() == nullptr)
    {
        return true;
    }
    if (table.evacuated()->size() > max_evacuated)
    {
        return false;
    }
    for (const std::uint32_t data_centre : *table.evacuated())
    {
        message.evacuations.data_centres.push_back(
            static_cast<data_centre_id>(data_centre));
    }
    std::ranges::sort(message.evacuations.data_centres);
    return true;
}

} // namespace

std::vector<std::uint8_t> encode(const membership_message& message)
{
    flatbuffers::FlatBufferBuilder builder(max_datagram_payload);
    std::vector<wire_format::member_status> statuses;
    std::vector<flatbuffers::Offset<wire_format::member_record>> records;
    for (const auto& update : message.updates)
    {
        if (update.includes_upstream)
        {
            records.push_back(write_record(builder, update));
        }
        else
        {
            statuses.push_back(to_wire(update.report));
        }
    }
    std::vector<wire_format::data_centre_contact> contacts;
    for (const auto& contact : message.contacts)
    {
        contacts.emplace_back(
            static_cast<std::uint32_t>(contact.data_centre), contact.age_ms);
    }
    const auto record_list =
        records.empty() ? 0 : builder.CreateVector(records);
    const auto status_list =
        statuses.empty() ? 0 : builder.CreateVectorOfStructs(statuses);
    const auto contact_list =
        contacts.empty() ? 0 : builder.CreateVectorOfStructs(contacts);
    std::vector<std::uint32_t> evacuated;
    for (const auto data_centre : message.evacuations.data_centres)
    {
        evacuated.push_back(static_cast<std::uint32_t>(data_centre));
    }
    const auto evacuated_list =
        evacuated.empty() ? 0 : builder.CreateVector(evacuated);
    const auto body = write_body(builder, message);
    const auto sender = to_wire(message.sender);
    builder.Finish(wire_format::Createmessage(
        builder, &sender, message.sender_upstream_version, message.revision,
        contact_list, status_list, record_list, message.kind, body,
        message.evacuations.era, message.evacuations.revision, evacuated_list));
    return {
        builder.GetBufferPointer(),
        builder.GetBufferPointer() + builder.GetSize()};
}

std::optional<membership_message>
decode_membership_message(std::span<const std::uint8_t> bytes)
{
    flatbuffers::Verifier verifier(bytes.data(), bytes.size());
    if (!wire_format::VerifymessageBuffer(verifier))
    {
        return std::nullopt;
    }
    const auto& table = *wire_format::Getmessage(bytes.data());
    membership_message message;
    message.kind = table.body_type();
    if (message.kind == wire_format::message_body::NONE ||
        !is_valid_status(*table.sender()))
    {
        return std::nullopt;
    }
    message.sender = from_wire(*table.sender());
    message.sender_upstream_version = table.sender_upstream_version();
    message.revision = table.revision();
    if (table.contacts() != nullptr)
    {
        for (const auto* contact : *table.contacts())
        {
            message.contacts.push_back(
                {static_cast<data_centre_id>(contact->data_centre()),
                 contact->age_ms()});
        }
    }
    if (!read_evacuations(table, message))
    {
        return std::nullopt;
    }
    read_body(table, message);
    if (!read_updates(table, message))
    {
        return std::nullopt;
    }
    return message;
}

std::size_t encoded_size(const member_update& update)
{
    if (!update.includes_upstream)
    {
        return status_size;
    }
    return status_size + record_overhead + update.upstream.service.size();
}

} // namespace cyclamenhold
