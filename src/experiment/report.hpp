// Figures of an experiment as a table, JSON, CSV and a plot.
#pragma once

#include "experiment/figures.hpp"

#include <string>

namespace cyclamenhold
{

// Aligned columns for a terminal.
[[nodiscard]] std::string
to_table(const scenario& plan, const experiment_figures& figures);

[[nodiscard]] std::string
to_json(const scenario& plan, const experiment_figures& figures);

// One line a bin of the time line.
[[nodiscard]] std::string to_csv(const experiment_figures& figures);

} // namespace cyclamenhold
