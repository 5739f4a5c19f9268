// One request to the local upstream over HTTP/1.1: from an exchange's head and
// body to its reply.
#pragma once

#include "adapters/exchange.hpp"
#include "adapters/node_services.hpp"
#include "adapters/upstream_pool.hpp"
#include "core/gate/gate.hpp"

#include <functional>
#include <string>

namespace cyclamenhold
{

constexpr auto upstream_connect_timeout = std::chrono::milliseconds(1'000);

struct upstream_call
{
    exchange_ptr work;
    upstream_connection_ptr connection;
    asio::ip::tcp::endpoint endpoint;
    // The opaque value for the upstream's child calls.
    std::string handle;
    std::chrono::milliseconds body_stall_timeout{10'000};
    const header_names* names = nullptr;
    // Names the upstream's process, where its replies tell.
    std::string upstream_id;
    // The gate's report, asked for when the head of the reply is there.
    std::function<load_report()> report;
    // What the child calls left of the retry allowance.
    std::function<std::uint16_t()> returned_allowance;
};

struct upstream_result
{
    gate_result result = gate_result::failed;
    // The connection broke after the request had been sent.
    bool broke = false;
    // The connection can carry another request.
    bool reusable = false;
};

// Runs on the connection's executor. Ends the exchange in every case.
[[nodiscard]] asio::awaitable<upstream_result>
call_upstream(upstream_call call);

} // namespace cyclamenhold
