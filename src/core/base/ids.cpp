#include "core/base/ids.hpp"

#include <array>
#include <charconv>
#include <cstdio>

#include <xxhash.h>

namespace cyclamenhold
{
namespace
{

// Never zero, which is reserved for "none".
std::uint64_t hash_name(std::string_view name)
{
    const std::uint64_t hash = XXH3_64bits(name.data(), name.size());
    return hash == 0 ? 1 : hash;
}

template <class Number>
bool parse_number(std::string_view text, Number& value, int base = 10)
{
    const char* const end = text.data() + text.size();
    const auto [position, error] =
        std::from_chars(text.data(), end, value, base);
    return error == std::errc() && position == end;
}

// Never 0, which means "none".
std::uint32_t short_hash(std::string_view name)
{
    const auto folded = static_cast<std::uint32_t>(hash_name(name) >> 32);
    return folded == 0 ? 1 : folded;
}

} // namespace

workspace_id workspace_id_of(std::string_view name)
{
    return static_cast<workspace_id>(hash_name(name));
}

service_id service_id_of(std::string_view name)
{
    return static_cast<service_id>(hash_name(name));
}

data_centre_id data_centre_id_of(std::string_view name)
{
    return static_cast<data_centre_id>(short_hash(name));
}

region_id region_id_of(std::string_view name)
{
    return static_cast<region_id>(short_hash(name));
}

route_id route_id_of(std::string_view name)
{
    return static_cast<route_id>(short_hash(name));
}

std::optional<host_id> parse_host_id(std::string_view text)
{
    const auto colon = text.find(':');
    if (colon == std::string_view::npos)
    {
        return std::nullopt;
    }
    std::uint16_t port = 0;
    if (!parse_number(text.substr(colon + 1), port) || port == 0)
    {
        return std::nullopt;
    }
    std::string_view rest = text.substr(0, colon);
    std::uint32_t address = 0;
    for (int part = 0; part < 4; ++part)
    {
        const auto dot = part < 3 ? rest.find('.') : rest.size();
        std::uint8_t octet = 0;
        if (dot == std::string_view::npos ||
            !parse_number(rest.substr(0, dot), octet))
        {
            return std::nullopt;
        }
        address = (address << 8) | octet;
        rest.remove_prefix(part < 3 ? dot + 1 : dot);
    }
    return make_host_id(address, port);
}

std::string to_string(host_id id)
{
    const auto value = static_cast<std::uint64_t>(id);
    std::string text;
    for (int shift = 40; shift >= 16; shift -= 8)
    {
        text += std::to_string((value >> shift) & 0xff);
        text += shift > 16 ? '.' : ':';
    }
    return text + std::to_string(value & 0xffff);
}

std::string to_string(const trace_id& id)
{
    std::array<char, 33> text{};
    std::snprintf(
        text.data(), text.size(), "%016llx%016llx",
        static_cast<unsigned long long>(id.high),
        static_cast<unsigned long long>(id.low));
    return text.data();
}

std::optional<trace_id> parse_trace_id(std::string_view text)
{
    trace_id id;
    if (text.size() != 32 || !parse_number(text.substr(0, 16), id.high, 16) ||
        !parse_number(text.substr(16), id.low, 16))
    {
        return std::nullopt;
    }
    return id;
}

} // namespace cyclamenhold
