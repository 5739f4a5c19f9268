// Authenticated datagrams between nodes, over UDP.
#pragma once

#include "core/base/ids.hpp"
#include "ports/messages.hpp"

#include <boost/asio.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamenhold
{

namespace asio = boost::asio;

// Records which of a sender's newest sequence numbers were received, so that
// duplicates of a datagram are dropped.
struct replay_window
{
    incarnation sender_incarnation = 0;
    std::uint64_t newest = 0;
    // Bit n is set if the number `newest - n` was received.
    std::uint64_t received_bits = 0;
};

// Records the number; true if it is new. Numbers below the window and
// incarnations older than the newest received are refused.
[[nodiscard]] bool record_sequence(
    replay_window& window, incarnation sender_incarnation,
    std::uint64_t sequence);

struct datagram_port
{
    datagram_port(asio::ip::udp::socket bound, std::string secret)
        : socket(std::move(bound)), fleet_secret(std::move(secret))
    {
    }

    asio::ip::udp::socket socket;
    std::string fleet_secret;
    host_id self = host_id::none;
    incarnation self_incarnation = 0;
    std::uint64_t next_sequence = 1;
    std::unordered_map<host_id, replay_window> replay_windows;
    std::function<void(const incoming_message&)> on_message;
    // Called with the reason for a datagram that is malformed, a duplicate or
    // not of this fleet.
    std::function<void(const char*)> on_rejected;
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
};

// The bytes of a datagram, with its authentication code.
[[nodiscard]] std::vector<std::uint8_t>
seal_datagram(datagram_port& port, const outgoing_message& message);

// The message in an authentic datagram for this host; nullopt for any other
// and for duplicates. The payload points into `bytes`, which must be aligned to
// 8 bytes.
[[nodiscard]] std::optional<incoming_message>
open_datagram(datagram_port& port, std::span<const std::uint8_t> bytes);

// Sends a datagram, which is dropped if the system cannot send it.
void send_datagram(datagram_port& port, const outgoing_message& message);

// Receives until the socket is closed.
[[nodiscard]] asio::awaitable<void> run_datagrams(datagram_port& port);

} // namespace cyclamenhold
