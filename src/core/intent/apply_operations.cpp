#include "core/intent/operations.hpp"

#include <algorithm>

namespace cyclamenhold
{
namespace
{

const std::string& sort_key(const workspace& value)
{
    return value.name;
}

const std::string& sort_key(const workspace_key& value)
{
    return value.id;
}

const std::string& sort_key(const route& value)
{
    return value.name;
}

const std::string& sort_key(const data_centre& value)
{
    return value.name;
}

template <class Value>
auto lower_bound_of(std::vector<Value>& values, const std::string& name)
{
    return std::lower_bound(
        values.begin(), values.end(), name,
        [](const Value& value, const std::string& wanted)
        {
            return sort_key(value) < wanted;
        });
}

template <class Value>
Value* find_by_name(std::vector<Value>& values, const std::string& name)
{
    const auto place = lower_bound_of(values, name);
    if (place == values.end() || sort_key(*place) != name)
    {
        return nullptr;
    }
    return &*place;
}

template <class Value>
void insert_or_replace(std::vector<Value>& values, const Value& value)
{
    if (Value* present = find_by_name(values, sort_key(value));
        present != nullptr)
    {
        *present = value;
        return;
    }
    values.insert(lower_bound_of(values, sort_key(value)), value);
}

// An operation with the configuration that it changes.
struct operation_context
{
    configuration& target;
    const operation& value;
    std::string place;
    findings& found;
};

void report_finding(
    operation_context& context, const char* field, std::string message)
{
    add_finding(context.found, context.place + "/" + field, std::move(message));
}

template <class Value>
void remove_by_name(std::vector<Value>& values, operation_context& context)
{
    if (find_by_name(values, context.value.name) == nullptr)
    {
        report_finding(context, "name", "no entry has this name");
        return;
    }
    values.erase(lower_bound_of(values, context.value.name));
}

void put_workspace(operation_context& context)
{
    const workspace& added = context.value.workspace;
    for (const auto& other : context.target.workspaces)
    {
        if (other.name != added.name &&
            workspace_id_of(other.name) == workspace_id_of(added.name))
        {
            report_finding(
                context, "name",
                "has the same id as workspace " + other.name +
                    "; choose another name");
        }
    }
    insert_or_replace(context.target.workspaces, added);
}

void remove_workspace(operation_context& context)
{
    for (const auto& key : context.target.keys)
    {
        if (key.workspace == context.value.name && !key.withdrawn)
        {
            report_finding(
                context, "name",
                "still has key " + key.id + ", which must be withdrawn first");
        }
    }
    remove_by_name(context.target.workspaces, context);
    std::erase_if(
        context.target.keys,
        [&](const workspace_key& key)
        {
            return key.workspace == context.value.name && key.withdrawn;
        });
}

void put_key(operation_context& context)
{
    workspace_key added = context.value.key;
    added.withdrawn = false;
    if (find_by_name(context.target.workspaces, added.workspace) == nullptr)
    {
        report_finding(context, "workspace", "no workspace has this name");
    }
    const workspace_key* present = find_by_name(context.target.keys, added.id);
    if (present == nullptr)
    {
        insert_or_replace(context.target.keys, added);
        return;
    }
    if (present->withdrawn)
    {
        report_finding(context, "id", "was withdrawn; an id cannot be reused");
        return;
    }
    if (!(*present == added))
    {
        report_finding(context, "id", "another key has this id");
    }
}

void withdraw_key(operation_context& context)
{
    workspace_key* present =
        find_by_name(context.target.keys, context.value.name);
    if (present == nullptr)
    {
        report_finding(context, "id", "no key has this id");
        return;
    }
    present->withdrawn = true;
}

void put_route(operation_context& context)
{
    const route& added = context.value.route;
    for (const auto& other : context.target.routes)
    {
        if (other.name == added.name)
        {
            continue;
        }
        if (other.method == added.method &&
            other.path_prefix == added.path_prefix)
        {
            report_finding(
                context, "path_prefix",
                "route " + other.name + " has the same method and prefix");
        }
        if (other.service != added.service &&
            service_id_of(other.service) == service_id_of(added.service))
        {
            report_finding(
                context, "service",
                "has the same id as service " + other.service +
                    "; choose another name");
        }
    }
    insert_or_replace(context.target.routes, added);
}

void put_data_centre(operation_context& context)
{
    const data_centre& added = context.value.data_centre;
    for (const auto& other : context.target.data_centres)
    {
        if (other.name != added.name &&
            data_centre_id_of(other.name) == data_centre_id_of(added.name))
        {
            report_finding(
                context, "name",
                "has the same id as data centre " + other.name +
                    "; choose another name");
        }
    }
    insert_or_replace(context.target.data_centres, added);
}

void apply_operation(operation_context& context)
{
    switch (context.value.kind)
    {
    case operation_kind::put_workspace:
        put_workspace(context);
        return;
    case operation_kind::remove_workspace:
        remove_workspace(context);
        return;
    case operation_kind::put_key:
        put_key(context);
        return;
    case operation_kind::withdraw_key:
        withdraw_key(context);
        return;
    case operation_kind::put_route:
        put_route(context);
        return;
    case operation_kind::remove_route:
        remove_by_name(context.target.routes, context);
        return;
    case operation_kind::put_data_centre:
        put_data_centre(context);
        return;
    case operation_kind::remove_data_centre:
        remove_by_name(context.target.data_centres, context);
        return;
    }
}

} // namespace

findings apply_operations(
    configuration& target, const std::vector<operation>& operations)
{
    configuration changed = target;
    findings found;
    for (std::size_t position = 0; position < operations.size(); ++position)
    {
        operation_context context{
            changed, operations[position],
            "/operations/" + std::to_string(position), found};
        apply_operation(context);
    }
    if (found.empty())
    {
        target = std::move(changed);
    }
    return found;
}

} // namespace cyclamenhold
