// The platform's key-value service, as the decisions see it: calls appended to
// the actions, and replies that come back as events. Any reply may be lost,
// also after the write took effect.
#pragma once

#include "core/base/names.hpp"
#include "core/base/time.hpp"

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
    // All keys that start with `key`, in order, at most `limit`.
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
    // Down, slow or cut off. A write may or may not have taken effect.
    unavailable,
    rejected
};

template <>
struct enum_names<platform_status>
{
    static constexpr std::array<std::pair<platform_status, std::string_view>, 6>
        table{
            {{platform_status::ok, "ok"},
             {platform_status::not_found, "not-found"},
             {platform_status::conflict, "conflict"},
             {platform_status::lease_expired, "lease-expired"},
             {platform_status::unavailable, "unavailable"},
             {platform_status::rejected, "rejected"}}};
};

struct platform_entry
{
    std::string key;
    std::string value;
    // The platform's revision that wrote it; grows with every write anywhere.
    std::uint64_t version = 0;
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
};

} // namespace cyclamenhold
