// A TCP connection that carries frames: buffered reads, gathered writes, and
// the handshake by which two nodes prove that they belong to one fleet. Used
// from one thread only.
#pragma once

#include "adapters/peer_handshake.hpp"
#include "core/base/time.hpp"
#include "wire/frame_codec.hpp"

#include <absl/status/status.h>
#include <boost/asio.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cyclamenhold
{

namespace asio = boost::asio;

struct peer_socket
{
    explicit peer_socket(asio::ip::tcp::socket connection)
        : socket(std::move(connection)),
          send_capacity_signal(socket.get_executor())
    {
    }

    asio::ip::tcp::socket socket;
    // The identity of the peer; proven once the handshake is done.
    host_id peer = host_id::none;
    incarnation peer_incarnation = 0;
    bool closed = false;
    time_point written_at{};

    // The bytes read and not yet extracted are from `received_begin` to
    // `received_end`; the vector never shrinks.
    std::vector<std::uint8_t> received;
    std::size_t received_begin = 0;
    std::size_t received_end = 0;
    // Frames to be written next, while `in_flight` is being written.
    std::vector<std::uint8_t> pending;
    std::vector<std::uint8_t> in_flight;
    bool writing = false;
    // Cancelled when `pending` has been emptied into a write.
    asio::steady_timer send_capacity_signal;
};

using peer_socket_ptr = std::shared_ptr<peer_socket>;

// Senders of bodies wait while more than this is pending.
constexpr std::size_t max_pending_bytes = 1024 * 1024;

// Reads one frame's payload into `payload`, aligned for FlatBuffers. Fails when
// the connection ends or the length is above max_frame_bytes.
[[nodiscard]] asio::awaitable<absl::Status>
read_frame(peer_socket& peer, std::vector<std::uint8_t>& payload);

// Starts writing what is pending, unless a write is under way.
void flush(const peer_socket_ptr& peer);

// Waits until at most max_pending_bytes are pending or the connection is
// closed.
[[nodiscard]] asio::awaitable<void> wait_for_send_capacity(peer_socket& peer);

void close(peer_socket& peer);

struct handshake_identity
{
    host_id self = host_id::none;
    incarnation self_incarnation = 0;
    std::string_view fleet_secret;
};

// Runs the dialler's side of the handshake; `expected` is the dialled host.
[[nodiscard]] asio::awaitable<absl::Status> handshake_as_dialler(
    peer_socket_ptr peer, handshake_identity identity, host_id expected);

[[nodiscard]] asio::awaitable<absl::Status>
handshake_as_acceptor(peer_socket_ptr peer, handshake_identity identity);

} // namespace cyclamenhold
