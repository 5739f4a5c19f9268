#include "adapters/peer_handshake.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <cstdlib>

namespace cyclamenhold
{
namespace
{

void append_number(std::vector<std::uint8_t>& out, std::uint64_t value)
{
    for (int shift = 0; shift < 64; shift += 8)
    {
        out.push_back(static_cast<std::uint8_t>(value >> shift));
    }
}

} // namespace

handshake_nonce make_nonce()
{
    handshake_nonce nonce{};
    if (RAND_bytes(nonce.data(), static_cast<int>(nonce.size())) != 1)
    {
        // Without random nonces a replayed proof would be valid.
        std::abort();
    }
    return nonce;
}

handshake_proof make_proof(
    std::string_view fleet_secret, handshake_role role, host_id own_host,
    const handshake_nonce& own_nonce, host_id other_host,
    std::span<const std::uint8_t> other_nonce)
{
    std::vector<std::uint8_t> text;
    text.push_back(static_cast<std::uint8_t>(role));
    append_number(text, static_cast<std::uint64_t>(own_host));
    append_number(text, static_cast<std::uint64_t>(other_host));
    text.insert(text.end(), own_nonce.begin(), own_nonce.end());
    text.insert(text.end(), other_nonce.begin(), other_nonce.end());
    handshake_proof proof{};
    unsigned int size = 0;
    HMAC(
        EVP_sha256(), fleet_secret.data(),
        static_cast<int>(fleet_secret.size()), text.data(), text.size(),
        proof.data(), &size);
    return proof;
}

bool equal_proofs(
    std::span<const std::uint8_t> left, const handshake_proof& right)
{
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), right.size()) == 0;
}

} // namespace cyclamenhold
