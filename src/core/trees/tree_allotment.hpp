// Which part of the root requests the fleet admits, so that the whole trees of
// those fit into every service below them. Important classes come first; within
// a class all routes that share a full service have the same part.
#pragma once

#include "core/trees/tree_totals.hpp"

#include <limits>
#include <map>

namespace cyclamenhold
{

struct tree_allotment
{
    // The part of the requests that is admitted, 0 to 1.
    double share = 1.0;
    // The factor by which the admitted requests may grow before a service below
    // them is full, if all others grow as well; at least 1.
    double headroom = std::numeric_limits<double>::infinity();
};

// `capacity` holds the slots that each service may use. A service without an
// entry is not limited, and a route without a cost is admitted.
[[nodiscard]] std::map<tree_key, tree_allotment> allot_trees(
    const std::map<tree_key, double>& demand, const tree_costs& costs,
    const std::map<service_id, double>& capacity);

} // namespace cyclamenhold
