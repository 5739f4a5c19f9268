// Shards of workspaces and of idempotency keys, and the assignment of shards to
// hosts by rendezvous hashing.
#pragma once

#include "core/base/ids.hpp"
#include "core/configuration/model.hpp"

#include <cstdint>
#include <span>
#include <string_view>

namespace cyclamenhold
{

constexpr std::uint32_t shard_count = 16;
// A set of shards has one bit for each.
constexpr std::uint32_t all_shards = (1U << shard_count) - 1;

[[nodiscard]] std::uint32_t shard_of(workspace_id workspace);
[[nodiscard]] std::uint32_t shard_of_key(std::string_view key);

// The host with the highest rendezvous hash; `none` when there are no hosts.
[[nodiscard]] host_id
rendezvous_winner(std::uint64_t subject, std::span<const host_id> hosts);

// The part of all rates and bursts that a data centre may admit without loans;
// zero for one that is not in the configuration.
[[nodiscard]] double
share_of(const configuration& current, data_centre_id data_centre);

} // namespace cyclamenhold
