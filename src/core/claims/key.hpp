// Idempotency keys: tickets that a node has issued, UUIDv7 and any other text;
// and the data centre and shard whose steward records the claim on a key.
#pragma once

#include "core/base/ids.hpp"
#include "core/configuration/model.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cyclamenhold
{

// "cyt_<data centre>_<shard>_<epoch>_<generation>_<random>", in hexadecimal.
struct claim_ticket
{
    data_centre_id data_centre = data_centre_id::none;
    std::uint32_t shard = 0;
    // Epoch of the steward lease under which all claims on the ticket are
    // recorded.
    std::uint64_t epoch = 0;
    std::uint64_t generation = 0;
    std::uint64_t random = 0;
    bool operator==(const claim_ticket&) const = default;
};

[[nodiscard]] std::string to_string(const claim_ticket& ticket);
[[nodiscard]] std::optional<claim_ticket> parse_ticket(std::string_view text);

// Returns the time in a UUIDv7, in milliseconds since the Unix epoch, or
// nothing if the text is not a UUIDv7 (RFC 9562).
[[nodiscard]] std::optional<std::uint64_t> uuid_time_ms(std::string_view text);

struct claim_home
{
    data_centre_id data_centre = data_centre_id::none;
    std::uint32_t shard = 0;
};

// Returns the home of a key. Its data centre is `none` if the configuration has
// no data centres and the key is not a ticket.
[[nodiscard]] claim_home
home_of(const configuration& current, std::string_view key);

} // namespace cyclamenhold
