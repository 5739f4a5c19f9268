// State and functions that the adapters of one node share: the request path,
// the upstream gate, the event clock and calls to the other threads. Built once
// by node_runtime; exists until all threads have stopped.
#pragma once

#include "adapters/exchange.hpp"
#include "adapters/suspend_detector.hpp"
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

struct node_services
{
    host_id self = host_id::none;
    incarnation self_incarnation = 0;
    std::string fleet_secret;
    protocol_profile profile;
    // The service of the upstream on this host, from the settings.
    std::string local_service;
    http_limits limits;
    request_path path;
    std::atomic<std::uint64_t> next_call{1};
    suspend_detector suspensions;

    // Records an event; callable from any thread.
    std::function<void(const event&)> record;
    // Advance the hybrid clock: stamp_send returns the time for an outgoing
    // frame, record_receive applies the time of an incoming one.
    std::function<hybrid_time()> stamp_send;
    std::function<void(hybrid_time)> record_receive;
    // Runs a request at the local upstream; callable from any thread.
    std::function<void(const exchange_ptr&)> run_local;
    // Posts a control message of a peer to the control thread.
    std::function<void(host_id, message_kind, std::vector<std::uint8_t>)>
        on_control_message;
    // Called when nothing was received from the peer for longer than
    // peer_avoidance_timeout.
    std::function<void(host_id)> on_peer_silent;
};

} // namespace cyclamenhold
