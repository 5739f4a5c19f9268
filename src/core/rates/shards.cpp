#include "core/rates/shards.hpp"

#include <array>

#include <xxhash.h>

namespace cyclamenhold
{

std::uint32_t shard_of(workspace_id workspace)
{
    return static_cast<std::uint32_t>(
        (static_cast<std::uint64_t>(workspace) >> 32) % shard_count);
}

std::uint32_t shard_of_key(std::string_view key)
{
    return static_cast<std::uint32_t>(
        (XXH3_64bits(key.data(), key.size()) >> 32) % shard_count);
}

host_id rendezvous_winner(std::uint64_t subject, std::span<const host_id> hosts)
{
    host_id winner = host_id::none;
    std::uint64_t best = 0;
    for (const host_id host : hosts)
    {
        const std::array<std::uint64_t, 2> text{
            subject, static_cast<std::uint64_t>(host)};
        const std::uint64_t hash = XXH3_64bits(text.data(), sizeof(text));
        if (winner == host_id::none || hash > best)
        {
            winner = host;
            best = hash;
        }
    }
    return winner;
}

double share_of(const configuration& current, data_centre_id data_centre)
{
    double all = 0.0;
    double own = 0.0;
    for (const auto& entry : current.data_centres)
    {
        all += entry.weight;
        if (data_centre_id_of(entry.name) == data_centre)
        {
            own += entry.weight;
        }
    }
    return all > 0.0 ? own / all : 0.0;
}

} // namespace cyclamenhold
