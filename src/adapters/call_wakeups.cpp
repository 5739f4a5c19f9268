#include "adapters/call_wakeups.hpp"

namespace cyclamenhold
{

void wake_call(
    call_wakeups& wakeups, std::uint64_t call, const call_wakeup& wakeup)
{
    const std::scoped_lock lock(wakeups.mutex);
    const auto found = wakeups.waiting.find(call);
    if (found == wakeups.waiting.end())
    {
        wakeups.early.insert_or_assign(call, wakeup);
        return;
    }
    found->second->try_send(boost::system::error_code(), wakeup);
    wakeups.waiting.erase(found);
}

std::shared_ptr<wakeup_channel> begin_wait(
    call_wakeups& wakeups, std::uint64_t call,
    const asio::any_io_executor& executor)
{
    auto channel = std::make_shared<wakeup_channel>(executor, 1);
    const std::scoped_lock lock(wakeups.mutex);
    if (const auto early = wakeups.early.extract(call))
    {
        channel->try_send(boost::system::error_code(), early.mapped());
        return channel;
    }
    wakeups.waiting.emplace(call, channel);
    return channel;
}

void end_wait(call_wakeups& wakeups, std::uint64_t call)
{
    const std::scoped_lock lock(wakeups.mutex);
    wakeups.waiting.erase(call);
    wakeups.early.erase(call);
}

} // namespace cyclamenhold
