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
    // The help or version text. If not empty, it is printed and nothing runs.
    std::string text;
    findings found;
    // Check the files and send nothing.
    bool check = false;
    bool print_json = false;
    std::string json_file;
    std::string csv_file;
    std::string svg_file;
    std::string html_file;
    scenario plan;
    fleet processes;
    // If set, latencies are compared and no scenario is run.
    std::optional<comparison_settings> comparison;
};

[[nodiscard]] load_command parse_load_command(int argc, char** argv);

} // namespace cyclamenhold
