// Reads members of JSON objects and adds a finding with its JSON pointer for
// each invalid one.
#pragma once

#include "core/base/findings.hpp"

#include <boost/json.hpp>

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenhold
{

// Parses JSON with comments and trailing commas. Adds a finding with line and
// column and returns nullopt if the text is not valid.
[[nodiscard]] std::optional<boost::json::value>
parse_json_with_comments(std::string_view text, findings& found);

class member_reader
{
public:
    // If the value is not an object, adds a finding and reads it as an empty
    // object.
    member_reader(
        const boost::json::value& value, std::string pointer, findings& found);

    // Each returns `fallback`, or an empty value, if the member is absent or
    // invalid.
    [[nodiscard]] std::string
    text(std::string_view name, std::string fallback = {});
    [[nodiscard]] std::string required_text(std::string_view name);
    [[nodiscard]] double number(
        std::string_view name, double fallback, double minimum, double maximum);
    [[nodiscard]] bool flag(std::string_view name, bool fallback);
    [[nodiscard]] std::vector<std::string> texts(std::string_view name);
    [[nodiscard]] std::vector<double> numbers(std::string_view name);
    // The object as JSON text; "{}" if it is absent or invalid.
    [[nodiscard]] std::string object_text(std::string_view name);
    // A reader for each element of an array of objects.
    [[nodiscard]] std::vector<member_reader> objects(std::string_view name);
    [[nodiscard]] std::optional<member_reader> object(std::string_view name);

    void add(std::string_view name, std::string message);
    // Adds a finding for each member that has not been read.
    void reject_unknown();

private:
    const boost::json::value* member(std::string_view name);

    const boost::json::object* object_ = nullptr;
    std::string pointer_;
    findings* found_;
    std::set<std::string, std::less<>> known_;
};

} // namespace cyclamenhold
