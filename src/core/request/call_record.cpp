#include "core/request/call_record.hpp"

namespace cyclamenhold
{

void downstream_level::note(const admission_level& level)
{
    const std::uint32_t positions = open_positions(level);
    std::uint32_t lowest = positions_.load(std::memory_order_relaxed);
    while (positions < lowest &&
           !positions_.compare_exchange_weak(
               lowest, positions, std::memory_order_relaxed))
    {
    }
}

admission_level downstream_level::read() const
{
    return level_at(positions_.load(std::memory_order_relaxed));
}

} // namespace cyclamenhold
