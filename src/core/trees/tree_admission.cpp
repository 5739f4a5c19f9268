#include "core/trees/tree_admission.hpp"

#include <algorithm>
#include <cmath>

#include <absl/strings/str_format.h>

namespace cyclamenhold
{
namespace
{

constexpr double averaging_seconds = 1.0;
// With fewer requests in the histogram of slots than this, the share of each
// slot is not known.
constexpr float min_slot_sum = 20.0F;
constexpr float max_slot_sum = 400.0F;
// A service has this much room for requests that arrive together, also at a
// host where few arrive.
constexpr double min_burst = 8.0;
constexpr double burst_seconds = 0.25;
// Traffic varies by chance, so that it may always exceed its mean by this
// factor.
constexpr double least_headroom = 1.2;
// Traffic that may grow by more than this is not bounded.
constexpr double unbounded_headroom = 8.0;

void count_arrival(admission_row& row, std::uint16_t slot, time_point now)
{
    const double elapsed = to_seconds(now - row.counted_at);
    row.rate =
        row.rate * std::exp(-std::max(0.0, elapsed) / averaging_seconds) +
        1.0 / averaging_seconds;
    row.counted_at = now;
    row.slots[std::min<std::size_t>(slot, row.slots.size() - 1)] += 1.0F;
    row.slot_sum += 1.0F;
    if (row.slot_sum > max_slot_sum)
    {
        for (float& count : row.slots)
        {
            count /= 2.0F;
        }
        row.slot_sum /= 2.0F;
    }
}

double rate_at(const admission_row& row, time_point now)
{
    const double elapsed = to_seconds(now - row.counted_at);
    return row.rate * std::exp(-std::max(0.0, elapsed) / averaging_seconds);
}

// Whether a request with this slot belongs to the admitted share.
bool is_in_share(
    const admission_row& row, std::uint16_t slot, random_source& random)
{
    const double share = row.allotment.share;
    if (share >= 1.0)
    {
        return true;
    }
    if (row.slot_sum < min_slot_sum)
    {
        return random_fraction(random) < share;
    }
    const std::size_t own = std::min<std::size_t>(slot, row.slots.size() - 1);
    float below = 0.0F;
    for (std::size_t i = 0; i < own; ++i)
    {
        below += row.slots[i];
    }
    const double admitted = share * row.slot_sum - below;
    return admitted > 0.0 &&
           random_fraction(random) * row.slots[own] < admitted;
}

// Takes a token of the growth that the allotment leaves room for.
bool take_growth(admission_row& row, time_point now)
{
    const auto& [share, headroom] = row.allotment;
    if (headroom > unbounded_headroom)
    {
        return true;
    }
    const double rate =
        row.allotted_rate * share * std::max(headroom, least_headroom);
    const double burst = std::max(min_burst, rate * burst_seconds);
    const double elapsed = std::max(0.0, to_seconds(now - row.refilled_at));
    row.tokens = std::min(burst, row.tokens + rate * elapsed);
    row.refilled_at = now;
    if (row.tokens < 1.0)
    {
        return false;
    }
    row.tokens -= 1.0;
    return true;
}

} // namespace

void set_allotment(
    tree_admission& admission, const tree_key& key,
    const tree_allotment& allotment, time_point now, duration term)
{
    const std::scoped_lock lock(admission.mutex);
    admission_row& row = admission.rows[key];
    if (row.valid_until == time_point{})
    {
        row.tokens = min_burst;
        row.refilled_at = now;
    }
    row.allotment = allotment;
    row.allotted_rate = rate_at(row, now);
    row.valid_until = now + term;
}

tree_verdict admit_tree(
    tree_admission& admission, const tree_key& key, std::uint16_t slot,
    time_point now, random_source& random)
{
    if (!admission.is_enabled)
    {
        return tree_verdict::unknown;
    }
    const std::scoped_lock lock(admission.mutex);
    admission_row& row = admission.rows[key];
    count_arrival(row, slot, now);
    if (now >= row.valid_until)
    {
        return tree_verdict::unknown;
    }
    return is_in_share(row, slot, random) && take_growth(row, now)
               ? tree_verdict::admitted
               : tree_verdict::refused;
}

void forget_other_routes(
    tree_admission& admission, const std::set<route_id>& configured)
{
    const std::scoped_lock lock(admission.mutex);
    std::erase_if(
        admission.rows,
        [&configured](const auto& row)
        {
            return !configured.contains(row.first.route);
        });
}

std::string describe_admission(tree_admission& admission, const tree_key& key)
{
    const std::scoped_lock lock(admission.mutex);
    const admission_row& row = admission.rows[key];
    return absl::StrFormat(
        "share %.2f, headroom %.2f, %.1f a second here, %.1f when allotted",
        row.allotment.share, row.allotment.headroom, row.rate,
        row.allotted_rate);
}

} // namespace cyclamenhold
