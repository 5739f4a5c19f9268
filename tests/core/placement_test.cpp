// Requests that are limited to regions, and data centres that are evacuated, at
// the nodes where requests enter and where they run.
#include "core/gate/gate.hpp"
#include "core/intent/configuration_json.hpp"
#include "core/request/call.hpp"

#include <gtest/gtest.h>

#include <map>
#include <set>

namespace cyclamenhold
{
namespace
{

const time_point start_time{1000s};
constexpr const char* fleet_secret = "fleet secret of tests";

// Three data centres, each in a region of its own, with two upstreams each.
const std::map<std::string, std::string> regions{
    {"graz", "styria"}, {"linz", "upper"}, {"wien", "vienna"}};

route route_to_shop(
    const std::string& name, std::vector<std::string> limits, bool open = false)
{
    route entry;
    entry.name = name;
    entry.path_prefix = '/' + name + '/';
    entry.service = "shop";
    entry.open = open;
    entry.retry_allowance = 5;
    entry.regions = std::move(limits);
    return entry;
}

configuration regional_configuration()
{
    configuration current;
    current.revision = 1;
    current.workspaces.push_back({"free", 100.0, 100.0, true});
    current.workspaces.push_back({"bound", 100.0, 100.0, true});
    current.workspaces.back().regions = {"styria", "vienna"};
    for (const std::string name : {"free", "bound"})
    {
        current.keys.push_back(
            {"", name, digest_of_secret(fleet_secret, name), false});
    }
    current.routes = {
        route_to_shop("any", {}), route_to_shop("upper", {"upper"}),
        route_to_shop("two", {"upper", "styria"}),
        route_to_shop("nowhere", {"atlantis"}),
        route_to_shop("calls", {"vienna"}, true)};
    for (const auto& [name, region] : regions)
    {
        current.data_centres.push_back({name, region, 1.0});
    }
    return current;
}

// A node in Linz.
struct regional_node
{
    regional_node()
    {
        path.fleet_secret = fleet_secret;
        path.treats_keyless_as_calls = true;
        path.retries_node_refusals = true;
        path.tables.publish(std::make_unique<request_tables>(
            build_request_tables(regional_configuration())));
        publish({});
    }

    void publish(const std::vector<std::string>& evacuated)
    {
        placement_view placement;
        std::vector<upstream_location> locations;
        std::uint16_t number = 0;
        for (const auto& [name, region] : regions)
        {
            const auto data_centre = data_centre_id_of(name);
            placement.regions.emplace(data_centre, region_id_of(region));
            for (int i = 0; i < 2; ++i)
            {
                const auto host = make_host_id(0x0a000001, ++number);
                names.emplace(host, name);
                locations.push_back(
                    {host,
                     1,
                     data_centre,
                     {"shop", upstream_state::serving, 10, 100, 1}});
            }
        }
        for (const auto& name : evacuated)
        {
            placement.evacuated.push_back(data_centre_id_of(name));
        }
        std::ranges::sort(placement.evacuated);
        path.routing.publish(std::make_unique<routing_view>(build_routing_view(
            locations, data_centre_id_of("linz"), routing_view{}, placement)));
    }

    // The data centres to which a request is sent until all of its attempts are
    // used up, each of which fails before it runs.
    std::set<std::string>
    places(const std::string& route, const std::optional<std::string>& key)
    {
        std::set<std::string> found;
        for (int i = 0; i < 50; ++i)
        {
            call_state call;
            call.id = ++last_id;
            call_request request;
            request.method = "GET";
            request.target = '/' + route + "/1";
            request.key = key;
            auto step = begin_call(path, call, request, start_time, random);
            while (step.kind == call_step_kind::attempt)
            {
                found.insert(names.at(step.target.location.host));
                attempt_result result;
                result.status = attempt_status::refused;
                result.reason = refusal::overloaded;
                result.result = outcome::not_run;
                step = call_on_attempt(path, call, result, start_time, random);
            }
            last_reason = step.reason;
            last_outcome = step.result;
            last_inputs = step.inputs;
            end_call(path, call, start_time);
        }
        return found;
    }

