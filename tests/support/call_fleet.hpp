// Hosts of a simulated run; each has a node and a model of an upstream.
#pragma once

#include "core/gate/gate.hpp"
#include "core/request/call.hpp"
#include "support/virtual_clock.hpp"
#include "support/virtual_model.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace cyclamenhold
{

// One attempt at a host, from its arrival to its result.
struct virtual_attempt
{
    std::size_t host = 0;
    gate_entry_id entry_id = 0;
    request_context context;
    std::size_t route = 0;
    std::size_t position = 0;
    std::shared_ptr<call_record> record;
    bool started = false;
    // Occupies a slot of the upstream.
    bool in_slot = false;
    bool ended = false;
    std::function<void(attempt_result)> done;
};

using attempt_pointer = std::shared_ptr<virtual_attempt>;

// Runs up to `slots` requests concurrently. Requests that its node starts
// beyond that wait in a FIFO queue inside the upstream.
struct virtual_upstream
{
    std::uint32_t slots = 0;
    std::uint32_t busy = 0;
    std::deque<attempt_pointer> waiting;
    double slow_factor = 1.0;
};

struct virtual_host
{
    host_id id = host_id::none;
    std::size_t service = 0;
    std::size_t data_centre = 0;
    bool is_up = true;
    request_path path;
    gate_state gate;
    virtual_upstream upstream;
    std::unordered_map<gate_entry_id, attempt_pointer> attempts;
    // Used under overload_policy::fixed_limit only.
    std::deque<attempt_pointer> fixed_queue;
    std::uint32_t fixed_running = 0;
};

struct workspace_bucket
{
    double tokens = 0.0;
    time_point refilled_at{};
};

struct call_fleet
{
    deployment_model deployment;
    scenario_model scenario;
    overload_policy policy = overload_policy::adaptive;
    virtual_clock clock;
    random_source random;
    std::vector<std::unique_ptr<virtual_host>> hosts;
    // By index of the workspace.
    std::vector<workspace_bucket> workspace_buckets;
    std::uint64_t next_id = 1;
    virtual_result result;
};

[[nodiscard]] inline std::string key_of(std::size_t workspace)
{
    return "cyk_k" + std::to_string(workspace) + "_secret";
}

[[nodiscard]] inline data_centre_id data_centre_at(std::size_t number)
{
    return data_centre_id_of("dc" + std::to_string(number));
}

[[nodiscard]] inline configuration
configuration_of(const deployment_model& deployment)
{
    configuration current;
    current.revision = 1;
    const auto add_route =
        [&](const std::string& name, std::size_t service, priority_class level)
    {
        route entry;
        entry.name = name;
        entry.path_prefix = "/" + name;
        entry.service = deployment.services[service].name;
        entry.priority = level;
        entry.deadline = 2000ms;
        current.routes.push_back(entry);
    };
    for (const auto& entry : deployment.routes)
    {
        add_route(entry.name, entry.chain.front(), entry.priority);
    }
    for (std::size_t i = 0; i < deployment.services.size(); ++i)
    {
        add_route(deployment.services[i].name, i, priority_class::normal);
    }
    for (std::size_t i = 0; i < deployment.workspaces.size(); ++i)
    {
        const std::string& name = deployment.workspaces[i].name;
        current.workspaces.push_back({name, 1e6, 1e6});
        current.keys.push_back(
            {"k" + std::to_string(i), name, digest_of_secret("", "secret"),
             false});
    }
    return current;
}

[[nodiscard]] inline upstream_record
record_of(const call_fleet& fleet, const virtual_host& host)
{
    const service_model& service = fleet.deployment.services[host.service];
    return {
        service.name, upstream_state::serving, service.announced_slots,
        service.connections, 1};
}

// Publishes the upstreams of all running hosts to every node.
inline void publish_routing(call_fleet& fleet)
{
    std::vector<upstream_location> locations;
    for (const auto& host : fleet.hosts)
    {
        if (host->is_up)
        {
            locations.push_back(
                {host->id, 1, data_centre_at(host->data_centre),
                 record_of(fleet, *host)});
        }
    }
    for (const auto& host : fleet.hosts)
    {
        auto view = std::make_unique<routing_view>();
        {
            const auto previous = host->path.routing.read();
            *view = build_routing_view(
                locations, data_centre_at(host->data_centre), *previous);
        }
        host->path.routing.publish(std::move(view));
    }
}

// Fills the token buckets of a request path so that they never empty. These
// runs limit the workspaces at the callers instead.
inline void fill_buckets(call_fleet& fleet, request_path& path)
{
    for (const auto& workspace : fleet.deployment.workspaces)
    {
        token_bucket& bucket =
            path.limiter.buckets[workspace_id_of(workspace.name)];
        bucket.tokens = 1e9;
        bucket.rate = 1e9;
        bucket.capacity = 1e9;
        bucket.refilled_at = fleet.clock.now;
        bucket.valid_until = time_point::max();
    }
}

inline void build_hosts(call_fleet& fleet)
{
    const deployment_model& deployment = fleet.deployment;
    const configuration current = configuration_of(deployment);
    for (std::size_t dc = 0; dc < deployment.data_centres; ++dc)
    {
        for (std::size_t i = 0; i < deployment.services.size() *
                                        deployment.workers_per_data_centre;
             ++i)
        {
            auto host = std::make_unique<virtual_host>();
            host->service = i % deployment.services.size();
            host->data_centre = dc;
            host->id = make_host_id(
                0x0a000001, static_cast<std::uint16_t>(fleet.hosts.size() + 1));
            host->path.self = host->id;
            host->path.tables.publish(std::make_unique<request_tables>(
                build_request_tables(current)));
            fill_buckets(fleet, host->path);
            host->upstream.slots = deployment.services[host->service].slots;
            (void)gate_set_upstream(
                host->gate, record_of(fleet, *host), fleet.clock.now);
            fleet.hosts.push_back(std::move(host));
        }
    }
    publish_routing(fleet);
}

} // namespace cyclamenhold
