// The log of a node: one JSON object per line.
#pragma once

#include "adapters/log_level.hpp"

#include <absl/status/status.h>

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace cyclamenhold
{

using log_value =
    std::variant<std::string_view, std::int64_t, std::uint64_t, double, bool>;

// A named value in addition to the message of a line.
struct log_field
{
    log_field(std::string_view field_name, std::string_view text)
        : name(field_name), value(text)
    {
    }
    log_field(std::string_view field_name, const char* text)
        : log_field(field_name, std::string_view(text))
    {
    }
    log_field(std::string_view field_name, const std::string& text)
        : log_field(field_name, std::string_view(text))
    {
    }
    log_field(std::string_view field_name, bool truth)
        : name(field_name), value(truth)
    {
    }
    log_field(std::string_view field_name, std::signed_integral auto number)
        : name(field_name), value(static_cast<std::int64_t>(number))
    {
    }
    log_field(std::string_view field_name, std::unsigned_integral auto number)
        : name(field_name), value(static_cast<std::uint64_t>(number))
    {
    }
    log_field(std::string_view field_name, std::floating_point auto number)
        : name(field_name), value(static_cast<double>(number))
    {
    }

    std::string_view name;
    log_value value;
};

// Formats one line, without the line break. Bytes that are not valid UTF-8 are
// replaced by U+FFFD, so that a line is always valid JSON.
[[nodiscard]] std::string format_log_line(
    std::uint64_t wall_ms, log_level level, std::string_view node,
    std::string_view message, std::initializer_list<log_field> fields);

// A handle of an open log; copies write to the same log. A default-constructed
// one drops every line. Thread-safe.
struct json_log
{
    struct sink;
    std::shared_ptr<const sink> out;
};

// Opens a log that appends to `file`; "-" is the standard error stream,
// "stdout" the standard output. Returns NotFound if the file cannot be opened.
[[nodiscard]] absl::Status open_log(
    json_log& log, const std::string& node, log_level lowest,
    const std::string& file);

// Writes a line if `level` is at least the log's lowest level.
void write_log(
    const json_log& log, log_level level, std::string_view message,
    std::initializer_list<log_field> fields = {});

} // namespace cyclamenhold