    request_path path;
    random_source random{1};
    std::uint64_t last_id = 0;
    std::map<host_id, std::string> names;
    refusal last_reason = refusal::none;
    outcome last_outcome = outcome::unknown;
    std::string last_inputs;
};

using places = std::set<std::string>;

// A request with homes was sent wherever its service had upstreams (HOME).
TEST(placement, requests_stay_in_the_regions_of_route_and_workspace)
{
    regional_node node;
    {
        SCOPED_TRACE("without a limit they go anywhere, retries included");
        EXPECT_EQ(node.places("any", "free"), (places{"graz", "linz", "wien"}));
    }
    {
        SCOPED_TRACE("a limit of the route, also for its retries");
        EXPECT_EQ(node.places("upper", "free"), places{"linz"});
        EXPECT_EQ(node.places("two", "free"), (places{"graz", "linz"}));
    }
    {
        SCOPED_TRACE("a limit of the workspace");
        EXPECT_EQ(node.places("any", "bound"), (places{"graz", "wien"}));
    }
    {
        SCOPED_TRACE("both");
        EXPECT_EQ(node.places("two", "bound"), places{"graz"});
        EXPECT_EQ(node.places("upper", "bound"), places{});
        EXPECT_EQ(node.last_reason, refusal::no_upstream);
        EXPECT_EQ(node.last_outcome, outcome::not_run);
        EXPECT_NE(
            node.last_inputs.find("6 where the request may not run"),
            std::string::npos)
            << node.last_inputs;
    }
    {
        SCOPED_TRACE("calls of upstreams");
        EXPECT_EQ(node.places("calls", std::nullopt), places{"wien"});
    }
    {
        SCOPED_TRACE("a region without a data centre lets them run nowhere");
        EXPECT_EQ(node.places("nowhere", "free"), places{});
        EXPECT_EQ(node.last_reason, refusal::no_upstream);
    }
}

// Requests were sent on to a data centre that was to get none (EVAC).
TEST(placement, evacuated_data_centres_get_no_requests)
{
    regional_node node;
    {
        SCOPED_TRACE("the own one");
        node.publish({"linz"});
        EXPECT_EQ(node.places("any", "free"), (places{"graz", "wien"}));
    }
    {
        SCOPED_TRACE("two at once");
        node.publish({"linz", "wien"});
        EXPECT_EQ(node.places("any", "free"), places{"graz"});
        EXPECT_EQ(node.places("calls", std::nullopt), places{});
    }
    {
        SCOPED_TRACE("all that there are");
        node.publish({"linz", "wien", "graz"});
        EXPECT_EQ(node.places("any", "free"), places{});
        EXPECT_EQ(node.last_reason, refusal::no_upstream);
        EXPECT_EQ(node.last_outcome, outcome::not_run);
    }
    {
        SCOPED_TRACE("one that does not exist changes nothing");
        node.publish({"atlantis"});
        EXPECT_EQ(node.places("any", "free"), (places{"graz", "linz", "wien"}));
    }
}

// Senders that do not know of the evacuation yet.
TEST(placement, the_gate_of_an_evacuated_upstream)
{
    gate_state gate;
    (void)gate_set_upstream(
        gate, {"shop", upstream_state::serving, 1, 100, 1}, start_time);
    const auto offer = [&gate](gate_entry_id id)
    {
        gate_request request;
        request.entry_id = id;
        request.context.deadline = start_time + 5s;
        return gate_offer(gate, request, start_time);
    };
    ASSERT_EQ(offer(1).front().reason, refusal::none);
    ASSERT_TRUE(offer(2).empty());
    {
        SCOPED_TRACE("what waits is refused, what runs goes on");
        const auto decisions = gate_set_evacuated(gate, true, start_time);
        ASSERT_EQ(decisions.size(), 1U);
        EXPECT_EQ(decisions.front().entry_id, 2U);
        EXPECT_EQ(decisions.front().reason, refusal::evacuated);
        EXPECT_EQ(gate.running.size(), 1U);
        EXPECT_EQ(http_status_of(refusal::evacuated, outcome::not_run), 503U);
    }
    {
        SCOPED_TRACE("new requests are refused, also after a new announcement");
        EXPECT_EQ(offer(3).front().reason, refusal::evacuated);
        (void)gate_set_upstream(
            gate, {"shop", upstream_state::serving, 2, 100, 2}, start_time);
        EXPECT_EQ(offer(4).front().reason, refusal::evacuated);
    }
    {
        SCOPED_TRACE("afterwards they start");
        (void)gate_set_evacuated(gate, false, start_time);
        EXPECT_EQ(offer(5).front().reason, refusal::none);
    }
}

TEST(placement, configurations_with_regions)
{
    configuration current = regional_configuration();
    // Opaque keys are in no configuration of this form.
    current.keys.clear();
    {
        SCOPED_TRACE("are the same after they were written and read");
        findings found;
        const auto read = parse_configuration(to_json(current), found);
        ASSERT_TRUE(read) << to_string(found);
        EXPECT_EQ(read->routes[2].regions, current.routes[2].regions);
        EXPECT_EQ(read->workspaces[1].regions, current.workspaces[1].regions);
    }
    {
        SCOPED_TRACE("report a region without a data centre");
        const auto found = find_unknown_regions(current);
        ASSERT_EQ(found.size(), 1U);
        EXPECT_NE(to_string(found).find("atlantis"), std::string::npos);
        EXPECT_NE(to_string(found).find("nowhere"), std::string::npos);
    }
}

} // namespace
} // namespace cyclamenhold
