// Converts the configuration and its parts to and from JSON, for operators, for
// changes in the chain and for its snapshots.
//
// Fields: workspace {name, rate, burst, regions}; key {id, workspace, digest,
// withdrawn}; route {name, method, path_prefix, service, priority, open,
// never_repeat, retry_allowance, deadline_ms, regions}; data centre {name,
// region, weight}; the whole {revision, workspaces, keys, routes,
// data_centres}.
#pragma once

#include "core/configuration/model.hpp"
#include "core/intent/json_reader.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace cyclamenhold
{

// Each reads its fields and reports findings; the result is valid only if there
// are none. They do not call report_unread_fields.
[[nodiscard]] workspace read_workspace(json_reader& reader);
[[nodiscard]] workspace_key read_key(json_reader& reader);
[[nodiscard]] route read_route(json_reader& reader);
[[nodiscard]] data_centre read_data_centre(json_reader& reader);
// Reads a name from `field`; only letters, digits, dots, dashes and underscores
// are valid.
[[nodiscard]] std::string
read_name(json_reader& reader, std::string_view field);

[[nodiscard]] boost::json::object to_json_object(const workspace& value);
[[nodiscard]] boost::json::object to_json_object(const workspace_key& value);
[[nodiscard]] boost::json::object to_json_object(const route& value);
[[nodiscard]] boost::json::object to_json_object(const data_centre& value);
[[nodiscard]] boost::json::object to_json_object(const configuration& value);

// The whole configuration as JSON text.
[[nodiscard]] std::string to_json(const configuration& value);

// Returns nothing, and adds findings, if the text is not a whole configuration.
[[nodiscard]] std::optional<configuration>
parse_configuration(std::string_view text, findings& found);

// Lower-case hexadecimal digits; parse_digest also accepts upper case.
[[nodiscard]] std::string to_hex(const key_digest& digest);
[[nodiscard]] std::optional<key_digest> parse_digest(std::string_view text);

} // namespace cyclamenhold
