#include "core/configuration/chain_format.hpp"

#include "core/intent/json_reader.hpp"

#include <array>
#include <cstdio>

#include <xxhash.h>

namespace cyclamenhold
{
namespace
{

namespace wire_format = wire::configuration;

constexpr std::size_t snapshot_part_size = 200'000;
constexpr std::uint32_t max_snapshot_parts = 1'000;
constexpr std::uint64_t highest_integer = std::uint64_t{1} << 62;

flatbuffers::Offset<wire_format::change> write_change(
    flatbuffers::FlatBufferBuilder& builder, const chain_change& change)
{
    const auto operation_id = builder.CreateString(change.operation_id);
    const auto operations = builder.CreateString(change.operations);
    return wire_format::Createchange(
        builder, change.revision, operation_id, change.previous, operations);
}

flatbuffers::Offset<void> write_head(
    flatbuffers::FlatBufferBuilder& builder, const chain_message& message)
{
    flatbuffers::Offset<wire_format::change> newest;
    if (!message.changes.empty())
    {
        newest = write_change(builder, message.changes.front());
    }
    return wire_format::Createhead(builder, message.revision, newest).Union();
}

flatbuffers::Offset<void> write_changes(
    flatbuffers::FlatBufferBuilder& builder, const chain_message& message)
{
    std::vector<flatbuffers::Offset<wire_format::change>> items;
    for (const auto& change : message.changes)
    {
        items.push_back(write_change(builder, change));
    }
    return wire_format::Createchanges(builder, builder.CreateVector(items))
        .Union();
}

flatbuffers::Offset<void> write_snapshot_part(
    flatbuffers::FlatBufferBuilder& builder, const chain_message& message)
{
    const auto bytes = builder.CreateVector(
        reinterpret_cast<const std::uint8_t*>(message.bytes.data()),
        message.bytes.size());
    return wire_format::Createsnapshot_part(
               builder, message.snapshot.revision, message.snapshot.chain,
               message.part, message.snapshot.parts, bytes)
        .Union();
}

flatbuffers::Offset<void> write_body(
    flatbuffers::FlatBufferBuilder& builder, const chain_message& message)
{
    switch (message.kind)
    {
    case wire_format::message_body::pull:
        return wire_format::Createpull(builder, message.revision).Union();
    case wire_format::message_body::changes:
        return write_changes(builder, message);
    case wire_format::message_body::snapshot_part:
        return write_snapshot_part(builder, message);
    case wire_format::message_body::head:
    case wire_format::message_body::NONE:
        break;
    }
    return write_head(builder, message);
}

chain_change from_wire(const wire_format::change& change)
{
    return {
        change.revision(), change.operation_id()->str(), change.previous(),
        change.operations()->str()};
}

void read_body(const wire_format::message& table, chain_message& message)
{
    if (const auto* head = table.body_as_head())
    {
        message.revision = head->revision();
        if (head->newest() != nullptr)
        {
            message.changes.push_back(from_wire(*head->newest()));
        }
    }
    if (const auto* pull = table.body_as_pull())
    {
        message.revision = pull->after();
    }
    if (const auto* changes = table.body_as_changes())
    {
        for (const auto* change : *changes->items())
        {
            message.changes.push_back(from_wire(*change));
        }
    }
    if (const auto* part = table.body_as_snapshot_part())
    {
        message.snapshot = {part->revision(), part->chain(), part->count()};
        message.part = part->index();
        message.bytes.assign(part->bytes()->begin(), part->bytes()->end());
    }
}

bool is_sensible(const chain_message& message)
{
    if (message.kind == wire_format::message_body::NONE)
    {
        return false;
    }
    return message.kind != wire_format::message_body::snapshot_part ||
           (message.part < message.snapshot.parts &&
            message.snapshot.parts <= max_snapshot_parts);
}

std::string padded(std::uint64_t number)
{
    std::array<char, 24> text{};
    std::snprintf(
        text.data(), text.size(), "%020llu",
        static_cast<unsigned long long>(number));
    return text.data();
}

} // namespace

std::string change_key(std::uint64_t revision)
{
    return std::string(change_prefix) + padded(revision);
}

std::string snapshot_part_key(std::uint64_t revision, std::uint32_t part)
{
    return "snapshot/" + padded(revision) + "/" + std::to_string(part);
}

std::uint64_t hash_after(const chain_change& change)
{
    const std::uint64_t operations =
        XXH3_64bits(change.operations.data(), change.operations.size());
    const std::uint64_t id =
        XXH3_64bits(change.operation_id.data(), change.operation_id.size());
    const std::array<std::uint64_t, 4> fields{
        change.previous, change.revision, id, operations};
    return XXH3_64bits(fields.data(), sizeof(fields));
}

std::string to_value(const chain_change& change)
{
    const boost::json::object object{
        {"revision", change.revision},
        {"operation_id", change.operation_id},
        {"previous", padded(change.previous)},
        {"operations", change.operations}};
    return boost::json::serialize(object);
}

namespace
{

// Hashes are stored as strings: they use all 64 bits, and JSON numbers may lose
// precision above 53.
std::uint64_t read_hash(json_reader& reader, std::string_view field)
{
    const std::string text = read_string(reader, field);
    char* end = nullptr;
    const std::uint64_t hash = std::strtoull(text.c_str(), &end, 10);
    if (text.empty() || *end != '\0')
    {
        add_finding(*reader.found, json_place(reader, field), "must be a hash");
    }
    return hash;
}

} // namespace

std::optional<chain_change> parse_change(std::string_view value)
{
    findings found;
    boost::json::value root;
    if (!parse_json_object(value, root, found))
    {
        return std::nullopt;
    }
    json_reader reader{&root.get_object(), "", &found, {}};
    chain_change change;
    change.revision = read_integer(reader, "revision", 1, highest_integer, 0);
    change.operation_id = read_string(reader, "operation_id");
    change.previous = read_hash(reader, "previous");
    change.operations = read_string(reader, "operations");
    if (!found.empty() || change.revision == 0)
    {
        return std::nullopt;
    }
    return change;
}

std::string to_value(const snapshot_head& head)
{
    const boost::json::object object{
        {"revision", head.revision},
        {"chain", padded(head.chain)},
        {"parts", head.parts}};
    return boost::json::serialize(object);
}

std::optional<snapshot_head> parse_snapshot_head(std::string_view value)
{
    findings found;
    boost::json::value root;
    if (!parse_json_object(value, root, found))
    {
        return std::nullopt;
    }
    json_reader reader{&root.get_object(), "", &found, {}};
    snapshot_head head;
    head.revision = read_integer(reader, "revision", 1, highest_integer, 0);
    head.chain = read_hash(reader, "chain");
    head.parts = static_cast<std::uint32_t>(
        read_integer(reader, "parts", 1, max_snapshot_parts, 0));
    if (!found.empty() || head.revision == 0 || head.parts == 0)
    {
        return std::nullopt;
    }
    return head;
}

std::vector<std::string> split_snapshot(const std::string& text)
{
    std::vector<std::string> parts;
    for (std::size_t begin = 0; begin < text.size();
         begin += snapshot_part_size)
    {
        parts.push_back(text.substr(begin, snapshot_part_size));
    }
    return parts;
}

std::vector<std::uint8_t> encode(const chain_message& message)
{
    flatbuffers::FlatBufferBuilder builder;
    const auto body = write_body(builder, message);
    builder.Finish(wire_format::Createmessage(builder, message.kind, body));
    return {
        builder.GetBufferPointer(),
        builder.GetBufferPointer() + builder.GetSize()};
}

std::optional<chain_message>
decode_chain_message(std::span<const std::uint8_t> bytes)
{
    flatbuffers::Verifier verifier(bytes.data(), bytes.size());
    if (!wire_format::VerifymessageBuffer(verifier))
    {
        return std::nullopt;
    }
    const auto& table = *wire_format::Getmessage(bytes.data());
    chain_message message;
    message.kind = table.body_type();
    read_body(table, message);
    if (!is_sensible(message))
    {
        return std::nullopt;
    }
    return message;
}

} // namespace cyclamenhold
