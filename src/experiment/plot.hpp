// The time line of an experiment as a picture.
#pragma once

#include "experiment/figures.hpp"

#include <string>

namespace cyclamenhold
{

// Goodput by class over time, stacked, with the offered calls as a line and
// the disturbed time shaded.
[[nodiscard]] std::string
to_svg(const scenario& plan, const experiment_figures& figures);

// A page that holds the picture and the table.
[[nodiscard]] std::string
to_html(const scenario& plan, const experiment_figures& figures);

} // namespace cyclamenhold
