// The open-loop arrivals of a scenario, which are the same for the same seed.
#pragma once

#include "experiment/scenario.hpp"

#include <cstdint>
#include <vector>

namespace cyclamenhold
{

struct arrival
{
    double at_s = 0.0;
    std::uint32_t workspace = 0;
    std::uint32_t route = 0;
};

// Returns the arrivals in order of time.
[[nodiscard]] std::vector<arrival> make_arrivals(const scenario& plan);

} // namespace cyclamenhold
