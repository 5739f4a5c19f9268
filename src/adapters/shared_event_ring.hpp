// The event ring and the hybrid logical clock that all threads of a node share.
#pragma once

#include "core/events/event_json.hpp"
#include "core/events/event_ring.hpp"

#include <atomic>
#include <cstddef>
#include <mutex>
#include <string>

namespace cyclamenhold
{

// An event ring with its clock. Thread-safe.
class shared_event_ring
{
public:
    shared_event_ring(host_id host, std::string name, std::size_t capacity);

    // Adds an event with a new time stamp of this host's clock. Overwrites the
    // oldest one if the ring is full.
    void record(const event& what);

    // Advances the clock and returns the time stamp of an outgoing message.
    [[nodiscard]] hybrid_time stamp_send();

    // Advances the clock for a received message with the time stamp `remote`;
    // see receive_hybrid_time.
    void record_receive(hybrid_time remote);

    // The events that match a query.
    [[nodiscard]] event_page page(const event_query& query) const;
    // Number of events that have been overwritten since the start.
    [[nodiscard]] std::uint64_t overwritten() const;

private:
    host_id host_;
    std::string name_;
    std::atomic<hybrid_time> clock_{hybrid_time::none};
    mutable std::mutex mutex_;
    event_ring ring_;
};

} // namespace cyclamenhold
