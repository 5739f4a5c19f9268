// Terms of pledges and loans, and tokens over time, on clocks that drift.
#pragma once

#include "core/base/time.hpp"

namespace cyclamenhold
{

// Clocks run at most this much too fast or too slow.
constexpr double max_clock_drift = 200e-6;

// What a giver adds to a term. Covers a giver's fast clock against a
// receiver's slow one: (1 + x) / (1 + d) >= 1 / (1 - d).
constexpr double grantor_margin = 500e-6;

// How long a giver counts a term that its receiver counts as `term`.
[[nodiscard]] inline duration grantor_term(duration term)
{
    return from_seconds(to_seconds(term) * (1.0 + grantor_margin)) + 1us;
}

// How long a receiver may use what a giver holds for `left`.
[[nodiscard]] inline duration holder_term(duration left)
{
    return from_seconds(to_seconds(left) * (1.0 - grantor_margin)) - 1us;
}

// Tokens that a rate earns, never more than in true time.
[[nodiscard]] inline double tokens_earned(double rate, duration elapsed)
{
    return rate * to_seconds(elapsed) * (1.0 - max_clock_drift);
}

} // namespace cyclamenhold
