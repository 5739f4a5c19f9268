// The event ring and the hybrid clock of a running node, for all its threads.
#pragma once

#include "core/events/event_json.hpp"
#include "core/events/event_ring.hpp"

#include <atomic>
#include <cstddef>
#include <mutex>
#include <string>

namespace cyclamenhold
{

// All members may be called from any thread.
class shared_event_ring
{
public:
    shared_event_ring(host_id host, std::string name, std::size_t capacity);

    // Stamps the event with this host's clock and keeps it.
    void record(const event& what);

    // The clock for a message that leaves this host.
    [[nodiscard]] hybrid_time stamp_send();

    // Follows the clock of a message that arrived.
    void record_receive(hybrid_time remote);

    [[nodiscard]] event_page page(const event_query& query) const;
    [[nodiscard]] std::uint64_t overwritten() const;

private:
    host_id host_;
    std::string name_;
    std::atomic<hybrid_time> clock_{hybrid_time::none};
    mutable std::mutex mutex_;
    event_ring ring_;
};

} // namespace cyclamenhold
