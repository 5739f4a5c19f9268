// The time line of an experiment as an SVG picture.
#pragma once

#include "experiment/figures.hpp"

#include <string>

namespace cyclamenhold
{

// A stacked chart of goodput by priority class over time, with the offered
// calls as a line and the time of the disturbance shaded.
[[nodiscard]] std::string
to_svg(const scenario& plan, const experiment_figures& figures);

// An HTML page with the picture and the table.
[[nodiscard]] std::string
to_html(const scenario& plan, const experiment_figures& figures);

} // namespace cyclamenhold
