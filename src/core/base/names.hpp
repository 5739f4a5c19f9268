// Tables that map the values of an enumeration to their names in settings,
// logs, metrics and the operators' API.
#pragma once

#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace cyclamenhold
{

// Specialised next to each enumeration, with a member
// `static constexpr std::array<std::pair<Enum, std::string_view>, N> table`.
template <class Enum>
struct enum_names;

// The name of a value, or "?" if the table does not contain it.
template <class Enum>
[[nodiscard]] constexpr std::string_view name_of(Enum value)
{
    for (const auto& [entry, name] : enum_names<Enum>::table)
    {
        if (entry == value)
        {
            return name;
        }
    }
    return "?";
}

// The value with this name, or nullopt if there is none.
template <class Enum>
[[nodiscard]] constexpr std::optional<Enum> value_named(std::string_view text)
{
    for (const auto& [entry, name] : enum_names<Enum>::table)
    {
        if (name == text)
        {
            return entry;
        }
    }
    return std::nullopt;
}

} // namespace cyclamenhold
