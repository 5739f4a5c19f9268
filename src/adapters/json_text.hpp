// Formats JSON from other processes for a terminal.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <boost/json.hpp>

namespace cyclamenhold
{

// Parses a JSON object; nullopt for malformed text or another type of value.
[[nodiscard]] std::optional<boost::json::object>
parse_object(std::string_view text);

// The value of a string member; empty if there is no such member.
[[nodiscard]] std::string
text_of(const boost::json::object& object, std::string_view name);

// Replaces control characters by '?', so that text from another process cannot
// send control sequences to the terminal.
[[nodiscard]] std::string printable(std::string_view text);

// Formats each member on a line, "name: value", with nested values indented
// below it. `depth` is the indentation level.
[[nodiscard]] std::string
outline(const boost::json::value& value, std::size_t depth = 0);

} // namespace cyclamenhold
