// What operators ask for: operations on the configuration, given as
// {"operations": [{"op": "put-workspace", ...}, ...]}. The fields beside "op"
// are those of configuration_json.hpp; "remove-..." takes "name" and
// "withdraw-key" takes "id".
#pragma once

#include "core/base/findings.hpp"
#include "core/configuration/model.hpp"

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenhold
{

enum class operation_kind : std::uint8_t
{
    put_workspace,
    remove_workspace,
    put_key,
    withdraw_key,
    put_route,
    remove_route,
    put_data_centre,
    remove_data_centre
};

template <>
struct enum_names<operation_kind>
{
    static constexpr std::array<std::pair<operation_kind, std::string_view>, 8>
        table{
            {{operation_kind::put_workspace, "put-workspace"},
             {operation_kind::remove_workspace, "remove-workspace"},
             {operation_kind::put_key, "put-key"},
             {operation_kind::withdraw_key, "withdraw-key"},
             {operation_kind::put_route, "put-route"},
             {operation_kind::remove_route, "remove-route"},
             {operation_kind::put_data_centre, "put-data-centre"},
             {operation_kind::remove_data_centre, "remove-data-centre"}}};
};

constexpr std::size_t max_operations = 1'000;
// Of the JSON text; leaves room for a change in one value of the platform.
constexpr std::size_t max_operations_size = 400'000;

// One operation; only the part that `kind` names is of meaning.
struct operation
{
    operation_kind kind = operation_kind::put_workspace;
    cyclamenhold::workspace workspace;
    workspace_key key;
    cyclamenhold::route route;
    cyclamenhold::data_centre data_centre;
    // What "remove-..." removes, or the id that "withdraw-key" withdraws.
    std::string name;
};

struct parsed_operations
{
    std::vector<operation> operations;
    // When there are any, the operations must not be used.
    findings found;
};

[[nodiscard]] parsed_operations parse_operations(std::string_view text);

// The operations as the JSON text that parse_operations reads.
[[nodiscard]] std::string to_json(const std::vector<operation>& operations);

// Applies all operations in order, or none when there are findings. The lists
// of a configuration stay sorted by name or id. The revision is left alone.
[[nodiscard]] findings apply_operations(
    configuration& target, const std::vector<operation>& operations);

// A line a change, "+ workspace a: rate 10, burst 20".
[[nodiscard]] std::vector<std::string>
diff_lines(const configuration& before, const configuration& after);

// One line for all operations, "put-workspace a, withdraw-key b".
[[nodiscard]] std::string summary_of(const std::vector<operation>& operations);

// The key ids that are withdrawn in `after` and were not in `before`.
[[nodiscard]] std::vector<std::string>
newly_withdrawn_keys(const configuration& before, const configuration& after);

} // namespace cyclamenhold
