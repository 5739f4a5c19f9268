// A counting semaphore for coroutines of one thread.
#pragma once

#include "core/base/time.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <deque>
#include <memory>

namespace cyclamenhold
{

struct semaphore_waiter
{
    semaphore_waiter(
        const boost::asio::any_io_executor& executor, time_point deadline)
        : timer(executor, deadline)
    {
    }
    boost::asio::steady_timer timer;
    bool granted = false;
};

struct async_semaphore
{
    std::size_t available = 0;
    // Oldest first.
    std::deque<std::shared_ptr<semaphore_waiter>> waiters;
};

// Acquires one permit, waiting until `deadline` at most. False when none was
// granted by then.
[[nodiscard]] boost::asio::awaitable<bool>
acquire(async_semaphore& semaphore, time_point deadline);

// Releases one permit, to the oldest waiter if there is one.
void release(async_semaphore& semaphore);

// Releases a permit at the end of a scope.
class semaphore_permit
{
public:
    explicit semaphore_permit(async_semaphore& semaphore)
        : semaphore_(&semaphore)
    {
    }
    ~semaphore_permit()
    {
        release(*semaphore_);
    }
    semaphore_permit(const semaphore_permit&) = delete;
    semaphore_permit& operator=(const semaphore_permit&) = delete;

private:
    async_semaphore* semaphore_;
};

} // namespace cyclamenhold
