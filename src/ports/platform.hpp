// The platform's key-value store: subsystems append calls to control_actions
// and get the replies as events. Any reply can be lost, also after the write
// took effect.
#pragma once

#include "core/base/names.hpp"
#include "core/base/time.hpp"

#include <absl/status/statusor.h>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenhold
{

enum class platform_operation : std::uint8_t
{
    get,
    // Lists the keys that start with `key` and follow `after`, in order.
    list,
    // Writes `value` if the key's version equals `expected_version`; version 0
    // means "absent". If `lease` is not 0, the key is deleted when that lease
    // expires.
    compare_and_swap,
    // Deletes the key if its version equals `expected_version`.
    compare_and_delete,
    lease_grant,
    lease_renew,
    lease_revoke,
    // Replies once any key that starts with `key` has a version above
    // `expected_version`, or without entries after `wait`.
    watch
};

template <>
struct enum_names<platform_operation>
{
    static constexpr std::array<
        std::pair<platform_operation, std::string_view>, 8>
        table{
            {{platform_operation::get, "get"},
             {platform_operation::list, "list"},
             {platform_operation::compare_and_swap, "compare-and-swap"},
             {platform_operation::compare_and_delete, "compare-and-delete"},
             {platform_operation::lease_grant, "lease-grant"},
             {platform_operation::lease_renew, "lease-renew"},
             {platform_operation::lease_revoke, "lease-revoke"},
             {platform_operation::watch, "watch"}}};
};

// The subsystem that made the call and gets the reply.
enum class platform_client : std::uint8_t
{
    membership,
    configuration,
    roster,
    intent,
    quarantine,
    departures
};

struct platform_call
{
    platform_client client = platform_client::membership;
    // Set by the client, unique within it, and repeated in the reply.
    std::uint64_t call_id = 0;
    platform_operation operation = platform_operation::get;
    std::string key;
    std::string value;
    // For a list: the last key of the previous page.
    std::string after;
    std::uint64_t expected_version = 0;
    std::uint64_t lease = 0;
    duration lease_time{};
    duration wait{};
    std::uint32_t limit = 100;
    // Without a reply after this time, the adapter reports `unavailable`.
    duration timeout = 2s;
};

enum class platform_status : std::uint8_t
{
    ok,
    not_found,
    // The version differed; the reply holds the current entry.
    conflict,
    lease_expired,
    // A watch requested changes older than the platform's history.
    history_lost,
    // The platform is down, slow or unreachable. A write may or may not have
    // taken effect.
    unavailable,
    rejected
};

template <>
struct enum_names<platform_status>
{
    static constexpr std::array<std::pair<platform_status, std::string_view>, 7>
        table{
            {{platform_status::ok, "ok"},
             {platform_status::not_found, "not-found"},
             {platform_status::conflict, "conflict"},
             {platform_status::lease_expired, "lease-expired"},
             {platform_status::history_lost, "history-lost"},
             {platform_status::unavailable, "unavailable"},
             {platform_status::rejected, "rejected"}}};
};

struct platform_entry
{
    std::string key;
    std::string value;
    // The platform's revision at the last write of this key. The revision grows
    // with every write to any key.
    std::uint64_t version = 0;
    // For a watch: the key was deleted and has no value.
    bool removed = false;
};

struct platform_reply
{
    platform_client client = platform_client::membership;
    std::uint64_t call_id = 0;
    platform_status status = platform_status::ok;
    // One entry for get and compare_and_swap, any number for list and watch.
    std::vector<platform_entry> entries;
    // The platform's revision at the time of the reply.
    std::uint64_t revision = 0;
    std::uint64_t lease = 0;
    // For a list: more keys follow the last one.
    bool has_more = false;
    // Grows each time that the platform returns from an older copy and gives
    // revisions out again; zero if it doesn't say.
    std::uint64_t era = 0;
};

// One call as an HTTP request.
struct platform_request
{
    std::string method;
    std::string target;
    std::string body;
};

struct platform_response
{
    unsigned status = 0;
    std::string body;
    // The value of platform_codec::era_header; zero without one.
    std::uint64_t era = 0;
};

// The encoding of the platform's calls over HTTP. The client encodes calls and
// decodes replies; the stand-in does the reverse.
struct platform_codec
{
    platform_request (*encode_call)(const platform_call&) = nullptr;
    absl::StatusOr<platform_reply> (*decode_reply)(
        const platform_call&, const platform_response&) = nullptr;
    absl::StatusOr<platform_call> (*decode_call)(const platform_request&) =
        nullptr;
    platform_response (*encode_reply)(
        const platform_call&, const platform_reply&) = nullptr;
    // The name of the header with the platform's era; empty if there is none.
    std::string era_header;
};

} // namespace cyclamenhold
