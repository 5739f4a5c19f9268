// Sends the request of an exchange to the local upstream over HTTP/1.1 and
// forwards the reply to the exchange.
#pragma once

#include "adapters/exchange.hpp"
#include "adapters/node_services.hpp"
#include "adapters/upstream_pool.hpp"
#include "core/gate/gate.hpp"

#include <functional>
#include <optional>
#include <string>

namespace cyclamenhold
{

constexpr auto upstream_connect_timeout = std::chrono::milliseconds(1'000);

// What the upstream says about itself in the head of a reply.
struct upstream_notice
{
    // Requests per second; absent if it names no rate, not a number if what it
    // names can't be read.
    std::optional<double> rate;
    // Its process accepts requests for a short time only.
    bool is_leaving = false;
    // For how long it stays cold; zero if it doesn't say so.
    std::chrono::milliseconds cold{};
};

struct upstream_call
{
    exchange_ptr work;
    upstream_connection_ptr connection;
    asio::ip::tcp::endpoint endpoint;
    // The opaque handle that the upstream sends back with its child calls.
    std::string handle;
    std::chrono::milliseconds body_stall_timeout{10'000};
    const header_names* names = nullptr;
    // Identifies the upstream's process; sent if the profile names a header for
    // it.
    std::string upstream_id;
    // Returns the gate's load report; called when the reply's head has arrived
    // or the call has failed.
    std::function<load_report()> report;
    // Called with the head of each reply to this request, refusals included,
    // before it is forwarded.
    std::function<void(const upstream_notice&)> on_notice;
    // Returns what the child calls have not used of the retry allowance.
    std::function<std::uint16_t()> returned_allowance;
};

struct upstream_result
{
    gate_result result = gate_result::failed;
    // The connection broke after sending of the request began.
    bool broke = false;
    // The connection can carry another request.
    bool reusable = false;
    // The reply was a server error.
    bool is_error = false;
};

// Runs on the connection's executor. Always ends the exchange.
[[nodiscard]] asio::awaitable<upstream_result>
call_upstream(upstream_call call);

} // namespace cyclamenhold
