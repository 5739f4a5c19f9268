// The record that the upstream's node keeps of a running request, for the child
// calls that the upstream makes meanwhile.
#pragma once

#include "core/base/request_context.hpp"
#include "core/gate/admission_position.hpp"
#include "core/retries/allowance.hpp"

#include <atomic>
#include <cstdint>
#include <mutex>

namespace cyclamenhold
{

// The most restrictive admission level that the calls below a request met.
// Thread-safe.
class downstream_level
{
public:
    void record(const admission_level& level);
    [[nodiscard]] admission_level read() const;

private:
    std::atomic<std::uint32_t> positions_{admission_position_count};
};

// The time a running request has waited for its child calls. Overlapping calls
// are counted once. Thread-safe.
class child_wait_time
{
public:
    void record_begin(time_point now);
    void record_end(time_point now);
    [[nodiscard]] duration total(time_point now) const;

private:
    mutable std::mutex mutex_;
    std::uint32_t open_ = 0;
    time_point opened_at_{};
    duration total_{};
};

struct call_record
{
    explicit call_record(const request_context& request)
        : context(request), allowance(request.retry_allowance)
    {
    }

    request_context context;
    allowance_pool allowance;
    downstream_level downstream;
    child_wait_time child_wait;
};

} // namespace cyclamenhold
