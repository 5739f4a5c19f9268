#include "core/intent/operations.hpp"

#include <algorithm>

namespace cyclamenhold
{
namespace
{

const std::string& name_in_list(const workspace& value)
{
    return value.name;
}

const std::string& name_in_list(const workspace_key& value)
{
    return value.id;
}

const std::string& name_in_list(const route& value)
{
    return value.name;
}

const std::string& name_in_list(const data_centre& value)
{
    return value.name;
}

template <class Value>
auto place_of(std::vector<Value>& values, const std::string& name)
{
    return std::lower_bound(
        values.begin(), values.end(), name,
        [](const Value& value, const std::string& wanted)
        {
            return name_in_list(value) < wanted;
        });
}

template <class Value>
Value* find_in(std::vector<Value>& values, const std::string& name)
{
    const auto place = place_of(values, name);
    if (place == values.end() || name_in_list(*place) != name)
    {
        return nullptr;
    }
    return &*place;
}

template <class Value>
void put_in(std::vector<Value>& values, const Value& value)
{
    if (Value* present = find_in(values, name_in_list(value));
        present != nullptr)
    {
        *present = value;
        return;
    }
    values.insert(place_of(values, name_in_list(value)), value);
}

// One operation on its way into the configuration.
struct application
{
    configuration& target;
    const operation& value;
    std::string place;
    findings& found;
};

void report(application& step, const char* field, std::string message)
{
    add_finding(step.found, step.place + "/" + field, std::move(message));
}

template <class Value>
void remove_from(std::vector<Value>& values, application& step)
{
    if (find_in(values, step.value.name) == nullptr)
    {
        report(step, "name", "there is none of this name");
        return;
    }
    values.erase(place_of(values, step.value.name));
}

void put_workspace(application& step)
{
    const workspace& added = step.value.workspace;
    for (const auto& other : step.target.workspaces)
    {
        if (other.name != added.name &&
            workspace_id_of(other.name) == workspace_id_of(added.name))
        {
            report(
                step, "name",
                "has the same id as workspace " + other.name +
                    "; choose another name");
        }
    }
    put_in(step.target.workspaces, added);
}

void remove_workspace(application& step)
{
    for (const auto& key : step.target.keys)
    {
        if (key.workspace == step.value.name && !key.withdrawn)
        {
            report(
                step, "name",
                "still has key " + key.id + ", which must be withdrawn first");
        }
    }
    remove_from(step.target.workspaces, step);
    std::erase_if(
        step.target.keys,
        [&](const workspace_key& key)
        {
            return key.workspace == step.value.name && key.withdrawn;
        });
}

void put_key(application& step)
{
    workspace_key added = step.value.key;
    added.withdrawn = false;
    if (find_in(step.target.workspaces, added.workspace) == nullptr)
    {
        report(step, "workspace", "there is no workspace of this name");
    }
    const workspace_key* present = find_in(step.target.keys, added.id);
    if (present == nullptr)
    {
        put_in(step.target.keys, added);
        return;
    }
    if (present->withdrawn)
    {
        report(step, "id", "was withdrawn; an id is not used again");
        return;
    }
    if (!(*present == added))
    {
        report(step, "id", "there is another key with this id");
    }
}

void withdraw_key(application& step)
{
    workspace_key* present = find_in(step.target.keys, step.value.name);
    if (present == nullptr)
    {
        report(step, "id", "there is no key with this id");
        return;
    }
    present->withdrawn = true;
}

void put_route(application& step)
{
    const route& added = step.value.route;
    for (const auto& other : step.target.routes)
    {
        if (other.name == added.name)
        {
            continue;
        }
        if (other.method == added.method &&
            other.path_prefix == added.path_prefix)
        {
            report(
                step, "path_prefix",
                "route " + other.name + " has the same method and prefix");
        }
        if (other.service != added.service &&
            service_id_of(other.service) == service_id_of(added.service))
        {
            report(
                step, "service",
                "has the same id as service " + other.service +
                    "; choose another name");
        }
    }
    put_in(step.target.routes, added);
}

void put_data_centre(application& step)
{
    const data_centre& added = step.value.data_centre;
    for (const auto& other : step.target.data_centres)
    {
        if (other.name != added.name &&
            data_centre_id_of(other.name) == data_centre_id_of(added.name))
        {
            report(
                step, "name",
                "has the same id as data centre " + other.name +
                    "; choose another name");
        }
    }
    put_in(step.target.data_centres, added);
}

void apply_one(application& step)
{
    switch (step.value.kind)
    {
    case operation_kind::put_workspace:
        put_workspace(step);
        return;
    case operation_kind::remove_workspace:
        remove_workspace(step);
        return;
    case operation_kind::put_key:
        put_key(step);
        return;
    case operation_kind::withdraw_key:
        withdraw_key(step);
        return;
    case operation_kind::put_route:
        put_route(step);
        return;
    case operation_kind::remove_route:
        remove_from(step.target.routes, step);
        return;
    case operation_kind::put_data_centre:
        put_data_centre(step);
        return;
    case operation_kind::remove_data_centre:
        remove_from(step.target.data_centres, step);
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
        application step{
            changed, operations[position],
            "/operations/" + std::to_string(position), found};
        apply_one(step);
    }
    if (found.empty())
    {
        target = std::move(changed);
    }
    return found;
}

} // namespace cyclamenhold
