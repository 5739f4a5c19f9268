// Runs one call from its parsed request to its reply: executes the steps of the
// call state machine on a request thread.
#pragma once

#include "adapters/call_handles.hpp"
#include "adapters/call_wakeups.hpp"
#include "adapters/callers/caller_connection.hpp"
#include "adapters/exchange.hpp"
#include "adapters/local_gate.hpp"
#include "adapters/node_services.hpp"
#include "adapters/peer_links.hpp"
#include "core/request/call.hpp"

#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

namespace cyclamenhold
{

// Functions of the control thread that the request path calls, from any thread.
struct control_port
{
    std::function<void(const claim_request&)> request_claim;
    std::function<void(const claim_completion&)> complete_claim;
    // Calls back with a new ticket, or with an empty string when none can be
    // issued.
    std::function<void(std::function<void(std::string)>)> issue_ticket;
};

// The state of one of the threads that serve requests.
struct request_thread
{
    request_thread(
        node_services& shared, local_gate& shared_gate, call_wakeups& wakeups,
        control_port& control_side, std::uint64_t seed)
        : services(shared),
          gate(shared_gate),
          wakeups(wakeups),
          control(control_side),
          links(shared, io.get_executor()),
          random(seed)
    {
    }

    node_services& services;
    local_gate& gate;
    call_wakeups& wakeups;
    control_port& control;
    asio::io_context io{1};
    peer_links links;
    random_source random;
    // Connections without a request in progress; a planned stop closes them.
    std::unordered_set<std::shared_ptr<caller_connection>> idle;
};

// Runs the request whose head and prefix have been read. `parent` is set for a
// child call of the local upstream.
[[nodiscard]] asio::awaitable<void>
run_call(caller_ptr caller, call_request request, running_request_ptr parent);

} // namespace cyclamenhold
