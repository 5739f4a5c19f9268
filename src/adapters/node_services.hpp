// What the adapters of one node share: the request path, the gate's front, the
// clock of events and the ways to reach the other threads. Built once by the
// node's runtime and alive until all threads have stopped.
#pragma once

#include "adapters/exchange.hpp"
#include "adapters/suspend_watch.hpp"
#include "core/base/ids.hpp"
#include "core/events/hybrid_clock.hpp"
#include "core/request/call.hpp"
#include "ports/events.hpp"
#include "ports/messages.hpp"
#include "ports/protocol_profile.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace cyclamenhold
{

// Limits on what callers and upstreams may send.
struct http_limits
{
    std::uint32_t max_header_bytes = 16 * 1024;
    std::uint64_t max_body_bytes = 256ULL * 1024 * 1024;
    std::chrono::milliseconds header_timeout{10'000};
    std::chrono::milliseconds idle_timeout{60'000};
    std::chrono::milliseconds body_stall_timeout{10'000};
    std::uint32_t max_connections = 10'000;
};

// A peer link sends one of these each interval, and gives a link up that has
// been silent for the timeout. New requests avoid a peer sooner: it costs them
// nothing, while those under way may still be answered.
constexpr auto heartbeat_interval = std::chrono::milliseconds(250);
constexpr auto heartbeat_avoidance = std::chrono::milliseconds(600);
constexpr auto heartbeat_timeout = std::chrono::milliseconds(2'000);

struct node_services
{
    host_id self = host_id::none;
    incarnation self_incarnation = 0;
    std::string fleet_secret;
    protocol_profile profile;
    // The service of the upstream on this host, as the settings give it.
    std::string local_service;
    http_limits limits;
    request_path path;
    std::atomic<std::uint64_t> next_call{1};
    suspend_watch suspensions;

    // Records an event; callable from any thread.
    std::function<void(const event&)> record;
    // The hybrid clock for a frame that leaves, and of one that came.
    std::function<hybrid_time()> stamp_send;
    std::function<void(hybrid_time)> record_receive;
    // Runs a request that came for the local upstream, from any thread.
    std::function<void(const exchange_ptr&)> run_local;
    // Hands a control message of a peer to the control thread.
    std::function<void(host_id, message_kind, std::vector<std::uint8_t>)>
        on_control_message;
    // The peer has been silent for longer than is usual.
    std::function<void(host_id)> on_peer_silent;
};

} // namespace cyclamenhold
