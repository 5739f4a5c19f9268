// The peer links of one thread: those it dialled, by host, and those that peers
// opened. Each thread has its own links, so that a request changes threads only
// at the upstream's node.
#pragma once

#include "adapters/node_services.hpp"
#include "adapters/peer_streams.hpp"

#include <cstdint>
#include <unordered_map>
#include <unordered_set>

namespace cyclamenhold
{

// TCP retransmits a lost SYN only after 1 s, so that a new connection attempt
// is quicker. The handshake takes a few round trips of at most 30 ms.
constexpr auto peer_connect_timeout = std::chrono::milliseconds(500);
constexpr auto peer_idle_timeout = std::chrono::seconds(60);

struct peer_links
{
    peer_links(node_services& shared, const asio::any_io_executor& thread)
        : services(shared), executor(thread)
    {
    }

    node_services& services;
    asio::any_io_executor executor;
    std::unordered_map<host_id, peer_link_ptr> dialled;
    std::unordered_set<peer_link_ptr> accepted;
};

// Sends a request to another host's node; dials it if there is no link. Must be
// called on the links' thread.
void send_exchange(peer_links& links, host_id target, const exchange_ptr& work);

// Sends a control message, which is lost if the host cannot be reached.
void send_message(peer_links& links, const outgoing_message& message);

// Serves a connection that a peer opened.
void accept_peer(peer_links& links, asio::ip::tcp::socket socket);

// Requests all peers that dialled this node to open no more streams here.
void announce_going_away(peer_links& links);

// Closes links that have not been used for peer_idle_timeout.
void close_idle(peer_links& links);

// Streams under way or waiting for a handshake, on all links of this thread.
[[nodiscard]] std::size_t open_streams(const peer_links& links);

void close_all(peer_links& links);

} // namespace cyclamenhold
