#include "adapters/async_semaphore.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cyclamenhold
{
namespace asio = boost::asio;

asio::awaitable<bool> acquire(async_semaphore& semaphore, time_point deadline)
{
    if (semaphore.available > 0)
    {
        --semaphore.available;
        co_return true;
    }
    auto executor = co_await asio::this_coro::executor;
    auto waiter = std::make_shared<semaphore_waiter>(executor, deadline);
    semaphore.waiters.push_back(waiter);
    co_await waiter->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    if (waiter->granted)
    {
        co_return true;
    }
    std::erase(semaphore.waiters, waiter);
    co_return false;
}

void release(async_semaphore& semaphore)
{
    if (semaphore.waiters.empty())
    {
        ++semaphore.available;
        return;
    }
    auto waiter = semaphore.waiters.front();
    semaphore.waiters.pop_front();
    waiter->granted = true;
    waiter->timer.cancel();
}

} // namespace cyclamenhold
