// The proofs of a peer handshake. Each side sends a fresh nonce and an HMAC of
// both nonces, both hosts and its own role, so that neither a replayed nor a
// reflected proof is valid.
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

// The proof that the side in `role` sends: an HMAC-SHA256 under the fleet
// secret. `own_*` belongs to that side, `other_*` to its peer.
[[nodiscard]] handshake_proof make_proof(
    std::string_view fleet_secret, handshake_role role, host_id own_host,
    const handshake_nonce& own_nonce, host_id other_host,
    std::span<const std::uint8_t> other_nonce);

// Compares two proofs in constant time.
[[nodiscard]] bool
equal_proofs(std::span<const std::uint8_t> left, const handshake_proof& right);

} // namespace cyclamenhold
