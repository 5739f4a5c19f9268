// Terms of leases and loans, and tokens earned over time, with allowance for
// clock drift between hosts.
#pragma once

#include "core/base/time.hpp"

namespace cyclamenhold
{

// Largest rate error of a host's clock, as a fraction.
constexpr double max_clock_drift = 200e-6;

// The fraction of a term by which a grantor extends it. It covers a fast clock
// at the grantor and a slow one at the holder: with the drift d and the margin
// x, (1 + x) / (1 + d) >= 1 / (1 - d).
constexpr double grantor_margin = 500e-6;

// The term by a grantor's clock of a lease that its holder uses for `term`.
[[nodiscard]] inline duration grantor_term(duration term)
{
    return from_seconds(to_seconds(term) * (1.0 + grantor_margin)) + 1us;
}

// The term by a holder's clock of a lease that its grantor honours for `left`.
[[nodiscard]] inline duration holder_term(duration left)
{
    return from_seconds(to_seconds(left) * (1.0 - grantor_margin)) - 1us;
}

// Tokens that a rate earns in `elapsed`, reduced by the largest clock drift so
// that they are never more than in true time.
[[nodiscard]] inline double tokens_earned(double rate, duration elapsed)
{
    return rate * to_seconds(elapsed) * (1.0 - max_clock_drift);
}

} // namespace cyclamenhold
