// The platform's key-value service, as the decisions see it: calls appended to
// the actions, and replies that come back as events. Any reply may be lost,
// also after the write took effect.
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
    // All keys that start with `key`, in order, from the one behind `after`.
    list,
    // Writes `value` when the key's version equals `expected_version`;
    // version 0 means "absent". `lease` ties the key to a lease.
    compare_and_swap,
    // Deletes the key when its version equals `expected_version`.
    compare_and_delete,
    lease_grant,
    lease_renew,
    lease_revoke,
    // Answers when any key that starts with `key` has a version above
    // `expected_version`, or after `wait` with nothing.
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

// Which subsystem made the call and gets the reply.
enum class platform_client : std::uint8_t
{
    membership,
    configuration,
    roster,
    intent
};

struct platform_call
{
    platform_client client = platform_client::membership;
    // Unique within the client, chosen by it, echoed in the reply.
    std::uint64_t call_id = 0;
    platform_operation operation = platform_operation::get;
    std::string key;
    std::string value;
    // Of a list: the last key of the page before.
    std::string after;
    std::uint64_t expected_version = 0;
    std::uint64_t lease = 0;
    duration lease_time{};
    duration wait{};
    std::uint32_t limit = 100;
    // The adapter reports `unavailable` when no answer came by then.
    duration timeout = 2s;
};

enum class platform_status : std::uint8_t
{
    ok,
    not_found,
    // The version differed; the reply holds the present entry.
    conflict,
    lease_expired,
    // A watch asked for changes that the platform no longer remembers.
    history_lost,
    // Down, slow or cut off. A write may or may not have taken effect.
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
    // The platform's revision that wrote it; grows with every write anywhere.
    std::uint64_t version = 0;
    // Of a watch: the key was deleted; there is no value.
    bool removed = false;
};

struct platform_reply
{
    platform_client client = platform_client::membership;
    std::uint64_t call_id = 0;
    platform_status status = platform_status::ok;
    // One entry for get and compare-and-swap, any number for list and watch.
    std::vector<platform_entry> entries;
    // The platform's revision when it answered.
    std::uint64_t revision = 0;
    std::uint64_t lease = 0;
    // Of a list: there are more keys behind the last one.
    bool has_more = false;
};

// One call as it goes over HTTP.
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
};

// How the platform spells its calls. The client and the stand-in speak the
// same protocol from its two ends.
struct platform_codec
{
    platform_request (*encode_call)(const platform_call&) = nullptr;
    absl::StatusOr<platform_reply> (*decode_reply)(
        const platform_call&, const platform_response&) = nullptr;
    absl::StatusOr<platform_call> (*decode_call)(const platform_request&) =
        nullptr;
    platform_response (*encode_reply)(
        const platform_call&, const platform_reply&) = nullptr;
};

} // namespace cyclamenhold
