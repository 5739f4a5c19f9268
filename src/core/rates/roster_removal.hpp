// Removal of failed hosts from the roster. A host is removed only when more
// than half of the roster confirm that they had no contact with it for the
// removal time; they refuse its queries from then on.
#pragma once

namespace cyclamenhold
{

struct rates_context;

// Proposes the removal of a member without contact for the removal time. Only
// the steward of shard 0 proposes.
void tick_removals(rates_context& context);

} // namespace cyclamenhold
