// Runs the control side of a node on one thread: its timer, datagrams, control
// messages and platform calls. Publishes the data that the request path reads.
#pragma once

#include "adapters/call_wakeups.hpp"
#include "adapters/datagram_port.hpp"
#include "adapters/local_gate.hpp"
#include "adapters/node_services.hpp"
#include "adapters/peer_links.hpp"
#include "adapters/platform_client.hpp"
#include "adapters/upstream_monitor.hpp"
#include "core/node/control.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamenhold
{

// The longest time between two checks of requests that wait for tokens, and
// between two checks of the upstream and the keys without such requests.
constexpr auto waiting_control_interval = std::chrono::milliseconds(20);
constexpr auto max_control_interval = std::chrono::milliseconds(100);

struct control_loop
{
    control_loop(
        node_services& shared, local_gate& local, call_wakeups& calls,
        std::uint64_t seed)
        : services(shared),
          gate(local),
          wakeups(calls),
          links(shared, io.get_executor()),
          timer(io),
          random(seed)
    {
    }

    node_services& services;
    local_gate& gate;
    call_wakeups& wakeups;
    asio::io_context io{1};
    peer_links links;
    asio::steady_timer timer;
    random_source random;
    control_state state;
    std::unique_ptr<datagram_port> datagrams;
    std::shared_ptr<platform_connections> platform;
    upstream_monitor upstream;

    // The versions published last.
    std::uint64_t published_members = 0;
    std::vector<data_centre_id> published_evacuated;
    // The configuration whose data centres are in the published routing view.
    std::shared_ptr<const configuration> routed_configuration;
    std::uint64_t published_quarantine = 0;
    std::shared_ptr<const configuration> published_configuration;
    commit_token next_commit = 1;
    std::unordered_map<commit_token, std::function<void(const commit_result&)>>
        commits;
    // Keys are accepted for this duration after the configuration was last
    // confirmed to be the newest; zero means without limit.
    duration max_key_staleness{};
    bool are_keys_fresh = true;
    // Retry tokens that the whole fleet may accumulate for a service; zero
    // means no bound.
    double fleet_retry_slack = 0.0;
    // Whether the deployment limits the requests to cold upstreams.
    bool has_cold_bounds = false;
    bool platform_reachable = true;
    bool leaving = false;
    // Requests waited for tokens after the last control event.
    bool has_waiting_calls = false;
    // A tick is posted because requests wait for tokens.
    std::atomic<bool> tick_requested{false};
    // Processor time spent in control events, for the processor budget of the
    // control side.
    std::atomic<std::uint64_t> busy_us{0};
};

// Starts the control side; its io_context must be run by one thread.
void start_control(
    control_loop& loop, const control_settings& settings,
    asio::ip::udp::socket socket, const platform_connection_settings& platform);

// Unless noted otherwise, the functions below may be called from any thread.

void post_control_message(
    control_loop& loop, host_id from, message_kind kind,
    std::vector<std::uint8_t> payload);
void post_claim_request(control_loop& loop, const claim_request& request);
void post_claim_completion(
    control_loop& loop, const claim_completion& completion);
void post_ticket_request(
    control_loop& loop, std::function<void(std::string)> callback);
void post_claim_check(
    control_loop& loop, const claim_grant& grant,
    std::function<void(bool)> callback);
void post_announcement(
    control_loop& loop, const upstream_announcement& announcement);
void post_upstream_drain(control_loop& loop);
// Reports that a reply of this incarnation of the upstream said that it leaves.
void post_upstream_leaving(control_loop& loop, std::uint64_t incarnation);
// Reports that a reply of this incarnation of the upstream said that it stays
// cold for this time.
void post_upstream_cold(
    control_loop& loop, std::uint64_t incarnation, duration remaining);
void post_upstream_leave(
    control_loop& loop, const upstream_departure& departure);
// Reports that the local upstream crashed while requests with these digests
// were in flight.
void post_upstream_crash(
    control_loop& loop, const std::vector<std::uint64_t>& digests);
// Reports the success of a request that was suspected of crashing upstreams.
void post_suspect_success(control_loop& loop, std::uint64_t digest);

// Announces the planned stop to the fleet.
void post_leave(control_loop& loop);

// Appends a change to the chain; `done` runs on the control thread. Must be
// called on the control thread.
void commit_change(
    control_loop& loop, std::uint64_t base_revision,
    const std::string& operation_id, const std::string& operations,
    std::function<void(const commit_result&)> done);

} // namespace cyclamenhold
