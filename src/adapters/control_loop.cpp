#include "adapters/control_loop.hpp"

#include "adapters/clock.hpp"

#include <absl/strings/str_format.h>

#include <algorithm>

#include <ctime>

namespace cyclamenhold
{
namespace
{

void execute_actions(control_loop& loop, control_actions actions);

// Processor time that this thread has used.
std::uint64_t thread_time_us()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<std::uint64_t>(time.tv_sec) * 1'000'000 +
           static_cast<std::uint64_t>(time.tv_nsec) / 1'000;
}

placement_view placement_of(const control_state& state)
{
    placement_view view{state.evacuated, {}};
    for (const auto& entry : state.chain.current->data_centres)
    {
        view.regions.emplace(
            data_centre_id_of(entry.name), region_id_of(entry.region));
    }
    return view;
}

void publish_upstream(
    control_loop& loop, const std::optional<upstream_record>& record);

// Applies the start or the end of this data centre's evacuation at the gate. An
// upstream that had no requests for some time may be cold.
void publish_evacuation(control_loop& loop)
{
    const data_centre_id here = loop.state.membership.settings.data_centre;
    const bool was_evacuated =
        std::ranges::binary_search(loop.published_evacuated, here);
    const bool is_evacuated =
        std::ranges::binary_search(loop.state.evacuated, here);
    loop.published_evacuated = loop.state.evacuated;
    if (was_evacuated == is_evacuated)
    {
        return;
    }
    if (!is_evacuated && loop.has_cold_bounds)
    {
        publish_upstream(loop, suspect_cold(loop.upstream, now()));
    }
    set_evacuated(loop.gate, is_evacuated);
}

void publish_members(control_loop& loop)
{
    const bool is_published =
        loop.state.membership.version == loop.published_members &&
        loop.state.evacuated == loop.published_evacuated &&
        loop.state.chain.current == loop.routed_configuration;
    if (is_published)
    {
        return;
    }
    loop.published_members = loop.state.membership.version;
    loop.routed_configuration = loop.state.chain.current;
    const auto locations = membership_upstreams(loop.state.membership);
    std::unique_ptr<const routing_view> next;
    {
        const auto previous = loop.services.path.routing.read();
        next = std::make_unique<const routing_view>(build_routing_view(
            locations, loop.state.membership.settings.data_centre, *previous,
            placement_of(loop.state)));
    }
    loop.services.path.routing.publish(std::move(next));
    publish_evacuation(loop);
    if (loop.fleet_retry_slack > 0)
    {
        // Half of it, because the nested calls of a retried request may be
        // retried as well.
        const double hosts =
            static_cast<double>(loop.state.membership.members.size()) + 1.0;
        set_max_service_tokens(
            loop.services.path.retries,
            std::max(1.0, loop.fleet_retry_slack / 2.0 / hosts));
    }
}

void publish_configuration(control_loop& loop)
{
    const auto& current = loop.state.chain.current;
    const bool may_publish =
        current->revision == 0 || control_may_serve(loop.state, now());
    if (current == loop.published_configuration || !may_publish)
    {
        return;
    }
    loop.published_configuration = loop.state.chain.current;
    loop.services.path.tables.publish(std::make_unique<const request_tables>(
        build_request_tables(*loop.published_configuration)));
}

// Publishes the time at which keys become stale unless the configuration is
// confirmed again before. Records an event when keys become stale or fresh.
void publish_key_freshness(control_loop& loop)
{
    if (loop.max_key_staleness == duration::zero())
    {
        return;
    }
    const time_point confirmed =
        configuration_confirmed_at(loop.state.chain, loop.state.membership);
    const bool is_older_than_suspension =
        confirmed.time_since_epoch().count() <=
        loop.services.path.resumed_at.load(std::memory_order_relaxed);
    const time_point until = is_older_than_suspension
                                 ? time_point{}
                                 : confirmed + loop.max_key_staleness;
    loop.services.path.keys_fresh_until.store(
        until.time_since_epoch().count(), std::memory_order_relaxed);
    const bool are_fresh = now() < until;
    if (are_fresh != loop.are_keys_fresh)
    {
        loop.are_keys_fresh = are_fresh;
        event new_event;
        new_event.kind = are_fresh ? event_kind::platform_available
                                   : event_kind::platform_unavailable;
        new_event.detail = are_fresh
                               ? "keys are accepted again"
                               : "keys are refused: the configuration was not "
                                 "confirmed in time";
        loop.services.record(new_event);
    }
}

void publish_quarantine(control_loop& loop)
{
    if (loop.state.quarantine.version == loop.published_quarantine)
    {
        return;
    }
    loop.published_quarantine = loop.state.quarantine.version;
    loop.services.path.quarantine.publish(
        std::make_unique<const quarantine_view>(
            build_quarantine_view(loop.state.quarantine)));
}

void arm_timer(control_loop& loop);

void resume_waiting_calls(control_loop& loop)
{
    const auto results = settle_waiters(loop.services.path.limiter, now());
    for (const token_waiter waiter : results.admitted)
    {
        call_wakeup wakeup;
        wakeup.admitted = true;
        wake_call(loop.wakeups, waiter, wakeup);
    }
    for (const token_waiter waiter : results.expired)
    {
        wake_call(loop.wakeups, waiter, {});
    }
    for (auto& answer : std::exchange(loop.state.claims.answers, {}))
    {
        call_wakeup wakeup;
        wakeup.answer = answer;
        wake_call(loop.wakeups, answer.token, wakeup);
    }
    if (!std::exchange(loop.has_waiting_calls, results.waiting > 0) &&
        loop.has_waiting_calls)
    {
        arm_timer(loop);
    }
}

void finish_commits(control_loop& loop)
{
    for (const auto& result : std::exchange(loop.state.chain.results, {}))
    {
        if (auto entry = loop.commits.extract(result.token))
        {
            entry.mapped()(result);
        }
    }
}

// Runs one event of the control core, executes its actions and publishes the
// state that it changed.
template <class Handler>
void run_control_event(control_loop& loop, const Handler& handler)
{
    const std::uint64_t before = thread_time_us();
    control_actions actions;
    handler(actions);
    execute_actions(loop, std::move(actions));
    publish_members(loop);
    // Before the configuration, with which this node begins to run requests.
    publish_quarantine(loop);
    publish_configuration(loop);
    publish_key_freshness(loop);
    resume_waiting_calls(loop);
    finish_commits(loop);
    loop.busy_us += thread_time_us() - before;
}

void on_platform_reply(control_loop& loop, const platform_reply& reply)
{
    const bool is_reachable = reply.status != platform_status::unavailable;
    if (is_reachable != loop.platform_reachable)
    {
        loop.platform_reachable = is_reachable;
        event new_event;
        new_event.kind = is_reachable ? event_kind::platform_available
                                      : event_kind::platform_unavailable;
        loop.services.record(new_event);
    }
    run_control_event(
        loop,
        [&](control_actions& actions)
        {
            control_on_platform_reply(
                loop.state, reply, now(), loop.random, actions);
        });
}

void clear_suspect(control_loop& loop, std::uint64_t digest)
{
    run_control_event(
        loop,
        [&](control_actions& actions)
        {
            quarantine_on_success(
                loop.state.quarantine, loop.state.membership, digest, now(),
                loop.random, actions);
        });
}

// Clears suspects that other nodes have reported and of which the local
// upstream has just completed others.
void clear_suspects_with_successes(control_loop& loop)
{
    for (const auto digest :
         build_quarantine_view(loop.state.quarantine).suspects)
    {
        if (has_succeeded(loop.gate, digest))
        {
            clear_suspect(loop, digest);
        }
    }
}

void receive(control_loop& loop, const incoming_message& message)
{
    const std::uint64_t quarantine_version = loop.state.quarantine.version;
    run_control_event(
        loop,
        [&](control_actions& actions)
        {
            control_on_message(
                loop.state, message, now(), loop.random, actions);
        });
    if (loop.state.quarantine.version != quarantine_version)
    {
        clear_suspects_with_successes(loop);
    }
}

void send(control_loop& loop, const outgoing_message& message)
{
    if (message.to == loop.services.self)
    {
        post_control_message(loop, message.to, message.kind, message.payload);
        return;
    }
    if (message.via == transport::datagram &&
        message.payload.size() <= max_datagram_payload)
    {
        send_datagram(*loop.datagrams, message);
        return;
    }
    send_message(loop.links, message);
}

void execute_actions(control_loop& loop, control_actions actions)
{
    for (const auto& message : actions.messages)
    {
        send(loop, message);
    }
    for (auto& call : actions.platform_calls)
    {
        platform_client_send(
            loop.platform, std::move(call),
            [&loop](const platform_reply& reply)
            {
                on_platform_reply(loop, reply);
            });
    }
    for (const auto& new_event : actions.events)
    {
        loop.services.record(new_event);
    }
}

void publish_upstream(
    control_loop& loop, const std::optional<upstream_record>& record)
{
    if (!record)
    {
        return;
    }
    set_upstream(
        loop.gate, *record,
        {loop.upstream.endpoint, loop.upstream.id, loop.upstream.incarnation,
         service_id_of(record->service)});
    event new_event;
    new_event.kind = record->state == upstream_state::draining
                         ? event_kind::upstream_draining
                     : record->state == upstream_state::absent
                         ? event_kind::upstream_lost
                         : event_kind::upstream_announced;
    new_event.detail =
        record->service + ' ' + std::string(name_of(record->state));
    if (record->state == upstream_state::warming && record->cold_rate > 0.0)
    {
        new_event.detail +=
            absl::StrFormat(", %.1f requests a second", record->cold_rate);
    }
    loop.services.record(new_event);
    run_control_event(
        loop,
        [&](control_actions& actions)
        {
            membership_set_upstream(
                loop.state.membership, *record, now(), loop.random, actions);
        });
}

const service_settings*
find_service(const control_loop& loop, const std::string& name)
{
    const auto& services = loop.state.chain.current->services;
    const auto found =
        std::ranges::find(services, name, &service_settings::name);
    return found == services.end() ? nullptr : &*found;
}

// The rate of the service's cold upstreams; a low one while it is not known
// yet.
double configured_cold_rate(const control_loop& loop, const std::string& name)
{
    if (loop.has_cold_bounds && loop.state.chain.current->revision == 0)
    {
        return unknown_cold_rate;
    }
    const service_settings* const settings = find_service(loop, name);
    return settings != nullptr ? settings->cold_rate : 0.0;
}

// Fills in what the announcement leaves to the configuration of its service:
// the connection cap, which is the number of slots if neither has one, and the
// rate while the upstream is cold.
upstream_announcement with_service_settings(
    const control_loop& loop, upstream_announcement announcement)
{
    auto& record = announcement.record;
    record.cold_rate = configured_cold_rate(loop, record.service);
    if (record.connections == 0)
    {
        const service_settings* const settings =
            find_service(loop, record.service);
        record.connections = settings != nullptr && settings->connections != 0
                                 ? settings->connections
                                 : record.slots;
    }
    return announcement;
}

// Records the departure of an upstream process, so that announcements which it
// sent before have no effect on this node process or a later one. One that
// doesn't identify itself can't be recorded.
void record_departure(control_loop& loop, const departed_process& process)
{
    if (process.id.empty() || process.started_ms == 0)
    {
        return;
    }
    run_control_event(
        loop,
        [&](control_actions& actions)
        {
            control_on_departure(
                loop.state, process, now(), loop.random, actions);
        });
}

void drain_upstream(control_loop& loop)
{
    publish_upstream(loop, on_drain(loop.upstream));
    record_departure(loop, {loop.upstream.id, loop.upstream.started_ms});
}

bool has_left(const control_loop& loop, const departed_process& process)
{
    return has_departed(loop.state.departures, process.id, process.started_ms);
}

// Applies a departure that an earlier node process has acknowledged.
void apply_recorded_departure(control_loop& loop)
{
    if (is_accepting(loop.upstream) &&
        has_left(loop, {loop.upstream.id, loop.upstream.started_ms}))
    {
        publish_upstream(loop, on_drain(loop.upstream));
    }
}

void tick(control_loop& loop)
{
    run_control_event(
        loop,
        [&](control_actions& actions)
        {
            control_tick(
                loop.state, wall_clock_ms(), now(), loop.random, actions);
        });
}

void on_timer(control_loop& loop)
{
    if (!loop.leaving)
    {
        publish_upstream(
            loop, on_cold_rate(
                      loop.upstream, configured_cold_rate(
                                         loop, loop.upstream.record.service)));
        publish_upstream(loop, check_upstream(loop.upstream, now()));
        apply_recorded_departure(loop);
    }
    if (loop.state.trees.settings.is_enabled)
    {
        observe_limit(
            *loop.state.observer, service_id_of(loop.upstream.record.service),
            usable_limit_of(loop.gate));
    }
    if (control_due(loop.state) <= now())
    {
        tick(loop);
    }
    else
    {
        run_control_event(loop, [](control_actions&) {});
    }
    close_idle(loop.links);
    arm_timer(loop);
}

void arm_timer(control_loop& loop)
{
    const time_point due = std::max(control_due(loop.state), now() + 1ms);
    const auto longest = loop.has_waiting_calls ? waiting_control_interval
                                                : max_control_interval;
    loop.timer.expires_at(std::min(due, now() + longest));
    loop.timer.async_wait(
        [&loop](const boost::system::error_code& error)
        {
            if (!error)
            {
                on_timer(loop);
            }
        });
}

} // namespace

