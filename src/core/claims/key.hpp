// Idempotency keys: tickets of this system, UUIDv7 and any other text; and the
// data centre and shard where the claim on a key is kept.
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
    // The stewardship that knows all claims on the ticket.
    std::uint64_t epoch = 0;
    std::uint64_t generation = 0;
    std::uint64_t random = 0;
    bool operator==(const claim_ticket&) const = default;
};

[[nodiscard]] std::string to_string(const claim_ticket& ticket);
[[nodiscard]] std::optional<claim_ticket> parse_ticket(std::string_view text);

// The time in a UUIDv7, in milliseconds since the Unix epoch.
[[nodiscard]] std::optional<std::uint64_t> uuid_time_ms(std::string_view text);

struct claim_home
{
    data_centre_id data_centre = data_centre_id::none;
    std::uint32_t shard = 0;
};

// Where the claim on a key is kept; data centre `none` when the configuration
// names no data centres.
[[nodiscard]] claim_home
home_of(const configuration& current, std::string_view key);

} // namespace cyclamenhold
