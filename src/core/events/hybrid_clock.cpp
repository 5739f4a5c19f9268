#include "core/events/hybrid_clock.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <cstdio>

namespace cyclamenhold
{

hybrid_time next_hybrid_time(hybrid_time last, std::uint64_t wall_ms)
{
    const auto following =
        static_cast<hybrid_time>(static_cast<std::uint64_t>(last) + 1);
    return std::max(following, make_hybrid_time(wall_ms));
}

hybrid_time
receive_hybrid_time(hybrid_time last, hybrid_time remote, std::uint64_t wall_ms)
{
    if (wall_ms_of(remote) > wall_ms + max_clock_lead_ms)
    {
        return next_hybrid_time(last, wall_ms);
    }
    return next_hybrid_time(std::max(last, remote), wall_ms);
}

std::string to_string(hybrid_time time)
{
    std::array<char, 17> text{};
    std::snprintf(
        text.data(), text.size(), "%016llx",
        static_cast<unsigned long long>(time));
    return text.data();
}

std::optional<hybrid_time> parse_hybrid_time(std::string_view text)
{
    constexpr std::size_t digits = 16;
    constexpr int hexadecimal = 16;
    std::uint64_t value = 0;
    const char* const end = text.data() + text.size();
    const auto [position, error] =
        std::from_chars(text.data(), end, value, hexadecimal);
    if (text.size() != digits || error != std::errc() || position != end)
    {
        return std::nullopt;
    }
    return static_cast<hybrid_time>(value);
}

std::string format_utc(std::uint64_t wall_ms)
{
    using namespace std::chrono;
    const sys_time<milliseconds> time{milliseconds(wall_ms)};
    const auto day = floor<days>(time);
    const year_month_day date(day);
    const hh_mm_ss clock(time - day);
    std::array<char, 40> text{};
    std::snprintf(
        text.data(), text.size(), "%04d-%02u-%02uT%02d:%02d:%02d.%03dZ",
        static_cast<int>(date.year()), static_cast<unsigned>(date.month()),
        static_cast<unsigned>(date.day()),
        static_cast<int>(clock.hours().count()),
        static_cast<int>(clock.minutes().count()),
        static_cast<int>(clock.seconds().count()),
        static_cast<int>(clock.subseconds().count()));
    return text.data();
}

} // namespace cyclamenhold