void start_control(
    control_loop& loop, const control_settings& settings,
    asio::ip::udp::socket socket, const platform_connection_settings& platform)
{
    loop.platform = make_platform_connections(loop.io.get_executor(), platform);
    loop.datagrams = std::make_unique<datagram_port>(
        std::move(socket), loop.services.fleet_secret);
    loop.datagrams->self = loop.services.self;
    loop.datagrams->self_incarnation = loop.services.self_incarnation;
    loop.datagrams->on_message = [&loop](const incoming_message& message)
    {
        receive(loop, message);
    };
    loop.datagrams->on_rejected = [&loop](const char* reason)
    {
        event new_event;
        new_event.kind = event_kind::bad_input;
        new_event.detail = reason;
        loop.services.record(new_event);
    };
    loop.services.path.limiter.on_waiting = [&loop]
    {
        // One posted tick serves any number of waiting requests.
        if (!loop.tick_requested.exchange(true))
        {
            asio::post(
                loop.io,
                [&loop]
                {
                    loop.tick_requested = false;
                    tick(loop);
                });
        }
    };
    // Upstream incarnations start at the node's own, so that they exceed those
    // that an earlier node process on this host assigned.
    loop.upstream.incarnation = loop.services.self_incarnation;
    asio::co_spawn(loop.io, run_datagrams(*loop.datagrams), asio::detached);
    asio::post(
        loop.io,
        [&loop, settings]
        {
            run_control_event(
                loop,
                [&](control_actions& actions)
                {
                    control_start(
                        loop.state, settings, loop.services.path.limiter,
                        loop.services.self_incarnation, now(), loop.random,
                        actions);
                });
            arm_timer(loop);
        });
}

