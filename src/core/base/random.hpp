// The random source that is handed to every decision that needs one.
#pragma once

#include <cstdint>
#include <random>

namespace cyclamenhold
{

// One engine a thread, or one a node in tests; the same seed gives the same
// decisions.
using random_source = std::mt19937_64;

// A uniform number below `bound`, which must be positive.
[[nodiscard]] inline std::uint64_t
random_below(random_source& random, std::uint64_t bound)
{
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(random);
}

// A uniform number in [0, 1).
[[nodiscard]] inline double random_fraction(random_source& random)
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(random);
}

} // namespace cyclamenhold
