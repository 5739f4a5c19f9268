// A node that reads its configuration as one document, without its adapters:
// the test answers its calls to the platform.
#pragma once

#include "core/configuration/document_source.hpp"

#include <optional>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace cyclamenhold
{

// Parses "version VERSION", or "version VERSION FINDINGS" for a document with
// this number of findings; anything else is an error.
inline absl::StatusOr<configuration>
read_version(std::string_view text, std::string_view /*fleet_secret*/)
{
    constexpr std::string_view prefix = "version ";
    if (!text.starts_with(prefix))
    {
        return absl::InvalidArgumentError("no version");
    }
    configuration read;
    std::istringstream numbers{std::string(text.substr(prefix.size()))};
    std::size_t found = 0;
    numbers >> read.revision >> found;
    for (std::size_t i = 0; i < found; ++i)
    {
        add_finding(read.unreadable, "/" + std::to_string(i), "is odd");
    }
    return read;
}

struct document_fixture
{
    document_fixture()
    {
        state.settings.key = "document";
        state.settings.read = &read_version;
        state.settings.watch_time = 2s;
        document_start(state, chain, now);
    }

    // Ticks; returns the call that the node has made, if any.
    std::optional<platform_call> next_call()
    {
        document_tick(state, chain, members, now, random, actions);
        if (actions.platform_calls.empty())
        {
            return std::nullopt;
        }
        const auto call = actions.platform_calls.back();
        actions.platform_calls.clear();
        return call;
    }

    void answer(
        const platform_call& call, platform_status status,
        std::vector<platform_entry> entries = {}, std::uint64_t revision = 0,
        std::uint64_t era = 0)
    {
        platform_reply reply;
        reply.client = call.client;
        reply.call_id = call.call_id;
        reply.status = status;
        reply.entries = std::move(entries);
        reply.revision = revision;
        reply.era = era;
        document_on_platform_reply(
            state, chain, members, reply, now, random, actions);
    }

    document_state state;
    chain_state chain;
    membership_state members;
    time_point now{100s};
    random_source random{1};
    control_actions actions;
};

} // namespace cyclamenhold
