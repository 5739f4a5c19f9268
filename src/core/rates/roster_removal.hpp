// Removing hosts that have gone for good: only when more than half of the
// roster confirm that they have not heard from it for the removal time, and
// refuse it from then on.
#pragma once

namespace cyclamenhold
{

struct rates_context;

// Proposes to remove a member that has long been silent, at one host.
void tick_removals(rates_context& context);

} // namespace cyclamenhold
