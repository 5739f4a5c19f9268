#include "core/retries/allowance.hpp"

namespace cyclamenhold
{

std::uint16_t allowance_pool::take_share()
{
    std::uint32_t available = available_.load(std::memory_order_relaxed);
    while (available != closed && available > 0)
    {
        const std::uint32_t share = (available + 1) / 2;
        if (available_.compare_exchange_weak(
                available, available - share, std::memory_order_relaxed))
        {
            return static_cast<std::uint16_t>(share);
        }
    }
    return 0;
}

void allowance_pool::return_share(std::uint16_t amount)
{
    std::uint32_t available = available_.load(std::memory_order_relaxed);
    while (available != closed &&
           !available_.compare_exchange_weak(
               available, available + amount, std::memory_order_relaxed))
    {
    }
}

std::uint16_t allowance_pool::close()
{
    const std::uint32_t available =
        available_.exchange(closed, std::memory_order_relaxed);
    return available == closed ? std::uint16_t{0}
                               : static_cast<std::uint16_t>(available);
}

} // namespace cyclamenhold
