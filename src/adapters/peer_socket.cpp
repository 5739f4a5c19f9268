#include "adapters/peer_socket.hpp"

#include "adapters/clock.hpp"

#include <algorithm>
#include <array>
#include <cstring>

namespace cyclamenhold
{
namespace
{

constexpr std::size_t read_size_bytes = 64 * 1024;
// Bounds one wait for send capacity; the condition is checked again after it.
constexpr auto max_send_capacity_wait = std::chrono::seconds(1);

// Moves a complete frame from the receive buffer to `payload`, if there is one.
bool extract_frame(
    peer_socket& peer, std::vector<std::uint8_t>& payload, bool& too_long)
{
    const std::span<const std::uint8_t> available(
        peer.received.data() + peer.received_begin,
        peer.received_end - peer.received_begin);
    if (available.size() < frame_prefix_bytes)
    {
        return false;
    }
    const std::uint32_t length = frame_length(available);
    too_long = length > max_frame_bytes;
    if (too_long || available.size() < frame_prefix_bytes + length)
    {
        return false;
    }
    const auto body = available.subspan(frame_prefix_bytes, length);
    payload.assign(body.begin(), body.end());
    peer.received_begin += frame_prefix_bytes + length;
    return true;
}

// Moves the unread bytes to the front and makes space for another read.
void compact_receive_buffer(peer_socket& peer)
{
    const std::size_t left = peer.received_end - peer.received_begin;
    std::memmove(
        peer.received.data(), peer.received.data() + peer.received_begin, left);
    peer.received_begin = 0;
    peer.received_end = left;
    if (peer.received.size() < left + read_size_bytes)
    {
        peer.received.resize(left + read_size_bytes);
    }
}

asio::awaitable<void> write_pending(peer_socket_ptr peer)
{
    while (!peer->closed && !peer->pending.empty())
    {
        peer->in_flight.clear();
        std::swap(peer->in_flight, peer->pending);
        peer->send_capacity_signal.cancel();
        const auto [error, written] = co_await asio::async_write(
            peer->socket, asio::buffer(peer->in_flight),
            asio::as_tuple(asio::use_awaitable));
        if (error)
        {
            close(*peer);
        }
        peer->written_at = now();
    }
    peer->writing = false;
}

bool is_valid_hello(const wire::hello& hello)
{
    return hello.protocol() == peer_protocol_version &&
           hello.nonce()->size() == handshake_nonce_bytes;
}

handshake_nonce nonce_of(const wire::hello& hello)
{
    handshake_nonce nonce{};
    std::ranges::copy(*hello.nonce(), nonce.begin());
    return nonce;
}

// Reads the peer's hello and stores the identity that it claims.
asio::awaitable<absl::Status>
receive_hello(peer_socket& peer, handshake_nonce& nonce)
{
    std::vector<std::uint8_t> payload;
    const auto status = co_await read_frame(peer, payload);
    if (!status.ok())
    {
        co_return status;
    }
    const wire::frame* const frame = decode_frame(payload);
    const auto* const hello = frame ? frame->body_as_hello() : nullptr;
    if (hello == nullptr || !is_valid_hello(*hello))
    {
        co_return absl::InvalidArgumentError(
            "expected a hello of this protocol version");
    }
    peer.peer = static_cast<host_id>(hello->host());
    peer.peer_incarnation = hello->incarnation();
    nonce = nonce_of(*hello);
    co_return absl::OkStatus();
}

asio::awaitable<absl::Status>
receive_proof(peer_socket& peer, const handshake_proof& expected)
{
    std::vector<std::uint8_t> payload;
    const auto status = co_await read_frame(peer, payload);
    if (!status.ok())
    {
        co_return status;
    }
    const wire::frame* const frame = decode_frame(payload);
    const auto* const proof = frame ? frame->body_as_proof() : nullptr;
    if (proof == nullptr ||
        !equal_proofs({proof->mac()->data(), proof->mac()->size()}, expected))
    {
        co_return absl::PermissionDeniedError(
            "the handshake proof does not match");
    }
    co_return absl::OkStatus();
}

} // namespace

asio::awaitable<absl::Status>
read_frame(peer_socket& peer, std::vector<std::uint8_t>& payload)
{
    bool too_long = false;
    while (!extract_frame(peer, payload, too_long))
    {
        if (too_long)
        {
            co_return absl::InvalidArgumentError(
                "the frame is longer than the maximum");
        }
        compact_receive_buffer(peer);
        const auto [error, count] = co_await peer.socket.async_read_some(
            asio::buffer(
                peer.received.data() + peer.received_end, read_size_bytes),
            asio::as_tuple(asio::use_awaitable));
        peer.received_end += count;
        if (error)
        {
            co_return absl::UnavailableError(error.message());
        }
    }
    co_return absl::OkStatus();
}

void flush(const peer_socket_ptr& peer)
{
    if (peer->writing || peer->closed || peer->pending.empty())
    {
        return;
    }
    peer->writing = true;
    asio::co_spawn(
        peer->socket.get_executor(), write_pending(peer), asio::detached);
}

asio::awaitable<void> wait_for_send_capacity(peer_socket& peer)
{
    while (!peer.closed && peer.pending.size() > max_pending_bytes)
    {
        peer.send_capacity_signal.expires_after(max_send_capacity_wait);
        co_await peer.send_capacity_signal.async_wait(
            asio::as_tuple(asio::use_awaitable));
    }
}

void close(peer_socket& peer)
{
    if (peer.closed)
    {
        return;
    }
    peer.closed = true;
    boost::system::error_code ignored;
    peer.socket.close(ignored);
    peer.send_capacity_signal.cancel();
}

asio::awaitable<absl::Status> handshake_as_dialler(
    peer_socket_ptr peer, handshake_identity identity, host_id expected)
{
    const handshake_nonce own = make_nonce();
    handshake_nonce other{};
    encode_hello(peer->pending, identity.self, identity.self_incarnation, own);
    flush(peer);
    const auto status = co_await receive_hello(*peer, other);
    if (!status.ok())
    {
        co_return status;
    }
    if (peer->peer != expected)
    {
        co_return absl::PermissionDeniedError(
            "a host other than the dialled one answered");
    }
    encode_proof(
        peer->pending, make_proof(
                           identity.fleet_secret, handshake_role::dialler,
                           identity.self, own, peer->peer, other));
    flush(peer);
    const handshake_proof proof = make_proof(
        identity.fleet_secret, handshake_role::acceptor, peer->peer, other,
        identity.self, own);
    co_return co_await receive_proof(*peer, proof);
}

asio::awaitable<absl::Status>
handshake_as_acceptor(peer_socket_ptr peer, handshake_identity identity)
{
    const handshake_nonce own = make_nonce();
    handshake_nonce other{};
    const auto status = co_await receive_hello(*peer, other);
    if (!status.ok())
    {
        co_return status;
    }
    encode_hello(peer->pending, identity.self, identity.self_incarnation, own);
    flush(peer);
    const handshake_proof expected = make_proof(
        identity.fleet_secret, handshake_role::dialler, peer->peer, other,
        identity.self, own);
    const auto proven = co_await receive_proof(*peer, expected);
    if (!proven.ok())
    {
        co_return proven;
    }
    encode_proof(
        peer->pending, make_proof(
                           identity.fleet_secret, handshake_role::acceptor,
                           identity.self, own, peer->peer, other));
    flush(peer);
    co_return absl::OkStatus();
}

} // namespace cyclamenhold
