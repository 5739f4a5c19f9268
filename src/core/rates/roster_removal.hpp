// Removing hosts that have gone for good: only when more than half of the
// roster confirm that they have not heard from it for the removal time, and
// refuse it from then on.
#pragma once

namespace cyclamenhold
{

struct rates_step;

// Proposes to remove a member that has long been silent, at one host.
void keep_removals(rates_step& step);

} // namespace cyclamenhold
