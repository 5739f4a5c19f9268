// Checks of the settings as a whole, after each value was read.
#pragma once

#include "adapters/settings.hpp"

#include <functional>
#include <set>
#include <string>

namespace cyclamenhold
{

// JSON pointers of the settings that the file gives.
using settings_pointers = std::set<std::string, std::less<>>;

// Adds a finding for each required setting that is missing and for settings
// that contradict each other.
void check_settings(settings_result& result, const settings_pointers& seen);

} // namespace cyclamenhold
