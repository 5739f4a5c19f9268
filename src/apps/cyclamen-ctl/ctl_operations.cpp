#include "ctl_operations.hpp"

#include "core/intent/operations.hpp"

#include <cassert>

namespace cyclamenhold
{
namespace
{

operation_kind kind_of(ctl_command command)
{
    switch (command)
    {
    case ctl_command::key_add:
        return operation_kind::put_key;
    case ctl_command::key_withdraw:
        return operation_kind::withdraw_key;
    case ctl_command::workspace_put:
        return operation_kind::put_workspace;
    case ctl_command::workspace_remove:
        return operation_kind::remove_workspace;
    case ctl_command::route_put:
        return operation_kind::put_route;
    case ctl_command::route_remove:
        return operation_kind::remove_route;
    case ctl_command::data_centre_put:
        return operation_kind::put_data_centre;
    default:
        break;
    }
    assert(false && "the command changes nothing");
    return operation_kind::put_workspace;
}

} // namespace

std::string intent_of(const ctl_arguments& arguments, const workspace_key& key)
{
    operation change;
    change.kind = kind_of(arguments.command);
    change.name = arguments.subject;
    change.workspace = arguments.workspace_value;
    change.route = arguments.route_value;
    change.data_centre = arguments.data_centre_value;
    change.key = key;
    return to_json(std::vector<operation>{change});
}

} // namespace cyclamenhold
