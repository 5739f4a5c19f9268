// The command line of cyclamen-load.
#pragma once

#include "fleet.hpp"
#include "latency_comparison.hpp"

#include "core/base/findings.hpp"
#include "experiment/scenario.hpp"

#include <optional>
#include <string>

namespace cyclamenhold
{

struct load_command
{
    // Printed instead of running when not empty.
    std::string text;
    findings found;
    // Only check the files.
    bool check = false;
    bool print_json = false;
    std::string json_file;
    std::string csv_file;
    std::string svg_file;
    std::string html_file;
    scenario plan;
    fleet processes;
    // Set for the comparison of latencies instead of a scenario.
    std::optional<comparison_settings> comparison;
};

[[nodiscard]] load_command parse_load_command(int argc, char** argv);

} // namespace cyclamenhold
