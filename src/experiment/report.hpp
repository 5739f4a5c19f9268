// Formats the figures of an experiment as a table, JSON or CSV.
#pragma once

#include "experiment/figures.hpp"

#include <string>

namespace cyclamenhold
{

// A table with aligned columns for a terminal.
[[nodiscard]] std::string
to_table(const scenario& plan, const experiment_figures& figures);

[[nodiscard]] std::string
to_json(const scenario& plan, const experiment_figures& figures);

// A header line, then one line per bin of the time line.
[[nodiscard]] std::string to_csv(const experiment_figures& figures);

} // namespace cyclamenhold
