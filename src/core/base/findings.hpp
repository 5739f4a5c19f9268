// Problems found in an input, each with its place. All problems of an input are
// reported together.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace cyclamenhold
{

struct finding
{
    // A JSON pointer into the input, the name of a parameter or option, or
    // "line 3, column 7" for text that cannot be parsed.
    std::string place;
    std::string message;
    bool operator==(const finding&) const = default;
};

using findings = std::vector<finding>;

inline void add_finding(findings& found, std::string place, std::string message)
{
    found.push_back({std::move(place), std::move(message)});
}

// One line per finding, "place: message".
[[nodiscard]] inline std::string to_string(const findings& found)
{
    std::string text;
    for (const auto& [place, message] : found)
    {
        text += place;
        text += ": ";
        text += message;
        text += '\n';
    }
    return text;
}

} // namespace cyclamenhold
