#include "core/configuration/document_watchers.hpp"

#include "core/configuration/chain.hpp"

#include <algorithm>
#include <tuple>

#include <xxhash.h>

namespace cyclamenhold
{
namespace
{

constexpr std::string_view salt = "document watchers";
// Children of a node. Bounds what a node sends and answers, also in a data
// centre of a thousand hosts.
constexpr std::size_t fan_out = 8;
constexpr duration ping_interval = 500ms;
// A node with children pings more often, as the proofs of all nodes below it
// are at least as old as its own.
constexpr duration inner_ping_interval = 300ms;
// A node that has not received a newer version from a member in this time reads
// it itself.
constexpr duration pull_patience = 600ms;

// The hosts of this data centre in an order that all of them compute alike.
std::vector<host_id> ranked_hosts(const membership_state& members)
{
    std::vector<std::pair<std::uint64_t, host_id>> ranked;
    const auto add = [&ranked](host_id host)
    {
        ranked.emplace_back(
            XXH3_64bits_withSeed(
                salt.data(), salt.size(), static_cast<std::uint64_t>(host)),
            host);
    };
    add(members.settings.self);
    for (const host_id host : members.targets.local)
    {
        add(host);
    }
    std::ranges::sort(ranked);
    std::vector<host_id> hosts;
    hosts.reserve(ranked.size());
    for (const auto& [rank, host] : ranked)
    {
        hosts.push_back(host);
    }
    return hosts;
}

} // namespace

void update_watchers(
    document_watchers& watchers, const membership_state& members)
{
    if (watchers.targets_version == members.targets.version)
    {
        return;
    }
    watchers.targets_version = members.targets.version;
    const auto hosts = ranked_hosts(members);
    watchers.has_followers = hosts.size() > max_watching_hosts;
    watchers.children.clear();
    watchers.parent = host_id::none;
    const auto place = static_cast<std::size_t>(
        std::ranges::find(hosts, members.settings.self) - hosts.begin());
    watchers.is_watcher =
        !watchers.has_followers || place < watchers_per_data_centre;
    if (!watchers.has_followers)
    {
        return;
    }
    if (!watchers.is_watcher)
    {
        watchers.parent = hosts[(place - watchers_per_data_centre) / fan_out];
    }
    const std::size_t first = watchers_per_data_centre + place * fan_out;
    for (std::size_t child = first;
         child < std::min(first + fan_out, hosts.size()); ++child)
    {
        watchers.children.push_back(hosts[child]);
    }
}

bool must_call_platform(
    const document_watchers& watchers, const chain_state& chain,
    const membership_state& members, time_point behind_since, time_point now)
{
    if (watchers.is_watcher || chain.current->revision == 0)
    {
        return true;
    }
    const time_point proof =
        std::max(chain.platform_read_at, members.platform_read_at);
    const bool is_behind =
        behind_since != time_point{} && now - behind_since >= pull_patience;
    return is_behind || now - proof >= proof_patience;
}

void exchange_proofs(
    document_watchers& watchers, membership_state& members, time_point now,
    random_source& random, control_actions& actions)
{
    update_watchers(watchers, members);
    if (watchers.parent != host_id::none && now >= watchers.next_ping_at)
    {
        const duration interval =
            watchers.children.empty() ? ping_interval : inner_ping_interval;
        watchers.next_ping_at =
            now + interval * 3 / 4 +
            from_seconds(to_seconds(interval / 2) * random_fraction(random));
        membership_ping(members, watchers.parent, now, actions);
    }
    const bool has_news = members.own_revision != watchers.told_revision ||
                          members.own_evacuations != watchers.told_evacuations;
    if (!has_news)
    {
        return;
    }
    watchers.told_revision = members.own_revision;
    watchers.told_evacuations = members.own_evacuations;
    for (const host_id child : watchers.children)
    {
        membership_notify(members, child, now, actions);
    }
}

void record_proof(chain_state& chain, const membership_state& members)
{
    if (chain.current->revision >= members.highest_revision)
    {
        chain.platform_read_at =
            std::max(chain.platform_read_at, members.platform_read_at);
    }
}

} // namespace cyclamenhold
