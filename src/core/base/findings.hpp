// Problems found in an input, each with its place, reported all together.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace cyclamenhold
{

struct finding
{
    // A JSON pointer into the input, or "line 3, column 7" where the text
    // cannot be parsed at all.
    std::string place;
    std::string message;
    bool operator==(const finding&) const = default;
};

using findings = std::vector<finding>;

inline void add_finding(findings& found, std::string place, std::string message)
{
    found.push_back({std::move(place), std::move(message)});
}

// One line a finding, "place: message".
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
