#include "adapters/settings_table.hpp"

#include <type_traits>

namespace cyclamenhold
{
namespace
{

std::string in_code(const std::string& text)
{
    return text.empty() ? "none" : '`' + text + '`';
}

// The default value of a setting, as text.
struct default_text
{
    node_settings& settings;

    std::string operator()(member_accessor<std::string> member) const
    {
        return in_code(member(settings));
    }
    template <class Number>
    requires std::is_integral_v<Number> std::string
    operator()(member_accessor<Number> member) const
    {
        return std::to_string(member(settings));
    }
    std::string operator()(member_accessor<double> member) const
    {
        return std::to_string(static_cast<std::uint64_t>(member(settings)));
    }
    std::string
    operator()(member_accessor<std::chrono::milliseconds> member) const
    {
        return std::to_string(member(settings).count());
    }
    template <class Enum>
    requires std::is_enum_v<Enum> std::string
    operator()(member_accessor<Enum> member) const
    {
        return in_code(std::string(name_of(member(settings))));
    }
    template <class Value>
    std::string operator()(member_accessor<Value> /*member*/) const
    {
        return "none";
    }
};

// The type of a setting that is not a number, as text.
struct type_text
{
    std::string operator()(member_accessor<std::string> /*member*/) const
    {
        return "text";
    }
    std::string operator()(member_accessor<ip_endpoint> /*member*/) const
    {
        return "`IPv4:port`";
    }
    std::string
    operator()(member_accessor<std::optional<ip_endpoint>> /*member*/) const
    {
        return "`IPv4:port`";
    }
    std::string
    operator()(member_accessor<std::vector<ip_endpoint>> /*member*/) const
    {
        return "array of `IPv4:port`";
    }
    std::string
    operator()(member_accessor<std::vector<std::string>> /*member*/) const
    {
        return "array of texts";
    }
    template <class Enum>
    requires std::is_enum_v<Enum> std::string
    operator()(member_accessor<Enum> /*member*/) const
    {
        std::string text;
        for (const auto& [value, name] : enum_names<Enum>::table)
        {
            text += (text.empty() ? "`" : ", `") + std::string(name) + '`';
        }
        return text;
    }
    template <class Number>
    std::string operator()(member_accessor<Number> /*member*/) const
    {
        return "";
    }
};

std::string range_text(const setting_entry& entry)
{
    if (entry.highest == 0)
    {
        return std::visit(type_text(), entry.member);
    }
    return std::to_string(entry.lowest) + " to " +
           std::to_string(entry.highest);
}

} // namespace

std::string settings_reference()
{
    node_settings defaults;
    std::string page = "| setting | unit | default | range | meaning |\n"
                       "| --- | --- | --- | --- | --- |\n";
    for (const auto& entry : settings_table())
    {
        const bool required = entry.presence == setting_presence::required;
        page += "| `" + std::string(entry.place) + "` | ";
        page += std::string(entry.unit) + " | ";
        page += required ? "required"
                         : std::visit(default_text{defaults}, entry.member);
        page += " | " + range_text(entry) + " | ";
        page += std::string(entry.meaning) + " |\n";
    }
    return page;
}

} // namespace cyclamenhold
