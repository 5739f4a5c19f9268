// Operations on the configuration that operators request, as JSON
// {"operations": [{"op": "put-workspace", ...}, ...]}. The other fields of
// "put-..." are those of configuration_json.hpp; "remove-..." has "name" and
// "withdraw-key" has "id".
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
// Bytes of the JSON text; a change must fit into one value of the platform.
constexpr std::size_t max_operations_size = 400'000;

// One operation; only the fields of its `kind` are used.
struct operation
{
    operation_kind kind = operation_kind::put_workspace;
    cyclamenhold::workspace workspace;
    workspace_key key;
    cyclamenhold::route route;
    cyclamenhold::data_centre data_centre;
    // The name for "remove-...", or the id for "withdraw-key".
    std::string name;
};

struct parsed_operations
{
    std::vector<operation> operations;
    // If there are any, `operations` must not be used.
    findings found;
};

[[nodiscard]] parsed_operations parse_operations(std::string_view text);

// The operations as the JSON text that parse_operations reads.
[[nodiscard]] std::string to_json(const std::vector<operation>& operations);

// Applies all operations in order, or none if there are findings. Keeps the
// lists of the configuration sorted by name or id, and the revision unchanged.
[[nodiscard]] findings apply_operations(
    configuration& target, const std::vector<operation>& operations);

// One line per difference, for instance "+ workspace a: rate 10, burst 20".
[[nodiscard]] std::vector<std::string>
diff_lines(const configuration& before, const configuration& after);

// One line for all operations, for instance "put-workspace a, withdraw-key b".
[[nodiscard]] std::string summary_of(const std::vector<operation>& operations);

// The ids of keys that are withdrawn in `after` but not in `before`.
[[nodiscard]] std::vector<std::string>
newly_withdrawn_keys(const configuration& before, const configuration& after);

} // namespace cyclamenhold
