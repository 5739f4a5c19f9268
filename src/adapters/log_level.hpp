// The severity of a log line, from lowest to highest.
#pragma once

#include "core/base/names.hpp"

#include <array>
#include <cstdint>
#include <string_view>

namespace cyclamenhold
{

enum class log_level : std::uint8_t
{
    debug,
    info,
    warning,
    error
};

template <>
struct enum_names<log_level>
{
    static constexpr std::array<std::pair<log_level, std::string_view>, 4>
        table{
            {{log_level::debug, "debug"},
             {log_level::info, "info"},
             {log_level::warning, "warning"},
             {log_level::error, "error"}}};
};

} // namespace cyclamenhold
