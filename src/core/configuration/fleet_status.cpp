#include "core/configuration/fleet_status.hpp"

#include <algorithm>

namespace cyclamenhold
{
namespace
{

data_centre_status&
find_or_add_status(fleet_status& status, const member& known)
{
    const auto found = std::ranges::find(
        status.data_centres, known.data_centre,
        &data_centre_status::data_centre);
    if (found != status.data_centres.end())
    {
        return *found;
    }
    status.data_centres.push_back({});
    status.data_centres.back().data_centre = known.data_centre;
    return status.data_centres.back();
}

void count_revision(
    data_centre_status& status, const chain_state& chain, const member& known)
{
    if (known.revision >= chain.current->revision)
    {
        ++status.confirmed;
        return;
    }
    if (known.last_contact_at <= chain.applied_at)
    {
        ++status.unconfirmed;
        return;
    }
    if (status.behind.size() < max_hosts_behind)
    {
        status.behind.push_back(known.host);
    }
}

void count_member(
    data_centre_status& status, const chain_state& chain, const member& known)
{
    switch (known.state)
    {
    case member_state::alive:
        ++status.alive;
        count_revision(status, chain, known);
        return;
    case member_state::suspect:
        ++status.suspect;
        return;
    case member_state::dead:
        ++status.dead;
        return;
    case member_state::left:
        return;
    }
}

} // namespace

fleet_status make_fleet_status(
    const chain_state& chain, const membership_state& members, time_point now)
{
    fleet_status status;
    status.revision = chain.current->revision;
    status.applied_ago = now - chain.applied_at;
    status.highest_revision =
        std::max(members.highest_revision, chain.current->revision);
    const time_point read_at =
        std::max(members.platform_read_at, chain.platform_read_at);
    if (read_at != time_point{})
    {
        status.platform_read_ago = now - read_at;
    }
    status.is_platform_watcher = chain.watch.is_watcher;

    data_centre_status own;
    own.data_centre = members.settings.data_centre;
    own.alive = 1;
    own.confirmed = 1;
    status.data_centres.push_back(own);
    for (const auto& item : members.members)
    {
        count_member(
            find_or_add_status(status, item.second), chain, item.second);
    }
    for (auto& entry : status.data_centres)
    {
        const auto link = members.data_centres.find(entry.data_centre);
        if (link != members.data_centres.end())
        {
            entry.reachable = link->second.reachable;
            entry.last_contact_ago = now - link->second.last_contact_at;
        }
    }
    return status;
}

} // namespace cyclamenhold
