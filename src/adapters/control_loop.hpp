// Runs the control side of a node on one thread: its timer, datagrams, control
// messages and platform calls. Publishes what the request path reads.
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

namespace cyclamenhold
{

// The longest time between two looks at waiting requests.
constexpr auto max_control_interval = std::chrono::milliseconds(20);

struct control_loop
{
    control_loop(
        node_services& shared, local_gate& front, call_wakeups& calls,
        std::uint64_t seed)
        : services(shared),
          gate(front),
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

    // What was published last.
    std::uint64_t published_members = 0;
    std::uint64_t published_quarantine = 0;
    std::shared_ptr<const configuration> published_configuration;
    commit_token next_commit = 1;
    std::unordered_map<commit_token, std::function<void(const commit_result&)>>
        commits;
    // Keys are trusted for so long after the configuration was last known to
    // be the newest; zero for ever.
    duration max_key_staleness{};
    bool are_keys_trusted = true;
    // Repeats that the fleet may save up for a service; zero for no bound.
    double retry_slack = 0.0;
    bool platform_reachable = true;
    bool leaving = false;
    // A tick has been asked for because requests wait for tokens.
    std::atomic<bool> prompted{false};
    // Processor time spent here, for the budget of the control side.
    std::atomic<std::uint64_t> busy_us{0};
};

// Starts the control side; its io_context must be run by one thread.
void start_control(
    control_loop& loop, const control_settings& settings,
    asio::ip::udp::socket socket, const platform_connection_settings& platform);

// The rest may be called from any thread.

void post_control_message(
    control_loop& loop, host_id from, message_kind kind,
    std::vector<std::uint8_t> payload);
void post_claim_question(control_loop& loop, const claim_request& question);
void post_claim_completion(
    control_loop& loop, const claim_completion& completion);
void post_ticket(control_loop& loop, std::function<void(std::string)> callback);
void post_claim_check(
    control_loop& loop, const claim_grant& grant,
    std::function<void(bool)> callback);
void post_announcement(
    control_loop& loop, const upstream_announcement& announcement);
void post_upstream_drain(control_loop& loop);
void post_upstream_leave(
    control_loop& loop, const upstream_departure& departure);
// The local upstream died while requests with these digests were in flight.
void post_upstream_death(
    control_loop& loop, const std::vector<std::uint64_t>& digests);
// A request under suspicion of killing upstreams ended well.
void post_suspect_success(control_loop& loop, std::uint64_t digest);

// Announces the planned stop to the fleet.
void post_leave(control_loop& loop);

// Appends a change to the chain; `done` runs on the control thread. To be
// called on the control thread.
void commit_change(
    control_loop& loop, std::uint64_t base_revision,
    const std::string& operation_id, const std::string& operations,
    std::function<void(const commit_result&)> done);

} // namespace cyclamenhold
