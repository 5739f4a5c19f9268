#include "adapters/datagram_port.hpp"

#include "wire/generated/datagram_generated.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace cyclamenhold
{
namespace
{

constexpr std::size_t code_bytes = 16;
constexpr std::size_t max_datagram_bytes = 2048;
constexpr std::uint64_t window_width = 64;

using authentication_code = std::array<std::uint8_t, code_bytes>;

// HMAC-SHA256 truncated to 128 bits. The prefix separates these codes from all
// other uses of the fleet secret.
authentication_code authentication_code_of(
    const std::string& secret, std::span<const std::uint8_t> bytes)
{
    static constexpr std::string_view purpose = "cyclamenhold datagram";
    std::vector<std::uint8_t> text(purpose.begin(), purpose.end());
    text.insert(text.end(), bytes.begin(), bytes.end());
    std::array<std::uint8_t, 32> full{};
    unsigned int size = 0;
    HMAC(
        EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
        text.data(), text.size(), full.data(), &size);
    authentication_code code{};
    std::copy_n(full.begin(), code.size(), code.begin());
    return code;
}

asio::ip::udp::endpoint endpoint_of(host_id host)
{
    const auto value = static_cast<std::uint64_t>(host);
    return {
        asio::ip::address_v4(static_cast<std::uint32_t>(value >> 16)),
        static_cast<std::uint16_t>(value & 0xffff)};
}

} // namespace

bool record_sequence(
    replay_window& window, incarnation sender_incarnation,
    std::uint64_t sequence)
{
    if (sender_incarnation < window.sender_incarnation)
    {
        return false;
    }
    if (sender_incarnation > window.sender_incarnation)
    {
        window = {sender_incarnation, sequence, 1};
        return true;
    }
    if (sequence > window.newest)
    {
        const std::uint64_t shift = sequence - window.newest;
        window.received_bits =
            shift < window_width ? window.received_bits << shift : 0;
        window.received_bits |= 1;
        window.newest = sequence;
        return true;
    }
    const std::uint64_t age = window.newest - sequence;
    if (age >= window_width || (window.received_bits >> age & 1) != 0)
    {
        return false;
    }
    window.received_bits |= std::uint64_t{1} << age;
    return true;
}

std::vector<std::uint8_t>
seal_datagram(datagram_port& port, const outgoing_message& message)
{
    flatbuffers::FlatBufferBuilder fbb(message.payload.size() + 128);
    const auto payload = fbb.CreateVector(message.payload);
    fbb.Finish(wire::Createdatagram(
        fbb, static_cast<std::uint64_t>(port.self),
        static_cast<std::uint64_t>(message.to), port.self_incarnation,
        port.next_sequence++, static_cast<std::uint8_t>(message.kind),
        payload));
    std::vector<std::uint8_t> bytes(
        fbb.GetBufferPointer(), fbb.GetBufferPointer() + fbb.GetSize());
    const auto code = authentication_code_of(port.fleet_secret, bytes);
    bytes.insert(bytes.end(), code.begin(), code.end());
    return bytes;
}

std::optional<incoming_message>
open_datagram(datagram_port& port, std::span<const std::uint8_t> bytes)
{
    if (bytes.size() <= code_bytes)
    {
        return std::nullopt;
    }
    const auto content = bytes.first(bytes.size() - code_bytes);
    const auto code = authentication_code_of(port.fleet_secret, content);
    if (CRYPTO_memcmp(
            code.data(), bytes.data() + content.size(), code.size()) != 0)
    {
        return std::nullopt;
    }
    flatbuffers::Verifier verifier(content.data(), content.size());
    if (!verifier.VerifyBuffer<wire::datagram>(nullptr))
    {
        return std::nullopt;
    }
    const auto* const opened =
        flatbuffers::GetRoot<wire::datagram>(content.data());
    const auto sender = static_cast<host_id>(opened->sender());
    if (opened->payload() == nullptr ||
        static_cast<host_id>(opened->target()) != port.self ||
        !record_sequence(
            port.replay_windows[sender], opened->incarnation(),
            opened->sequence()))
    {
        return std::nullopt;
    }
    return incoming_message{
        sender,
        static_cast<message_kind>(opened->kind()),
        {opened->payload()->data(), opened->payload()->size()}};
}

void send_datagram(datagram_port& port, const outgoing_message& message)
{
    const auto bytes = seal_datagram(port, message);
    boost::system::error_code ignored;
    port.bytes_sent += bytes.size();
    port.socket.send_to(
        asio::buffer(bytes), endpoint_of(message.to), 0, ignored);
}

asio::awaitable<void> run_datagrams(datagram_port& port)
{
    std::vector<std::uint8_t> buffer(max_datagram_bytes);
    while (port.socket.is_open())
    {
        asio::ip::udp::endpoint from;
        const auto [error, count] = co_await port.socket.async_receive_from(
            asio::buffer(buffer), from, asio::as_tuple(asio::use_awaitable));
        if (error == asio::error::operation_aborted)
        {
            co_return;
        }
        if (error)
        {
            continue;
        }
        port.bytes_received += count;
        const auto message =
            open_datagram(port, std::span(buffer).first(count));
        if (!message)
        {
            port.on_rejected(
                "a datagram is malformed, not authentic or a duplicate");
            continue;
        }
        // Copied, because the tables in the payload need their own alignment.
        const std::vector<std::uint8_t> payload(
            message->payload.begin(), message->payload.end());
        port.on_message({message->from, message->kind, payload});
    }
}

} // namespace cyclamenhold