void post_control_message(
    control_loop& loop, host_id from, message_kind kind,
    std::vector<std::uint8_t> payload)
{
    asio::post(
        loop.io,
        [&loop, from, kind, payload = std::move(payload)]
        {
            receive(loop, {from, kind, payload});
        });
}

void post_claim_request(control_loop& loop, const claim_request& request)
{
    asio::post(
        loop.io,
        [&loop, request]
        {
            run_control_event(
                loop,
                [&](control_actions& actions)
                {
                    claims_request(
                        loop.state.claims, inputs_of_claims(loop.state),
                        request, now(), loop.random, actions);
                });
        });
}

void post_claim_completion(
    control_loop& loop, const claim_completion& completion)
{
    asio::post(
        loop.io,
        [&loop, completion]
        {
            run_control_event(
                loop,
                [&](control_actions& actions)
                {
                    claims_complete(
                        loop.state.claims, inputs_of_claims(loop.state),
                        completion, now(), loop.random, actions);
                });
        });
}

void post_ticket_request(
    control_loop& loop, std::function<void(std::string)> callback)
{
    asio::post(
        loop.io,
        [&loop, callback = std::move(callback)]
        {
            callback(claims_issue_ticket(
                loop.state.claims, inputs_of_claims(loop.state), loop.random));
        });
}

