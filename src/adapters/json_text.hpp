// JSON that another process sent, as text for a terminal.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <boost/json.hpp>

namespace cyclamenhold
{

// Parses a text whose root is an object; nullopt for anything else.
[[nodiscard]] std::optional<boost::json::object>
parse_object(std::string_view text);

// The member's text, or "" when there is none.
[[nodiscard]] std::string
text_of(const boost::json::object& object, std::string_view name);

// Replaces control characters, so that no name can move the cursor.
[[nodiscard]] std::string printable(std::string_view text);

// Members a line each, "name: value", nested ones indented below.
[[nodiscard]] std::string
outline(const boost::json::value& value, std::size_t depth = 0);

} // namespace cyclamenhold
