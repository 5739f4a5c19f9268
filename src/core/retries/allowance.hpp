// The retry allowance of one running request: a conserved quantity that its
// child calls take shares of and give back what they did not use. All attempts
// below a root request are therefore at most the calls made plus the allowance
// of the root, at any depth.
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

    // Takes half of what is left, rounded up, for a child call. Nothing once
    // the pool is closed.
    [[nodiscard]] std::uint16_t take_share();

    // Gives back what a child call did not use. After the pool was closed it
    // is lost, which keeps the bound.
    void return_share(std::uint16_t amount);

    // Takes everything, for the reply to the caller's node; the pool is closed
    // from then on.
    [[nodiscard]] std::uint16_t close();

private:
    static constexpr std::uint32_t closed = 1U << 31;
    std::atomic<std::uint32_t> available_;
};

// How a call splits its allowance before an attempt.
struct allowance_split
{
    // Stays with the call, for attempts of its own.
    std::uint16_t kept = 0;
    // Travels with the attempt, for the calls below it.
    std::uint16_t passed = 0;
};

// An attempt whose upstream dies takes what was passed with it, so half stays;
// of an odd amount the larger half.
[[nodiscard]] constexpr allowance_split split_allowance(std::uint16_t amount)
{
    const auto passed = static_cast<std::uint16_t>(amount / 2);
    return {static_cast<std::uint16_t>(amount - passed), passed};
}

} // namespace cyclamenhold
