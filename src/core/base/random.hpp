// The random source, passed to every function that makes a random decision.
#pragma once

#include <cstdint>
#include <random>

namespace cyclamenhold
{

// One engine per thread, or per node in tests. The same seed gives the same
// decisions.
using random_source = std::mt19937_64;

// A uniform integer in [0, bound); `bound` must be positive.
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
