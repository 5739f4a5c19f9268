// Hosts whose upstreams call each other in trees, with the gates and the tree
// budgets of their nodes, on a virtual clock.
#pragma once

#include "core/gate/gate.hpp"
#include "core/trees/trees.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamenhold::testing_support
{

struct tree_service
{
    std::string name;
    std::size_t hosts = 0;
    std::uint32_t slots = 0;
    // Requests take this many times as long.
    double slow_factor = 1.0;
};

struct tree_calls
{
    std::size_t route = 0;
    // One after the other.
    int times = 0;
};

struct tree_route
{
    std::string name;
    std::size_t service = 0;
    duration work{};
    priority_class priority = priority_class::normal;
    std::vector<tree_calls> calls;
    // Root requests a second.
    double per_second = 0.0;
};

struct tree_deployment
{
    std::vector<tree_service> services;
    std::vector<tree_route> routes;
    std::size_t data_centres = 3;
};

// Root requests of one route.
struct tree_counts_of_route
{
    int offered = 0;
    int served = 0;
    int refused = 0;
    int failed = 0;
};

struct tree_result
{
    std::vector<tree_counts_of_route> routes;
    // Runs that upstreams began, and those that ended with an error because a
    // call below them failed.
    int runs = 0;
    int runs_with_failed_calls = 0;
};

struct tree_host
{
    host_id id = host_id::none;
    std::size_t service = 0;
    bool is_up = true;
    gate_state gate;
    tree_observer observer;
    tree_admission admission;
    trees_state trees;
    membership_state members;
    std::unordered_map<gate_entry_id, std::function<void(refusal)>> waiting;
};

class tree_fleet
{
public:
    explicit tree_fleet(tree_deployment of, bool has_budgets = true)
        : deployment(std::move(of))
    {
        for (std::size_t service = 0; service < deployment.services.size();
             ++service)
        {
            for (std::size_t i = 0; i < deployment.services[service].hosts; ++i)
            {
                add_host(service, has_budgets);
            }
        }
        for (const auto& host : hosts)
        {
            meet_others(*host);
            trees_start(host->trees, host->trees.settings, now, random);
        }
        result_.routes.resize(deployment.routes.size());
        next_root_.assign(deployment.routes.size(), now);
    }

    // Runs for `time` and returns what happened to the requests that arrived in
    // it.
    tree_result run(duration time)
    {
        result_ = {};
        result_.routes.resize(deployment.routes.size());
        const time_point end = now + time;
        while (now < end)
        {
            step();
        }
        return result_;
    }

    tree_deployment deployment;
    std::vector<std::unique_ptr<tree_host>> hosts;
    // Whether a message about trees is lost.
    std::function<bool(const tree_host&, const tree_host&)> is_cut;
    time_point now{100s};
    random_source random{11};

private:
    using end_of_call = std::function<void(bool)>;

    // A request that an upstream runs.
    struct tree_run
    {
        tree_host* host = nullptr;
        gate_entry_id entry = 0;
        std::size_t route = 0;
        time_point deadline{};
        // The calls that it has yet to make.
        std::vector<std::size_t> calls;
        end_of_call done;
    };

    void add_host(std::size_t service, bool has_budgets)
    {
        auto host = std::make_unique<tree_host>();
        const auto number = hosts.size();
        host->id =
            make_host_id(0x0a000001, static_cast<std::uint16_t>(number + 1));
        host->service = service;
        host->members.settings.self = host->id;
        host->members.settings.data_centre = data_centre_at(number);
        host->members.self_incarnation = 1;
        host->trees.settings = {
            has_budgets, host->id, host->members.settings.data_centre};
        host->observer.is_enabled = has_budgets;
        host->admission.is_enabled = has_budgets;
        host->gate.settings.has_exact_slots = true;
        host->gate.settings.reserved_for_calls = 0.15;
        host->gate.settings.refuses_before_deadline = true;
        (void)gate_set_upstream(
            host->gate,
            {deployment.services[service].name, upstream_state::serving,
             deployment.services[service].slots, 1000, 1},
            now);
        hosts.push_back(std::move(host));
    }

    [[nodiscard]] data_centre_id data_centre_at(std::size_t number) const
    {
        return data_centre_id_of(
            "dc" + std::to_string(number % deployment.data_centres));
    }

    void meet_others(tree_host& host)
    {
        for (std::size_t number = 0; number < hosts.size(); ++number)
        {
            if (hosts[number]->id == host.id)
            {
                continue;
            }
            member& known = host.members.members[hosts[number]->id];
            known.host = hosts[number]->id;
            known.data_centre = data_centre_at(number);
            if (known.data_centre == host.members.settings.data_centre)
            {
                host.members.targets.local.push_back(known.host);
            }
        }
        host.members.version = 1;
    }

    void at(time_point when, std::function<void()> action)
    {
        events_.emplace(when, std::move(action));
    }

    // Runs what is due in the next 5 ms, and the periodic work after it.
    void step()
    {
        const time_point until = now + 5ms;
        add_arrivals(until);
        while (!events_.empty() && events_.begin()->first <= until)
        {
            now = std::max(now, events_.begin()->first);
            auto action = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            action();
        }
        now = until;
        for (const auto& host : hosts)
        {
            if (host->is_up)
            {
                apply(*host, gate_tick(host->gate, now));
                tick_trees(*host);
            }
        }
    }

    void add_arrivals(time_point until)
    {
        for (std::size_t route = 0; route < deployment.routes.size(); ++route)
        {
            const double rate = deployment.routes[route].per_second;
            for (time_point& next = next_root_[route];
                 rate > 0.0 && next < until;
                 next += from_seconds(
                     std::exponential_distribution<double>(rate)(random)))
            {
                at(std::max(next, now),
                   [this, route]
                   {
                       enter(route);
                   });
            }
            next_root_[route] = std::max(next_root_[route], until - 5ms);
        }
    }

    void tick_trees(tree_host& host)
    {
        observe_limit(
            host.observer,
            service_id_of(deployment.services[host.service].name),
            gate_report(host.gate, now).limit);
        control_actions actions;
        trees_tick(
            host.trees, {host.members, host.observer, host.admission}, now,
            actions);
        deliver(host, actions);
    }

    void deliver(const tree_host& from, control_actions& actions)
    {
        for (auto& message : actions.messages)
        {
            tree_host& to = host_with(message.to);
            if (!to.is_up || !from.is_up || (is_cut && is_cut(from, to)))
            {
                continue;
            }
            at(now + 1ms,
               [this, &from, &to, payload = std::move(message.payload)]
               {
                   control_actions replies;
                   trees_on_message(
                       to.trees, {to.members, to.observer, to.admission},
                       {from.id, message_kind::trees, payload}, now, replies);
                   deliver(to, replies);
               });
        }
    }

    tree_host& host_with(host_id id)
    {
        return **std::ranges::find(
            hosts, id,
            [](const auto& host)
            {
                return host->id;
            });
    }

    tree_host& random_host()
    {
        while (true)
        {
            auto& host = *hosts[random_below(random, hosts.size())];
            if (host.is_up)
            {
                return host;
            }
        }
    }

    // A root request enters at a random host.
    void enter(std::size_t route)
    {
        const tree_route& settings = deployment.routes[route];
        tree_counts_of_route& counts = result_.routes[route];
        tree_host& host = random_host();
        const tree_key key{
            route_id_of(settings.name),
            service_id_of(deployment.services[settings.service].name),
            settings.priority};
        const auto slot = static_cast<std::uint16_t>(
            random_below(random, admission_slot_count));
        ++counts.offered;
        observe_arrival(host.observer, key);
        if (admit_tree(host.admission, key, slot, now, random) ==
            tree_verdict::refused)
        {
            ++counts.refused;
            return;
        }
        request_context context;
        context.priority = settings.priority;
        context.slot = slot;
        context.deadline = now + 2s;
        send(
            route, context, 2,
            [this, route](bool succeeded)
            {
                tree_counts_of_route& ended = result_.routes[route];
                ++(succeeded ? ended.served : ended.failed);
            });
    }

    // Sends a request to the less loaded of two hosts. One that a gate refuses
    // is sent to others, at most `others` times.
    void send(
        std::size_t route, request_context context, int others,
        end_of_call done)
    {
        const std::size_t service = deployment.routes[route].service;
        tree_host* const first = pick(service);
        tree_host* const second = pick(service);
        if (first == nullptr)
        {
            done(false);
            return;
        }
        tree_host& host =
            load_of(*first) <= load_of(*second) ? *first : *second;
        context.service = service_id_of(deployment.services[service].name);
        context.route = route_id_of(deployment.routes[route].name);
        const gate_entry_id entry = ++last_entry_;
        host.waiting[entry] = [this, &host, entry, route, context, others,
                               done = std::move(done)](refusal reason) mutable
        {
            if (reason == refusal::none)
            {
                begin(host, entry, route, context, std::move(done));
                return;
            }
            if (context.depth > 0)
            {
                observe_refused_call(host.observer);
            }
            if (others > 0 && reason == refusal::overloaded)
            {
                send(route, context, others - 1, std::move(done));
                return;
            }
            done(false);
        };
        apply(host, gate_offer(host.gate, {entry, context, now}, now));
    }

    tree_host* pick(std::size_t service)
    {
        std::vector<tree_host*> usable;
        for (const auto& host : hosts)
        {
            if (host->service == service && host->is_up)
            {
                usable.push_back(host.get());
            }
        }
        return usable.empty() ? nullptr
                              : usable[random_below(random, usable.size())];
    }

    [[nodiscard]] static std::size_t load_of(const tree_host& host)
    {
        return host.gate.running.size() + queue_size(host.gate.queue);
    }

    void apply(tree_host& host, const gate_decisions& decisions)
    {
        for (const auto& [entry, reason] : decisions)
        {
            if (auto found = host.waiting.extract(entry))
            {
                found.mapped()(reason);
            }
        }
    }

    void begin(
        tree_host& host, gate_entry_id entry, std::size_t route,
        const request_context& context, end_of_call done)
    {
        ++result_.runs;
        observe_start(
            host.observer, entry, context.route, context.depth > 0,
            context.deadline, now);
        auto run = std::make_shared<tree_run>(tree_run{
            &host, entry, route, context.deadline, {}, std::move(done)});
        const tree_route& settings = deployment.routes[route];
        for (const auto& [called, times] : settings.calls)
        {
            run->calls.insert(
                run->calls.end(), static_cast<std::size_t>(times), called);
        }
        const double spread = 0.5 + random_fraction(random);
        const double slow = deployment.services[settings.service].slow_factor;
        at(now + from_seconds(to_seconds(settings.work) * spread * slow),
           [this, run]
           {
               call_next(run);
           });
    }

    void call_next(const std::shared_ptr<tree_run>& run)
    {
        if (run->calls.empty() || now >= run->deadline)
        {
            end(run, now < run->deadline);
            return;
        }
        const std::size_t called = run->calls.back();
        run->calls.pop_back();
        observe_call(
            run->host->observer, route_id_of(deployment.routes[called].name),
            run->deadline + 2ms);
        request_context context;
        context.priority = priority_class::critical;
        context.depth = 1;
        context.deadline = run->deadline;
        send(
            called, context, 2,
            [this, run](bool succeeded)
            {
                if (succeeded)
                {
                    call_next(run);
                    return;
                }
                ++result_.runs_with_failed_calls;
                end(run, false);
            });
    }

    void end(const std::shared_ptr<tree_run>& run, bool succeeded)
    {
        observe_end(run->host->observer, run->entry, succeeded, now);
        apply(
            *run->host,
            gate_finish(
                run->host->gate, run->entry, gate_result::replied, now));
        run->done(succeeded);
    }

    std::multimap<time_point, std::function<void()>> events_;
    std::vector<time_point> next_root_;
    gate_entry_id last_entry_ = 0;
    tree_result result_;
};

} // namespace cyclamenhold::testing_support
