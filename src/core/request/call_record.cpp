#include "core/request/call_record.hpp"

namespace cyclamenhold
{

void downstream_level::record(const admission_level& level)
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

void child_wait_time::record_begin(time_point now)
{
    const std::scoped_lock lock(mutex_);
    if (open_++ == 0)
    {
        opened_at_ = now;
    }
}

void child_wait_time::record_end(time_point now)
{
    const std::scoped_lock lock(mutex_);
    if (open_ > 0 && --open_ == 0)
    {
        total_ += now - opened_at_;
    }
}

duration child_wait_time::total(time_point now) const
{
    const std::scoped_lock lock(mutex_);
    return open_ > 0 ? total_ + (now - opened_at_) : total_;
}

} // namespace cyclamenhold
