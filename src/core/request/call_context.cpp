#include "core/request/call_context.hpp"

#include <algorithm>

#include <xxhash.h>

namespace cyclamenhold
{
namespace
{

std::uint64_t digest_of(const call_request& request, workspace_id workspace)
{
    const std::string text =
        request.method + ' ' + request.target + ' ' + request.idempotency_key;
    const XXH64_hash_t head = XXH3_64bits_withSeed(
        text.data(), text.size(), static_cast<XXH64_hash_t>(workspace));
    const std::string_view body = request.body_prefix;
    return body.empty() ? head
                        : XXH3_64bits_withSeed(body.data(), body.size(), head);
}

} // namespace

void fill_context(
    request_path& path, call_state& call, const call_request& request,
    const route_entry& route, workspace_id workspace, time_point now,
    random_source& random)
{
    request_context& context = call.context;
    const auto& settings = route.settings;
    context.workspace = workspace;
    context.service = draw_service(route, random);
    context.never_repeat = settings.never_repeat;
    context.idempotency_key = request.idempotency_key;
    context.digest = digest_of(request, workspace);
    context.regions = route.regions;
    context.route = route.id;
    const auto limit = std::chrono::milliseconds(settings.deadline);
    context.deadline = now + std::min(limit, request.timeout.value_or(limit));
    if (request.parent)
    {
        const request_context& parent = *request.parent;
        context.trace = parent.trace;
        context.priority = parent.priority;
        context.slot = parent.slot;
        context.depth = parent.depth + 1;
        call.parent_record = request.parent_record;
        if (call.parent_record)
        {
            call.parent_record->child_wait.record_begin(now);
        }
        context.retry_allowance =
            request.parent_record
                ? request.parent_record->allowance.take_share()
                : std::uint16_t{0};
        context.deadline = std::min(context.deadline, parent.deadline);
        return;
    }
    context.trace = {random(), random()};
    if (path.treats_keyless_as_calls && !request.key)
    {
        context.depth = 1;
    }
    context.priority = settings.priority;
    context.slot =
        draw_slot(path.slots, workspace, context.priority, now, random);
    context.retry_allowance = settings.retry_allowance;
}

} // namespace cyclamenhold
