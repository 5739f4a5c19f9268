// The open-loop arrivals of a scenario, the same for the same seed.
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

// In order of time.
[[nodiscard]] std::vector<arrival> make_arrivals(const scenario& plan);

} // namespace cyclamenhold
