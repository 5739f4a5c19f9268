// The streams on one peer link: requests that this node sent to the peer, and
// requests received from it. Used from the link's thread only; exchanges pass
// data to other threads through their channels.
#pragma once

#include "adapters/exchange.hpp"
#include "adapters/node_services.hpp"
#include "adapters/peer_socket.hpp"
#include "core/routing/link_health.hpp"

#include <xxhash.h>

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

namespace cyclamenhold
{

// The flow-control window of a reply, and of a request body once the request
// has started. Until then the window of a request body is max_chunk_bytes.
constexpr std::uint32_t stream_window_bytes = 256 * 1024;

// Length and checksum (64-bit XXH3) of a body in one direction.
struct body_digest
{
    body_digest() : state(XXH3_createState(), XXH3_freeState)
    {
        XXH3_64bits_reset(state.get());
    }
    void add(std::string_view bytes)
    {
        length += bytes.size();
        XXH3_64bits_update(state.get(), bytes.data(), bytes.size());
    }
    [[nodiscard]] std::uint64_t checksum() const
    {
        return XXH3_64bits_digest(state.get());
    }

    std::uint64_t length = 0;
    std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state;
};

struct peer_stream
{
    peer_stream(exchange_ptr target, const asio::any_io_executor& executor)
        : work(std::move(target)), credit_signal(executor)
    {
    }

    exchange_ptr work;
    // Bytes that may still be sent. The signal is cancelled when more are
    // granted.
    std::int64_t credit = 0;
    asio::steady_timer credit_signal;
    // Bytes that the peer may still send; below zero is a protocol error.
    std::int64_t receive_credit = 0;
    // Bytes consumed here and not yet granted to the peer again.
    std::uint32_t consumed = 0;
    body_digest sent;
    body_digest received;
    bool opened_here = false;
    bool started = false;
    bool finished = false;
};

using peer_stream_ptr = std::shared_ptr<peer_stream>;

struct peer_link
{
    peer_link(node_services& shared, asio::ip::tcp::socket socket)
        : services(shared),
          connection(std::make_shared<peer_socket>(std::move(socket))),
          heartbeat(connection->socket.get_executor())
    {
    }

    node_services& services;
    peer_socket_ptr connection;
    // The wait for the next check of `health`.
    asio::steady_timer heartbeat;
    link_health health;
    bool dialled_here = false;
    bool ready = false;
    // The peer accepts no new streams on this link.
    bool going_away = false;
    std::uint64_t next_stream = 1;
    time_point last_used_at{};
    std::unordered_map<std::uint64_t, peer_stream_ptr> streams;
    // Requests and messages to be sent once the handshake is done.
    std::vector<exchange_ptr> waiting;
    std::vector<outgoing_message> waiting_messages;
};

using peer_link_ptr = std::shared_ptr<peer_link>;

// Sends a request over the link; its reply arrives through the exchange.
void open_stream(const peer_link_ptr& link, const exchange_ptr& work);

void send_control(const peer_link_ptr& link, const outgoing_message& message);

// Reads frames until the link ends, then ends all of its streams.
[[nodiscard]] asio::awaitable<void> run_link(peer_link_ptr link);

// Ends the link: requests sent over it fail, those received are cancelled.
void end_link(const peer_link_ptr& link);

} // namespace cyclamenhold
