#include "adapters/node_runtime.hpp"

#include "adapters/clock.hpp"
#include "adapters/decision_log.hpp"
#include "core/events/event_json.hpp"

#include <absl/strings/str_format.h>
#include <boost/json.hpp>

#include <cmath>
#include <future>

namespace cyclamenhold
{

using tcp_acceptor = asio::ip::tcp::acceptor;

// The time for the announcement of a planned stop to reach peers and callers
// before new work is refused.
constexpr auto leave_propagation_time = std::chrono::milliseconds(1'500);
constexpr auto stop_poll_interval = std::chrono::milliseconds(50);
// From the deadline of the last request to the end of a planned stop: the time
// in which its reply is written.
constexpr auto last_reply_time = std::chrono::milliseconds(100);
// Between two checks of the gate's queue, and of an empty one.
constexpr auto gate_tick_interval = std::chrono::milliseconds(10);
constexpr auto idle_gate_tick_interval = std::chrono::milliseconds(50);

struct node_runtime
{
    node_runtime(
        const node_settings& initial, json_log sink, std::uint64_t seed)
        : settings(initial),
          log(std::move(sink)),
          gate(services),
          control(services, gate, wakeups, seed)
    {
        decisions.max_lines_per_second = settings.log.decisions_per_second;
        control.max_key_staleness = max_key_staleness_of(settings);
    }

    node_settings settings;
    json_log log;
    bound_ports ports;
    metrics node_metrics;
    std::unique_ptr<shared_event_ring> events;
    node_services services;
    call_wakeups wakeups;
    control_port control_side;
    upstream_port upstream_side;
    local_gate gate;
    control_loop control;
    operators_api operators;
    std::vector<std::unique_ptr<request_thread>> threads;
    std::unique_ptr<tcp_acceptor> callers_acceptor;
    std::unique_ptr<tcp_acceptor> upstream_acceptor;
    std::unique_ptr<tcp_acceptor> peers_acceptor;
    std::unique_ptr<tcp_acceptor> operators_acceptor;
    // Null if the settings name no readiness endpoint.
    std::unique_ptr<tcp_acceptor> ready_acceptor;
    decision_log decisions;
    std::vector<std::thread> running;
    std::atomic<std::size_t> next_thread{0};
    std::atomic<std::size_t> sessions{0};
    std::atomic<bool> drain_requested{false};
};

namespace
{

asio::ip::tcp::endpoint tcp_endpoint_of(const ip_endpoint& endpoint)
{
    return {asio::ip::address_v4(endpoint.address), endpoint.port};
}

ip_endpoint bound_endpoint(const tcp_acceptor& acceptor)
{
    const auto local = acceptor.local_endpoint();
    return {local.address().to_v4().to_uint(), local.port()};
}

std::unique_ptr<tcp_acceptor>
open_acceptor(asio::io_context& io, const ip_endpoint& endpoint)
{
    // Throws system_error, whose text start_node returns.
    return std::make_unique<tcp_acceptor>(io, tcp_endpoint_of(endpoint), true);
}

// Binds the UDP port for peers, which has the number of their TCP port.
asio::ip::udp::socket open_datagrams(node_runtime& node)
{
    const asio::ip::udp::endpoint local(
        asio::ip::address_v4(node.ports.peers.address), node.ports.peers.port);
    return asio::ip::udp::socket(node.control.io, local);
}

void bind_ports(node_runtime& node)
{
    auto& first_io = node.threads.front()->io;
    const auto& listen = node.settings.listen;
    node.callers_acceptor = open_acceptor(first_io, listen.callers);
    node.upstream_acceptor = open_acceptor(first_io, listen.upstream);
    node.peers_acceptor = open_acceptor(first_io, listen.peers);
    node.operators_acceptor = open_acceptor(node.control.io, listen.operators);
    if (listen.ready)
    {
        node.ready_acceptor = open_acceptor(node.control.io, *listen.ready);
    }
    node.ports.callers = bound_endpoint(*node.callers_acceptor);
    node.ports.upstream = bound_endpoint(*node.upstream_acceptor);
    node.ports.peers = bound_endpoint(*node.peers_acceptor);
    node.ports.operators = bound_endpoint(*node.operators_acceptor);
}

request_thread& next_thread(node_runtime& node)
{
    return *node.threads[node.next_thread++ % node.threads.size()];
}

// Accepts connections on `acceptor`. Passes each socket, bound to the request
// thread that serves it, to `serve`.
template <class Serve>
asio::awaitable<void>
accept_loop(node_runtime* node, tcp_acceptor* acceptor, Serve serve)
{
    while (acceptor->is_open())
    {
        request_thread& thread = next_thread(*node);
        auto [error, socket] = co_await acceptor->async_accept(
            thread.io, asio::as_tuple(asio::use_awaitable));
        if (error == asio::error::operation_aborted)
        {
            co_return;
        }
        if (!error)
        {
            serve(thread, std::move(socket));
        }
    }
}

asio::awaitable<void> run_session(
    node_runtime* node, std::shared_ptr<caller_connection> caller,
    session_settings settings)
{
    ++node->sessions;
    change(node->node_metrics, gauge_id::caller_connections, 1);
    co_await serve_caller(std::move(caller), settings);
    change(node->node_metrics, gauge_id::caller_connections, -1);
    --node->sessions;
}

void serve_side(node_runtime& node, tcp_acceptor& acceptor, session_side side)
{
    const auto serve =
        [&node, side](request_thread& thread, asio::ip::tcp::socket socket)
    {
        if (node.sessions >= node.services.limits.max_connections)
        {
            // Closed without an answer, which would need a session.
            return;
        }
        auto caller =
            std::make_shared<caller_connection>(thread, std::move(socket));
        asio::co_spawn(
            thread.io,
            run_session(&node, std::move(caller), {side, &node.upstream_side}),
            asio::detached);
    };
    asio::co_spawn(
        acceptor.get_executor(), accept_loop(&node, &acceptor, serve),
        asio::detached);
}

void serve_peers(node_runtime& node)
{
    const auto serve = [](request_thread& thread, asio::ip::tcp::socket socket)
    {
        asio::post(
            thread.io,
            [&thread,
             moved = std::make_shared<asio::ip::tcp::socket>(std::move(socket))]
            {
                accept_peer(thread.links, std::move(*moved));
            });
    };
    asio::co_spawn(
        node.peers_acceptor->get_executor(),
        accept_loop(&node, node.peers_acceptor.get(), serve), asio::detached);
}

asio::awaitable<void> tick_gate_regularly(node_runtime* node)
{
    asio::steady_timer timer(node->threads.front()->io);
    while (true)
    {
        timer.expires_after(
            has_waiting_requests(node->gate) ? gate_tick_interval
                                             : idle_gate_tick_interval);
        co_await timer.async_wait(asio::use_awaitable);
        tick_gate(node->gate);
    }
}

http_limits limits_of(const limit_settings& settings)
{
    return {settings.max_header_bytes,   settings.max_body_bytes,
            settings.header_timeout,     settings.idle_timeout,
            settings.body_stall_timeout, settings.max_connections};
}

control_settings control_settings_of(const node_runtime& node)
{
    control_settings settings;
    const data_centre_id data_centre =
        data_centre_id_of(node.settings.data_centre);
    auto& membership = settings.membership;
    membership.self = node.services.self;
    membership.data_centre = data_centre;
    membership.data_centre_name = node.settings.data_centre;
    for (const auto& seed : node.settings.seeds)
    {
        membership.seeds.push_back(host_id_of(seed));
    }
    membership.probe_interval = node.settings.membership.probe_interval;
    membership.probe_timeout = node.settings.membership.probe_timeout;
    membership.suspicion_time = node.settings.membership.suspicion_time;
    membership.indirect_probes = node.settings.membership.indirect_probes;
    settings.chain = {node.services.self, data_centre};
    const protocol_profile& profile = node.services.profile;
    settings.records_departures = profile.parse_upstream_message != nullptr;
    if (profile.read_document != nullptr)
    {
        settings.document.key = profile.document_key;
        settings.document.read = profile.read_document;
        settings.document.fleet_secret = node.services.fleet_secret;
        if (node.settings.watches_evacuations != 0)
        {
            settings.document.evacuation_prefix = profile.evacuation_prefix;
            settings.document.operator_prefix = profile.operator_prefix;
        }
        const auto& regions = node.settings.data_centre_regions;
        for (std::size_t i = 0; i < node.settings.data_centres.size(); ++i)
        {
            settings.document.data_centres.push_back(
                {node.settings.data_centres[i],
                 i < regions.size() ? regions[i] : "", 1.0});
        }
    }
    settings.trees.is_enabled = node.settings.overload.has_tree_budgets != 0;
    settings.trees.self = node.services.self;
    settings.trees.data_centre = data_centre;
    settings.rates.self = node.services.self;
    settings.rates.data_centre = data_centre;
    settings.rates.term = node.settings.rates.term;
    settings.rates.sharing = node.settings.rates.sharing;
    settings.rates.window = from_seconds(node.settings.rates.window_seconds);
    settings.rates.overage = node.settings.rates.overage;
    settings.rates.slack = node.settings.rates.slack;
    settings.claims.self = node.services.self;
    settings.claims.data_centre = data_centre;
    settings.claims.retention = node.settings.claims.retention;
    settings.claims.claim_term = node.settings.claims.term;
    return settings;
}

// Sets the callbacks through which the parts call each other across threads.
void connect_callbacks(node_runtime& node)
{
    node.services.record = [&node](const event& new_event)
    {
        node.events->record(new_event);
        log_decision(node.decisions, node.log, new_event);
    };
    node.services.stamp_send = [&node]
    {
        return node.events->stamp_send();
    };
    node.services.record_receive = [&node](hybrid_time remote)
    {
        node.events->record_receive(remote);
    };
    node.services.run_local = [&node](const exchange_ptr& work)
    {
        run_at_gate(node.gate, work);
    };
    node.services.on_control_message =
        [&node](
            host_id from, message_kind kind, std::vector<std::uint8_t> payload)
    {
        post_control_message(node.control, from, kind, std::move(payload));
    };
    node.services.on_peer_silent = [&node](host_id peer)
    {
        const auto view = node.services.path.routing.read();
        if (!record_host_unreachable(*view, peer, now()))
        {
            return;
        }
        event new_event;
        new_event.kind = event_kind::peer_silent;
        new_event.peer = peer;
        new_event.detail = absl::StrFormat(
            "no heartbeat for %d ms: new requests avoid this peer",
            to_milliseconds(peer_avoidance_timeout));
        node.services.record(new_event);
    };
    node.control_side.request_claim = [&node](const claim_request& request)
    {
        post_claim_request(node.control, request);
    };
    node.control_side.complete_claim =
        [&node](const claim_completion& completion)
    {
        post_claim_completion(node.control, completion);
    };
    node.control_side.issue_ticket =
        [&node](std::function<void(std::string)> callback)
    {
        post_ticket_request(node.control, std::move(callback));
    };
    node.gate.check_claim =
        [&node](const claim_grant& grant, std::function<void(bool)> callback)
    {
        post_claim_check(node.control, grant, std::move(callback));
    };
    node.gate.on_crash = [&node](const std::vector<std::uint64_t>& digests)
    {
        post_upstream_crash(node.control, digests);
    };
    node.gate.on_suspect_success = [&node](std::uint64_t digest)
    {
        post_suspect_success(node.control, digest);
    };
    node.gate.on_leaving = [&node](std::uint64_t incarnation)
    {
        post_upstream_leaving(node.control, incarnation);
    };
    node.gate.on_cold = [&node](std::uint64_t incarnation, duration remaining)
    {
        post_upstream_cold(node.control, incarnation, remaining);
    };
    node.upstream_side.announce =
        [&node](const upstream_announcement& announcement)
    {
        post_announcement(node.control, announcement);
    };
    node.upstream_side.drain = [&node](const upstream_departure&)
    {
        post_upstream_drain(node.control);
    };
    node.upstream_side.leave = [&node](const upstream_departure& departure)
    {
        post_upstream_leave(node.control, departure);
    };
}

operator_reply events_reply(node_runtime& node, const std::string& target)
{
    const auto [query, findings] = read_event_query(target);
    if (findings.empty())
    {
        return {
            200, "application/json",
            write_event_page(node.events->page(query))};
    }
    boost::json::array list;
    for (const auto& [place, message] : findings)
    {
        list.push_back(
            boost::json::object{{"place", place}, {"message", message}});
    }
    return {
        422, "application/json",
        boost::json::serialize(boost::json::object{{"findings", list}})};
}

std::string metrics_text(node_runtime& node)
{
    update_resident_bytes(node.node_metrics);
    const load_report load = report_of(node.gate);
    set(node.node_metrics, gauge_id::gate_queue, load.queued);
    set(node.node_metrics, gauge_id::gate_limit, load.limit);
    set(node.node_metrics, gauge_id::gate_in_flight, load.in_flight);
    set(node.node_metrics, gauge_id::upstream_cold_rate,
        std::lround(cold_rate_of(node.gate).value_or(0.0)));
    set(node.node_metrics, gauge_id::configuration_revision,
        static_cast<std::int64_t>(node.control.state.chain.current->revision));
    set(node.node_metrics, gauge_id::platform_reachable,
        node.control.platform_reachable ? 1 : 0);
    return to_prometheus_text(node.node_metrics);
}

// A node is ready while it has a configuration and is not draining.
bool is_ready(const node_runtime& node)
{
    return !node.services.path.draining &&
           node.services.path.tables.read()->revision != 0;
}

void prepare_operators(node_runtime& node, const std::string& credential)
{
    node.operators.control = &node.control;
    node.operators.credential = credential;
    node.operators.node_name = node.settings.name;
    node.operators.metrics = [&node]
    {
        return metrics_text(node);
    };
    node.operators.events = [&node](const std::string& target)
    {
        return events_reply(node, target);
    };
    node.operators.ready = [&node]
    {
        return is_ready(node);
    };
    node.operators.has_open_metrics =
        node.settings.interface == interface_kind::platform;
    node.operators.drain = [&node]
    {
        node.drain_requested = true;
    };
}

void start_serving(node_runtime& node)
{
    serve_side(node, *node.callers_acceptor, session_side::callers);
    serve_side(node, *node.upstream_acceptor, session_side::upstream);
    serve_peers(node);
    asio::co_spawn(
        node.control.io,
        serve_operators(node.operators, *node.operators_acceptor),
        asio::detached);
    if (node.ready_acceptor)
    {
        asio::co_spawn(
            node.control.io,
            serve_operators(node.operators, *node.ready_acceptor),
            asio::detached);
    }
    asio::co_spawn(
        node.threads.front()->io, tick_gate_regularly(&node), asio::detached);
    node.running.emplace_back(
        [&node]
        {
            node.control.io.run();
        });
    for (const auto& thread : node.threads)
    {
        node.running.emplace_back(
            [&io = thread->io]
            {
                // Keeps the thread running while it has no connections.
                const auto work = asio::make_work_guard(io);
                io.run();
            });
    }
}

void record_lifecycle(node_runtime& node, event_kind kind, std::string detail)
{
    event new_event;
    new_event.kind = kind;
    new_event.detail = detail;
    node.services.record(new_event);
    write_log(
        node.log, log_level::info, std::string(name_of(kind)),
        {{"detail", detail}, {"host", to_string(node.services.self)}});
}

// The streams on the peer links of a thread, counted on that thread.
std::size_t count_open_streams(request_thread& thread)
{
    std::promise<std::size_t> count;
    asio::post(
        thread.io,
        [&]
        {
            count.set_value(open_streams(thread.links));
        });
    return count.get_future().get();
}

std::size_t count_open_requests(node_runtime& node)
{
    std::size_t left = count_requests(node.gate) + node.sessions;
    for (const auto& thread : node.threads)
    {
        left += count_open_streams(*thread);
    }
    return left;
}

// Waits until no request is under way, `until` is reached or `abort_requests`
// is set. Returns the number of requests left.
std::size_t wait_until_drained(
    node_runtime& node, const std::atomic<bool>& abort_requests,
    time_point until)
{
    std::size_t left = count_open_requests(node);
    while (left > 0 && !abort_requests && now() < until)
    {
        std::this_thread::sleep_for(stop_poll_interval);
        left = count_open_requests(node);
    }
    return left;
}

void wait_unless_aborted(const std::atomic<bool>& abort_requests, duration time)
{
    const time_point until = now() + time;
    while (!abort_requests && now() < until)
    {
        std::this_thread::sleep_for(stop_poll_interval);
    }
}

void close_acceptors(node_runtime& node)
{
    boost::system::error_code ignored;
    for (auto* acceptor :
         {&node.callers_acceptor, &node.upstream_acceptor, &node.peers_acceptor,
          &node.operators_acceptor, &node.ready_acceptor})
    {
        if (*acceptor)
        {
            (*acceptor)->close(ignored);
        }
    }
}

// Closes all connections and runs their coroutines to the end while their
// contexts still exist. To be called after the threads have stopped.
void release_connections(node_runtime& node)
{
    close_acceptors(node);
    close_all(node.control.links);
    for (const auto& thread : node.threads)
    {
        close_all(thread->links);
        for (const auto& caller : thread->idle)
        {
            caller->stream.close();
        }
    }
    constexpr int poll_rounds = 10;
    for (int round = 0; round < poll_rounds; ++round)
    {
        for (const auto& thread : node.threads)
        {
            thread->io.restart();
            thread->io.poll();
        }
        node.control.io.restart();
        node.control.io.poll();
    }
    node.gate.pool.idle.clear();
    node.gate.waiting.clear();
    node.wakeups.waiting.clear();
}

void stop_threads(node_runtime& node)
{
    for (const auto& thread : node.threads)
    {
        thread->io.stop();
    }
    node.control.io.stop();
    for (auto& thread : node.running)
    {
        thread.join();
    }
    node.running.clear();
    release_connections(node);
}

} // namespace

absl::StatusOr<std::shared_ptr<node_runtime>> start_node(
    const node_settings& settings, const node_secrets& secrets,
    const protocol_profile& profile, const json_log& log)
{
    const std::uint64_t started_ms = wall_clock_ms();
    auto node = std::make_shared<node_runtime>(settings, log, started_ms);
    node->services.fleet_secret = secrets.fleet_secret;
    node->services.path.fleet_secret = secrets.fleet_secret;
    node->services.self_incarnation = started_ms;
    node->services.limits = limits_of(settings.limits);
    node->services.profile = profile;
    node->services.local_service = settings.service;
    node->services.path.treats_keyless_as_calls =
        profile.headers.call_handle.empty();
    node->services.path.retries_node_refusals =
        node->services.path.treats_keyless_as_calls;
    node->gate.gate.settings = {
        settings.upstream.has_exact_slots != 0,
        settings.upstream.reserved_for_calls / 100.0,
        settings.upstream.has_exact_slots != 0,
        {settings.upstream.cold_overage, settings.upstream.cold_slack}};
    node->services.path.trees.is_enabled =
        settings.overload.has_tree_budgets != 0;
    node->services.path.tree_budget.is_enabled =
        node->services.path.trees.is_enabled;
    node->control.state.observer = &node->services.path.trees;
    node->control.state.tree_budget = &node->services.path.tree_budget;
    node->control.fleet_retry_slack = settings.retries.fleet_slack;
    node->control.has_cold_bounds = settings.upstream.cold_overage > 1.0 ||
                                    settings.upstream.cold_slack > 0.0;
    node->services.path.limiter.longest_wait = settings.rates.longest_wait;
    node->services.path.limiter.has_loans =
        settings.rates.sharing == rate_sharing::by_pledge;
    for (unsigned i = 0; i < settings.request_threads; ++i)
    {
        node->threads.push_back(std::make_unique<request_thread>(
            node->services, node->gate, node->wakeups, node->control_side,
            started_ms + i + 1));
    }
    try
    {
        bind_ports(*node);
        const ip_endpoint advertised =
            settings.advertise.value_or(node->ports.peers);
        node->services.self = host_id_of(advertised);
        node->services.path.self = node->services.self;
        node->events = std::make_unique<shared_event_ring>(
            node->services.self, settings.name, settings.event_ring_size);
        connect_callbacks(*node);
        prepare_operators(*node, secrets.operator_credential);
        platform_connection_settings platform;
        platform.endpoint = tcp_endpoint_of(settings.platform);
        platform.seed = started_ms;
        platform.codec = profile.store;
        start_control(
            node->control, control_settings_of(*node), open_datagrams(*node),
            platform);
    }
    catch (const boost::system::system_error& error)
    {
        return absl::UnavailableError(error.what());
    }
    start_serving(*node);
    record_lifecycle(*node, event_kind::node_started, settings.name);
    return node;
}

bound_ports ports_of(const node_runtime& node)
{
    return node.ports;
}

void reload_node(node_runtime& node, const settings_result& result)
{
    const auto& [next, findings] = result;
    if (!findings.empty())
    {
        write_log(
            node.log, log_level::error, "settings-rejected",
            {{"detail", to_string(findings)}});
        return;
    }
    node.settings.stop_timeout = next.stop_timeout;
    node.settings.stop_grace_seconds = next.stop_grace_seconds;
    node.settings.log = next.log;
    {
        const std::scoped_lock lock(node.decisions.mutex);
        node.decisions.max_lines_per_second = next.log.decisions_per_second;
    }
    asio::post(
        node.control.io,
        [&node, staleness = max_key_staleness_of(next)]
        {
            node.control.max_key_staleness = staleness;
        });
    const bool needs_restart = next.name != node.settings.name ||
                               next.listen != node.settings.listen ||
                               next.platform != node.settings.platform ||
                               next.data_centre != node.settings.data_centre;
    write_log(
        node.log, log_level::info, "settings-reloaded",
        {{"detail", needs_restart
                        ? "name, addresses and data centre need a restart"
                        : "in force"}});
}

bool stop_requested(const node_runtime& node)
{
    return node.drain_requested;
}

stop_report
stop_node(node_runtime& node, const std::atomic<bool>& abort_requests)
{
    record_lifecycle(node, event_kind::node_stopping, node.settings.name);
    const time_point start = now();
    const time_point until = start + stop_timeout_of(node.settings);
    // Callers are still served, but each reply closes its connection, so that
    // the next one is opened to another node.
    node.services.path.draining = true;
    post_leave(node.control);
    wait_unless_aborted(abort_requests, leave_propagation_time);
    for (const auto& thread : node.threads)
    {
        asio::post(
            thread->io,
            [&thread = *thread]
            {
                announce_going_away(thread.links);
                for (const auto& caller : thread.idle)
                {
                    close_if_idle(*caller);
                }
            });
    }
    // The port for callers stays open until the end: a refusal gives them a
    // reason, a closed port does not.
    std::size_t left = wait_until_drained(
        node, abort_requests, start + acceptance_time_of(node.settings));
    // Callers that have not been redirected by now get answers to what ends in
    // time.
    node.services.path.latest_deadline =
        (until - last_reply_time).time_since_epoch().count();
    left = wait_until_drained(node, abort_requests, until);
    record_lifecycle(
        node, event_kind::node_stopped,
        std::to_string(left) + " requests unfinished");
    stop_threads(node);
    return {left};
}

} // namespace cyclamenhold
