// Reads the fields of JSON objects and collects findings, each with its JSON
// pointer.
#pragma once

#include "core/base/findings.hpp"

#include <array>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>

#include <boost/json.hpp>

namespace cyclamenhold
{

// One object, and which of its fields were read. The other fields are unknown
// and become findings.
struct json_reader
{
    const boost::json::object* object = nullptr;
    // The JSON pointer to the object.
    std::string place;
    findings* found = nullptr;
    std::set<std::string, std::less<>> read_fields;
};

struct number_range
{
    double lowest = 0.0;
    double highest = 0.0;
    // The number must be greater than `lowest`.
    bool excludes_lowest = false;
};

// Parses a text whose root must be an object. On failure returns false and adds
// a finding.
[[nodiscard]] bool parse_json_object(
    std::string_view text, boost::json::value& value, findings& found);

// The JSON pointer to a field of the object.
[[nodiscard]] std::string
json_place(const json_reader& reader, std::string_view field);

// Returns the value of a field, or null. Adds a finding if the field is
// required and missing.
[[nodiscard]] const boost::json::value*
read_field(json_reader& reader, std::string_view field, bool required);

[[nodiscard]] std::string
read_string(json_reader& reader, std::string_view field, bool required = true);
[[nodiscard]] double read_number(
    json_reader& reader, std::string_view field, const number_range& range);
[[nodiscard]] std::uint64_t read_integer(
    json_reader& reader, std::string_view field, std::uint64_t lowest,
    std::uint64_t highest, std::uint64_t fallback);
[[nodiscard]] bool
read_bool(json_reader& reader, std::string_view field, bool fallback);

// Adds a finding for each field that was not read.
void report_unread_fields(json_reader& reader);

} // namespace cyclamenhold
