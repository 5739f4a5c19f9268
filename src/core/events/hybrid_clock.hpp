// Hybrid logical clock: orders the events of all hosts so that a cause precedes
// its effects, and stays close to the wall clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cyclamenhold
{

// The upper 48 bits are milliseconds since the Unix epoch, the lower 16 a
// counter among events of one millisecond.
enum class hybrid_time : std::uint64_t
{
    none = 0
};

// A remote time further ahead of the local wall clock is ignored, so that one
// host with a wrong clock does not advance the clocks of the whole fleet.
constexpr std::uint64_t max_clock_lead_ms = 60'000;

[[nodiscard]] constexpr hybrid_time
make_hybrid_time(std::uint64_t wall_ms, std::uint16_t counter = 0)
{
    return static_cast<hybrid_time>((wall_ms << 16) | counter);
}

[[nodiscard]] constexpr std::uint64_t wall_ms_of(hybrid_time time)
{
    return static_cast<std::uint64_t>(time) >> 16;
}

// The time of the next local event or message. Always later than `last`; a
// counter that overflows carries into the milliseconds.
[[nodiscard]] hybrid_time
next_hybrid_time(hybrid_time last, std::uint64_t wall_ms);

// The receive time of a message stamped `remote`: later than `last`, and later
// than `remote` unless `remote` is more than max_clock_lead_ms ahead of
// `wall_ms`.
[[nodiscard]] hybrid_time receive_hybrid_time(
    hybrid_time last, hybrid_time remote, std::uint64_t wall_ms);

// 16 hexadecimal digits; their lexical order is the order of the times.
[[nodiscard]] std::string to_string(hybrid_time time);
[[nodiscard]] std::optional<hybrid_time>
parse_hybrid_time(std::string_view text);

// UTC in ISO 8601 with milliseconds, as in "2026-12-04T09:30:00.123Z".
[[nodiscard]] std::string format_utc(std::uint64_t wall_ms);

} // namespace cyclamenhold
