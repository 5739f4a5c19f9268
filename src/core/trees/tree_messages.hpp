// Messages about call trees as plain structs, and their FlatBuffers encoding.
#pragma once

#include "core/trees/tree_allotment.hpp"
#include "core/trees/tree_counts.hpp"
#include "core/trees/tree_totals.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <variant>
#include <vector>

namespace cyclamenhold
{

struct tree_report
{
    // Repeated in the reply.
    std::uint64_t report = 0;
    incarnation host_incarnation = 0;
    host_counts counts;
};

struct tree_reply
{
    std::uint64_t report = 0;
    std::map<tree_key, tree_allotment> allotments;
};

using tree_message = std::variant<tree_report, tree_reply, tree_totals>;

[[nodiscard]] std::vector<std::uint8_t> encode(const tree_message& message);

// Returns nothing if the bytes are not a complete message, or have numbers that
// are negative or not finite.
[[nodiscard]] std::optional<tree_message>
decode_tree_message(std::span<const std::uint8_t> payload);

} // namespace cyclamenhold
