// The operators' configuration at one revision.
#pragma once

#include "core/base/ids.hpp"
#include "core/base/outcome.hpp"
#include "core/base/time.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenhold
{

struct workspace
{
    std::string name;
    // Requests a second over the whole fleet.
    double rate = 0.0;
    // Requests that may be admitted at once, over the whole fleet.
    double burst = 0.0;
    bool operator==(const workspace&) const = default;
};

// HMAC-SHA256 of a key's secret under the fleet secret.
using key_digest = std::array<std::uint8_t, 32>;

struct workspace_key
{
    // The public half: "cyk_<id>_<secret>".
    std::string id;
    std::string workspace;
    key_digest digest{};
    bool withdrawn = false;
    bool operator==(const workspace_key&) const = default;
};

struct route
{
    std::string name;
    // Empty for any method.
    std::string method;
    // The longest matching prefix wins.
    std::string path_prefix;
    std::string service;
    priority_class priority = priority_class::normal;
    // Runs without a key.
    bool open = false;
    // The request must reach an upstream at most once.
    bool never_repeat = false;
    std::uint16_t retry_allowance = 2;
    std::chrono::milliseconds deadline{5000};
    bool operator==(const route&) const = default;
};

struct data_centre
{
    std::string name;
    std::string region;
    // The share of all rates, relative to the other data centres' weights.
    double weight = 1.0;
    bool operator==(const data_centre&) const = default;
};

struct configuration
{
    // Grows by one with each accepted change; 0 is the empty configuration.
    std::uint64_t revision = 0;
    std::vector<workspace> workspaces;
    std::vector<workspace_key> keys;
    std::vector<route> routes;
    std::vector<data_centre> data_centres;
    bool operator==(const configuration&) const = default;
};

} // namespace cyclamenhold
