#include "core/events/time_line.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace cyclamenhold
{
namespace
{

// Identifies a record: the hybrid clock of a host never returns the same time
// twice.
auto position_of(const event_record& record)
{
    return std::tuple(record.time, record.host);
}

} // namespace

std::vector<event_record> merge_time_line(
    std::vector<std::vector<event_record>> inputs, const event_query& query)
{
    std::vector<event_record> line;
    for (auto& input : inputs)
    {
        std::ranges::copy_if(
            std::make_move_iterator(input.begin()),
            std::make_move_iterator(input.end()), std::back_inserter(line),
            [&query](const event_record& record)
            {
                return matches(query, record);
            });
    }
    std::ranges::stable_sort(line, {}, position_of);
    const auto last = std::unique(
        line.begin(), line.end(),
        [](const event_record& left, const event_record& right)
        {
            return position_of(left) == position_of(right);
        });
    line.erase(last, line.end());
    return line;
}

} // namespace cyclamenhold
