// What the upstream's node keeps of a running request, for the child calls that
// the upstream makes while it runs.
#pragma once

#include "core/base/request_context.hpp"
#include "core/gate/admission_position.hpp"
#include "core/retries/allowance.hpp"

#include <atomic>
#include <cstdint>

namespace cyclamenhold
{

// The most restrictive admission level that the calls below a request met.
// Thread-safe.
class downstream_level
{
public:
    void note(const admission_level& level);
    [[nodiscard]] admission_level read() const;

private:
    std::atomic<std::uint32_t> positions_{admission_position_count};
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
};

} // namespace cyclamenhold
