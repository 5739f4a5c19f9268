// The proofs of a peer handshake. Each side sends a fresh number and signs the
// other's together with both hosts and its own role, so that neither an old
// proof nor a reflected one is worth anything.
#pragma once

#include "core/base/ids.hpp"

#include <array>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace cyclamenhold
{

constexpr std::size_t handshake_nonce_bytes = 32;

using handshake_nonce = std::array<std::uint8_t, handshake_nonce_bytes>;
using handshake_proof = std::array<std::uint8_t, 32>;

enum class handshake_role : std::uint8_t
{
    dialler,
    acceptor
};

// Fresh random bytes.
[[nodiscard]] handshake_nonce make_nonce();

// What the side in `role` proves with. `own` and `other` are the two sides'
// hosts and nonces as that side sees them.
[[nodiscard]] handshake_proof make_proof(
    std::string_view fleet_secret, handshake_role role, host_id own_host,
    const handshake_nonce& own_nonce, host_id other_host,
    std::span<const std::uint8_t> other_nonce);

// Compares in constant time.
[[nodiscard]] bool
equal_proofs(std::span<const std::uint8_t> left, const handshake_proof& right);

} // namespace cyclamenhold