void post_claim_check(
    control_loop& loop, const claim_grant& grant,
    std::function<void(bool)> callback)
{
    asio::post(
        loop.io,
        [&loop, grant, callback = std::move(callback)]
        {
            callback(claims_accept_at_gate(loop.state.claims, grant, now()));
        });
}

void post_announcement(
    control_loop& loop, const upstream_announcement& announcement)
{
    asio::post(
        loop.io,
        [&loop, announcement]
        {
            const departed_process process{
                announcement.id, announcement.started_ms};
            if (loop.leaving || has_left(loop, process))
            {
                return;
            }
            publish_upstream(
                loop, on_announcement(
                          loop.upstream,
                          with_service_settings(loop, announcement), now()));
            if (announcement.record.state == upstream_state::draining)
            {
                record_departure(loop, process);
            }
        });
}

void post_upstream_drain(control_loop& loop)
{
    asio::post(
        loop.io,
        [&loop]
        {
            drain_upstream(loop);
        });
}

void post_upstream_leaving(control_loop& loop, std::uint64_t incarnation)
{
    asio::post(
        loop.io,
        [&loop, incarnation]
        {
            if (loop.upstream.incarnation == incarnation)
            {
                drain_upstream(loop);
            }
        });
}

void post_upstream_cold(
    control_loop& loop, std::uint64_t incarnation, duration remaining)
{
    asio::post(
        loop.io,
        [&loop, incarnation, remaining]
        {
            if (loop.upstream.incarnation == incarnation)
            {
                publish_upstream(
                    loop, on_cold(loop.upstream, remaining, now()));
            }
        });
}

