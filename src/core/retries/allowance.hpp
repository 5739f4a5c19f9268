// The retry allowance of one running request. Child calls take shares of it and
// return what they did not use, so the total is conserved. At any depth, all
// attempts below a root request are therefore at most the calls made plus the
// allowance of the root.
#pragma once

#include <atomic>
#include <cstdint>

namespace cyclamenhold
{

// Part of the record that the upstream's node keeps of a running request.
// Thread-safe.
class allowance_pool
{
public:
    explicit allowance_pool(std::uint16_t amount) : available_(amount) {}

    // Takes half of the remaining allowance, rounded up, for a child call.
    // Returns 0 once the pool is closed.
    [[nodiscard]] std::uint16_t take_share();

    // Returns what a child call did not use. After the pool is closed the
    // amount is lost, which keeps the bound.
    void return_share(std::uint16_t amount);

    // Takes all that remains, for the reply to the caller's node, and closes
    // the pool.
    [[nodiscard]] std::uint16_t close();

private:
    static constexpr std::uint32_t closed = 1U << 31;
    std::atomic<std::uint32_t> available_;
};

// How a call splits its allowance before an attempt.
struct allowance_split
{
    // Stays with the call, for its own attempts.
    std::uint16_t kept = 0;
    // Sent with the attempt, for the calls below it.
    std::uint16_t passed = 0;
};

// When the upstream crashes, the passed part is lost. Half stays with the call,
// the larger half of an odd amount.
[[nodiscard]] constexpr allowance_split split_allowance(std::uint16_t amount)
{
    const auto passed = static_cast<std::uint16_t>(amount / 2);
    return {static_cast<std::uint16_t>(amount - passed), passed};
}

} // namespace cyclamenhold
