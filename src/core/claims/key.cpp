#include "core/claims/key.hpp"

#include "core/rates/shards.hpp"

#include <array>
#include <charconv>
#include <cstdio>

#include <xxhash.h>

namespace cyclamenhold
{
namespace
{

constexpr std::string_view ticket_prefix = "cyt_";
constexpr std::size_t uuid_size = 36;

// Parses a hexadecimal number up to the next '_' and removes both from `text`.
std::optional<std::uint64_t> consume_hexadecimal(std::string_view& text)
{
    const auto end = std::min(text.find('_'), text.size());
    std::uint64_t value = 0;
    const auto [position, error] =
        std::from_chars(text.data(), text.data() + end, value, 16);
    if (error != std::errc() || position != text.data() + end || end == 0)
    {
        return std::nullopt;
    }
    text.remove_prefix(std::min(end + 1, text.size()));
    return value;
}

bool is_hexadecimal(char letter)
{
    return (letter >= '0' && letter <= '9') ||
           (letter >= 'a' && letter <= 'f') || (letter >= 'A' && letter <= 'F');
}

} // namespace

std::string to_string(const claim_ticket& ticket)
{
    std::array<char, 96> text{};
    std::snprintf(
        text.data(), text.size(), "cyt_%08x_%x_%llx_%llx_%016llx",
        static_cast<unsigned>(ticket.data_centre), ticket.shard,
        static_cast<unsigned long long>(ticket.epoch),
        static_cast<unsigned long long>(ticket.generation),
        static_cast<unsigned long long>(ticket.random));
    return text.data();
}

std::optional<claim_ticket> parse_ticket(std::string_view text)
{
    if (!text.starts_with(ticket_prefix))
    {
        return std::nullopt;
    }
    text.remove_prefix(ticket_prefix.size());
    std::array<std::uint64_t, 5> numbers{};
    for (auto& number : numbers)
    {
        const auto taken = consume_hexadecimal(text);
        if (!taken)
        {
            return std::nullopt;
        }
        number = *taken;
    }
    const auto [data_centre, shard, epoch, generation, random] = numbers;
    if (!text.empty() || data_centre > UINT32_MAX || shard >= shard_count)
    {
        return std::nullopt;
    }
    return claim_ticket{
        static_cast<data_centre_id>(data_centre),
        static_cast<std::uint32_t>(shard), epoch, generation, random};
}

std::optional<std::uint64_t> uuid_time_ms(std::string_view text)
{
    if (text.size() != uuid_size || text[14] != '7')
    {
        return std::nullopt;
    }
    for (std::size_t place = 0; place < uuid_size; ++place)
    {
        const bool dash =
            place == 8 || place == 13 || place == 18 || place == 23;
        if (dash ? text[place] != '-' : !is_hexadecimal(text[place]))
        {
            return std::nullopt;
        }
    }
    const std::string digits =
        std::string(text.substr(0, 8)) + std::string(text.substr(9, 4));
    std::string_view rest = digits;
    return consume_hexadecimal(rest);
}

claim_home home_of(const configuration& current, std::string_view key)
{
    if (const auto ticket = parse_ticket(key))
    {
        return {ticket->data_centre, ticket->shard};
    }
    claim_home home{data_centre_id::none, shard_of_key(key)};
    std::uint64_t best = 0;
    for (const auto& entry : current.data_centres)
    {
        const data_centre_id id = data_centre_id_of(entry.name);
        const std::uint64_t hash = XXH3_64bits_withSeed(
            key.data(), key.size(), static_cast<XXH64_hash_t>(id));
        if (home.data_centre == data_centre_id::none || hash > best)
        {
            home.data_centre = id;
            best = hash;
        }
    }
    return home;
}

} // namespace cyclamenhold