void post_upstream_crash(
    control_loop& loop, const std::vector<std::uint64_t>& digests)
{
    asio::post(
        loop.io,
        [&loop, digests]
        {
            const upstream_incarnation crashed{
                loop.services.self, loop.upstream.incarnation};
            event new_event;
            new_event.kind = event_kind::upstream_crashed;
            new_event.detail =
                "incarnation " + std::to_string(crashed.incarnation) + ", " +
                std::to_string(digests.size()) + " suspects in flight";
            loop.services.record(new_event);
            run_control_event(
                loop,
                [&](control_actions& actions)
                {
                    quarantine_on_crash(
                        loop.state.quarantine, loop.state.membership, crashed,
                        digests, now(), loop.random, actions);
                });
            publish_upstream(loop, on_leave(loop.upstream, {}));
        });
}

void post_suspect_success(control_loop& loop, std::uint64_t digest)
{
    asio::post(
        loop.io,
        [&loop, digest]
        {
            clear_suspect(loop, digest);
        });
}

void post_upstream_leave(
    control_loop& loop, const upstream_departure& departure)
{
    asio::post(
        loop.io,
        [&loop, departure]
        {
            const bool is_known =
                departure.started_ms == 0 && departure.id == loop.upstream.id;
            const std::uint64_t started_ms =
                is_known ? loop.upstream.started_ms : departure.started_ms;
            publish_upstream(loop, on_leave(loop.upstream, departure));
            record_departure(loop, {departure.id, started_ms});
        });
}

void post_leave(control_loop& loop)
{
    asio::post(
        loop.io,
        [&loop]
        {
            loop.leaving = true;
            run_control_event(
                loop,
                [&](control_actions& actions)
                {
                    control_leave(loop.state, now(), loop.random, actions);
                });
        });
}

void commit_change(
    control_loop& loop, std::uint64_t base_revision,
    const std::string& operation_id, const std::string& operations,
    std::function<void(const commit_result&)> done)
{
    const commit_token token = loop.next_commit++;
    loop.commits.emplace(token, std::move(done));
    run_control_event(
        loop,
        [&](control_actions& actions)
        {
            chain_commit(
                loop.state.chain, token, base_revision, operation_id,
                operations, now(), loop.random, actions);
        });
}

} // namespace cyclamenhold
