#include "core/intent/operations.hpp"

#include "core/intent/configuration_json.hpp"

namespace cyclamenhold
{
namespace
{

constexpr std::size_t max_summary_operations = 8;

operation read_operation(json_reader& reader)
{
    operation read;
    const std::string text = read_string(reader, "op");
    const auto kind = value_named<operation_kind>(text);
    if (!kind.has_value())
    {
        if (reader.object->contains("op"))
        {
            add_finding(
                *reader.found, json_place(reader, "op"),
                "is not a known operation");
        }
        return read;
    }
    read.kind = *kind;
    switch (*kind)
    {
    case operation_kind::put_workspace:
        read.workspace = read_workspace(reader);
        break;
    case operation_kind::put_key:
        read.key = read_key(reader);
        break;
    case operation_kind::put_route:
        read.route = read_route(reader);
        break;
    case operation_kind::put_data_centre:
        read.data_centre = read_data_centre(reader);
        break;
    case operation_kind::withdraw_key:
        read.name = read_name(reader, "id");
        break;
    case operation_kind::remove_workspace:
    case operation_kind::remove_route:
    case operation_kind::remove_data_centre:
        read.name = read_name(reader, "name");
        break;
    }
    report_unread_fields(reader);
    return read;
}

void read_operations(const boost::json::array& list, parsed_operations& parsed)
{
    if (list.empty() || list.size() > max_operations)
    {
        add_finding(
            parsed.found, "/operations",
            "must hold 1 to " + std::to_string(max_operations) + " operations");
        return;
    }
    for (std::size_t position = 0; position < list.size(); ++position)
    {
        const std::string place = "/operations/" + std::to_string(position);
        if (!list[position].is_object())
        {
            add_finding(parsed.found, place, "must be an object");
            continue;
        }
        json_reader reader{
            &list[position].get_object(), place, &parsed.found, {}};
        parsed.operations.push_back(read_operation(reader));
    }
}

boost::json::object to_json_object(const operation& value)
{
    const std::string_view name = name_of(value.kind);
    boost::json::object object;
    switch (value.kind)
    {
    case operation_kind::put_workspace:
        object = to_json_object(value.workspace);
        break;
    case operation_kind::put_key:
        object = to_json_object(value.key);
        object.erase("withdrawn");
        break;
    case operation_kind::put_route:
        object = to_json_object(value.route);
        break;
    case operation_kind::put_data_centre:
        object = to_json_object(value.data_centre);
        break;
    case operation_kind::withdraw_key:
        object["id"] = value.name;
        break;
    case operation_kind::remove_workspace:
    case operation_kind::remove_route:
    case operation_kind::remove_data_centre:
        object["name"] = value.name;
        break;
    }
    object["op"] = boost::json::string_view(name.data(), name.size());
    return object;
}

const std::string& subject_of(const operation& value)
{
    switch (value.kind)
    {
    case operation_kind::put_workspace:
        return value.workspace.name;
    case operation_kind::put_key:
        return value.key.id;
    case operation_kind::put_route:
        return value.route.name;
    case operation_kind::put_data_centre:
        return value.data_centre.name;
    case operation_kind::withdraw_key:
    case operation_kind::remove_workspace:
    case operation_kind::remove_route:
    case operation_kind::remove_data_centre:
        break;
    }
    return value.name;
}

} // namespace

parsed_operations parse_operations(std::string_view text)
{
    parsed_operations parsed;
    if (text.size() > max_operations_size)
    {
        add_finding(
            parsed.found, "",
            "is larger than " + std::to_string(max_operations_size) + " bytes");
        return parsed;
    }
    boost::json::value root;
    if (!parse_json_object(text, root, parsed.found))
    {
        return parsed;
    }
    json_reader reader{&root.get_object(), "", &parsed.found, {}};
    if (const auto* list = read_field(reader, "operations", true);
        list != nullptr)
    {
        if (list->is_array())
        {
            read_operations(list->get_array(), parsed);
        }
        else
        {
            add_finding(parsed.found, "/operations", "must be a list");
        }
    }
    report_unread_fields(reader);
    return parsed;
}

std::string to_json(const std::vector<operation>& operations)
{
    boost::json::array list;
    for (const auto& value : operations)
    {
        list.push_back(to_json_object(value));
    }
    boost::json::object root;
    root["operations"] = std::move(list);
    return boost::json::serialize(root);
}

std::string summary_of(const std::vector<operation>& operations)
{
    std::string summary;
    for (std::size_t place = 0; place < operations.size(); ++place)
    {
        if (place == max_summary_operations)
        {
            return summary + " and " +
                   std::to_string(operations.size() - place) + " more";
        }
        summary += place == 0 ? "" : ", ";
        summary += name_of(operations[place].kind);
        summary += ' ';
        summary += subject_of(operations[place]);
    }
    return summary;
}

} // namespace cyclamenhold
