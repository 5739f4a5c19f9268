// Checks across settings, done after the single values are read.
#pragma once

#include "adapters/settings.hpp"

#include <functional>
#include <set>
#include <string>

namespace cyclamenhold
{

// JSON pointers of the settings that are present in the file.
using settings_pointers = std::set<std::string, std::less<>>;

// Adds a finding for each missing required setting and for each conflict
// between settings.
void check_settings(settings_result& result, const settings_pointers& given);

} // namespace cyclamenhold
