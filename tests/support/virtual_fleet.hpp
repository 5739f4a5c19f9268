// Many whole nodes in one process under a virtual clock: a network that loses,
// delays, duplicates, reorders and partitions, a platform with faults, pauses
// and restarts, and clocks that drift. The same seed gives the same run.
#pragma once

#include "support/virtual_node.hpp"

namespace cyclamenhold::testing_support
{

class virtual_fleet
{
public:
    explicit virtual_fleet(const fleet_options& options)
        : options_(options), random_(options.seed)
    {
        for (std::uint32_t centre = 0; centre < options.data_centres; ++centre)
        {
            const std::string name = "dc" + std::to_string(centre);
            for (std::uint32_t host = 0; host < options.hosts_each; ++host)
            {
                auto node = std::make_unique<virtual_node>();
                node->host = make_host_id(
                    0x0a000000 | (centre << 16) | (host + 1), 7400);
                node->data_centre = data_centre_id_of(name);
                node->data_centre_name = name;
                node->drift = options.largest_drift *
                              (2.0 * random_fraction(random_) - 1.0);
                node->offset =
                    std::chrono::milliseconds(random_below(random_, 1'000'000));
                node->wall_offset_ms = random_below(random_, 2000);
                nodes.emplace(node->host, std::move(node));
            }
        }
    }

    std::map<host_id, std::unique_ptr<virtual_node>> nodes;
    key_value_store platform;
    std::map<workspace_id, rate_oracle> oracles;
    std::shared_ptr<const configuration> settings =
        std::make_shared<const configuration>();
    // True when a message may pass; tests set partitions here.
    std::function<bool(const virtual_node&, const virtual_node&)> connected;
    std::function<bool(const virtual_node&)> platform_reachable;
    // Called after each event of a node.
    std::function<void(virtual_node&)> after_step;
    // Called when a claim was answered.
    std::function<void(virtual_node&, const claim_answer&)> on_claim;

    [[nodiscard]] time_point now() const
    {
        return now_;
    }
    [[nodiscard]] time_point local_now(const virtual_node& node) const
    {
        return local_time(node, now_);
    }
    [[nodiscard]] std::uint64_t wall_ms(const virtual_node& node) const
    {
        constexpr std::uint64_t epoch_ms = 1'796'000'000'000;
        const auto local = now_.time_since_epoch();
        return epoch_ms + node.wall_offset_ms +
               static_cast<std::uint64_t>(
                   to_milliseconds(duration(static_cast<duration::rep>(
                       static_cast<double>(local.count()) *
                       (1.0 + node.drift)))));
    }

    void start(virtual_node& node)
    {
        node.up = true;
        ++node.life;
        node.paused_until = now_;
        node.random.seed(random_());
        node.path = std::make_unique<request_path>();
        node.path->self = node.host;
        node.path->limiter.on_waiting = [&node]
        {
            node.wants_tick = true;
        };
        node.waiting.clear();
        node.control = std::make_unique<control_state>();
        control_settings chosen;
        chosen.membership.self = node.host;
        chosen.membership.data_centre = node.data_centre;
        chosen.membership.data_centre_name = node.data_centre_name;
        for (const auto& [host, other] : nodes)
        {
            if (host != node.host)
            {
                chosen.membership.seeds.push_back(host);
            }
        }
        chosen.chain.self = node.host;
        chosen.chain.data_centre = node.data_centre;
        chosen.rates = options_.rates;
        chosen.rates.self = node.host;
        chosen.rates.data_centre = node.data_centre;
        chosen.claims = options_.claims;
        chosen.claims.self = node.host;
        chosen.claims.data_centre = node.data_centre;
        control_actions actions;
        control_start(
            *node.control, chosen, node.path->limiter, wall_ms(node),
            local_now(node), node.random, actions);
        carry_out(node, actions);
        schedule_tick(node, now_);
    }

    void start_all()
    {
        for (const auto& [host, node] : nodes)
        {
            start(*node);
        }
    }

    // Nothing is kept: the state is gone, messages on their way may arrive.
    void crash(virtual_node& node)
    {
        node.up = false;
        node.down_since = now_;
        store_forget_caller(platform, caller_of(node));
        for (const auto& [waiter, workspace] : node.waiting)
        {
            ++oracles[workspace].refused;
        }
        node.waiting.clear();
        node.control.reset();
        node.path.reset();
    }

    void pause(virtual_node& node, duration time)
    {
        node.paused_until = std::max(node.paused_until, now_ + time);
    }

    // One request of a workspace arrives at a node.
    void offer(virtual_node& node, workspace_id workspace, duration patience)
    {
        if (!node.up || paused(node))
        {
            return;
        }
        rate_oracle& oracle = oracles[workspace];
        ++oracle.offered;
        const token_waiter waiter = ++last_waiter_;
        const time_point local = local_now(node);
        const auto answer = take_token(
            node.path->limiter, workspace, waiter, local + patience, local);
        if (answer.verdict == token_verdict::admitted)
        {
            admit(workspace);
        }
        else if (answer.verdict == token_verdict::refused)
        {
            ++oracle.refused;
        }
        else
        {
            node.waiting[waiter] = workspace;
        }
        if (node.wants_tick)
        {
            tick(node);
        }
    }

    // Carries out what one of the node's control functions asked for.
    template <class Function>
    void act(virtual_node& node, Function function)
    {
        control_actions actions;
        function(*node.control, local_now(node), node.random, actions);
        carry_out(node, actions);
        finish_step(node);
    }

    void run_for(duration time)
    {
        run_until(now_ + time);
    }

    void run_until(time_point until)
    {
        for (;;)
        {
            const time_point store_time = store_due(platform);
            const time_point event_time = events_.empty()
                                              ? time_point::max()
                                              : events_.begin()->first.first;
            const time_point next = std::min(store_time, event_time);
            if (next > until)
            {
                break;
            }
            now_ = std::max(now_, next);
            if (store_time <= event_time)
            {
                poll_platform();
                continue;
            }
            auto entry = events_.extract(events_.begin());
            entry.mapped()();
        }
        now_ = until;
    }

    void at(time_point when, std::function<void()> function)
    {
        events_.emplace(
            std::pair(std::max(when, now_), ++last_event_),
            std::move(function));
    }

    [[nodiscard]] bool paused(const virtual_node& node) const
    {
        return node.paused_until > now_;
    }

    [[nodiscard]] random_source& random()
    {
        return random_;
    }

private:
    static store_caller caller_of(const virtual_node& node)
    {
        return (static_cast<std::uint64_t>(node.host) << 12) | node.life;
    }

    static time_point local_time(const virtual_node& node, time_point when)
    {
        const auto true_time = when.time_since_epoch();
        return time_point(
            node.offset +
            duration(static_cast<duration::rep>(
                static_cast<double>(true_time.count()) * (1.0 + node.drift))));
    }

    time_point true_time(const virtual_node& node, time_point local) const
    {
        if (local == time_point::max())
        {
            return now_ + 1h;
        }
        const auto since = local.time_since_epoch() - node.offset;
        return time_point(duration(static_cast<duration::rep>(
                   static_cast<double>(since.count()) / (1.0 + node.drift)))) +
               1ns;
    }

    void admit(workspace_id workspace)
    {
        rate_oracle& oracle = oracles[workspace];
        ++oracle.admitted;
        oracle.level = std::max(
            0.0, oracle.level - oracle.rate * to_seconds(now_ - oracle.at));
        oracle.at = now_;
        oracle.level += 1.0;
        oracle.highest_excess =
            std::max(oracle.highest_excess, oracle.level - oracle.burst);
    }

    void schedule_tick(virtual_node& node, time_point when)
    {
        at(when,
           [this, &node, life = node.life]
           {
               if (!node.up || node.life != life)
               {
                   return;
               }
               if (paused(node))
               {
                   schedule_tick(node, node.paused_until);
                   return;
               }
               tick(node);
               const time_point due =
                   true_time(node, control_due(*node.control));
               schedule_tick(node, std::max(due, now_ + 1ms));
           });
    }

    void show_members(virtual_node& node)
    {
        auto& view = node.control->membership;
        bool changed = false;
        for (const auto& [host, other] : nodes)
        {
            if (host == node.host || other->life == 0)
            {
                continue;
            }
            member& entry = view.members[host];
            const bool dead =
                !other->up && now_ - other->down_since > options_.detection;
            const member_state state =
                dead ? member_state::dead : member_state::alive;
            const auto life = other->control
                                  ? other->control->membership.self_incarnation
                                  : entry.host_incarnation;
            changed = changed || entry.host != host || entry.state != state ||
                      entry.host_incarnation != life;
            entry.host = host;
            entry.state = state;
            entry.data_centre = other->data_centre;
            entry.host_incarnation = life;
        }
        view.version += changed ? 1 : 0;
    }

    void tick(virtual_node& node)
    {
        node.wants_tick = false;
        control_state& control = *node.control;
        control.chain.current = settings;
        const time_point local = local_now(node);
        control_actions actions;
        if (options_.given_members)
        {
            show_members(node);
            control.wall_clock_ms = wall_ms(node);
            rates_tick(
                control.rates, inputs_of_rates(control), local, node.random,
                actions);
            claims_tick(
                control.claims, inputs_of_claims(control), local, node.random,
                actions);
        }
        else
        {
            control_tick(control, wall_ms(node), local, node.random, actions);
        }
        carry_out(node, actions);
        finish_step(node);
    }

    void finish_step(virtual_node& node)
    {
        const auto results =
            settle_waiters(node.path->limiter, local_now(node));
        for (const token_waiter waiter : results.admitted)
        {
            admit(node.waiting.at(waiter));
            node.waiting.erase(waiter);
        }
        for (const token_waiter waiter : results.expired)
        {
            ++oracles[node.waiting.at(waiter)].refused;
            node.waiting.erase(waiter);
        }
        std::vector<claim_answer> answers;
        answers.swap(node.control->claims.answers);
        for (const auto& answer : answers)
        {
            if (on_claim)
            {
                on_claim(node, answer);
            }
        }
        if (after_step)
        {
            after_step(node);
        }
    }

    void carry_out(virtual_node& node, control_actions& actions)
    {
        for (auto& message : actions.messages)
        {
            ++node.messages_sent;
            node.bytes_sent += message.payload.size();
            send(node, std::move(message));
        }
        for (const auto& call : actions.platform_calls)
        {
            if (platform_reachable && !platform_reachable(node))
            {
                platform_reply reply;
                reply.client = call.client;
                reply.call_id = call.call_id;
                reply.status = platform_status::unavailable;
                at(now_ + call.timeout,
                   [this, &node, life = node.life, reply]
                   {
                       reply_to(node, life, reply);
                   });
                continue;
            }
            store_call(platform, caller_of(node), call, now_);
        }
    }

    void send(virtual_node& from, outgoing_message message)
    {
        const auto found = nodes.find(message.to);
        if (found == nodes.end())
        {
            return;
        }
        virtual_node& to = *found->second;
        const link_faults& faults = options_.links;
        if (random_fraction(random_) < faults.loss)
        {
            return;
        }
        const auto delay = [&]
        {
            return faults.shortest_delay +
                   duration(random_below(
                       random_,
                       static_cast<std::uint64_t>(
                           (faults.longest_delay - faults.shortest_delay)
                               .count()) +
                           1));
        };
        time_point when = now_ + delay();
        if (message.via == transport::stream)
        {
            time_point& last = last_delivery_[{from.host, to.host}];
            when = std::max(when, last + 1ns);
            last = when;
        }
        else if (random_fraction(random_) < faults.duplication)
        {
            deliver_at(now_ + delay() * 3, from, to, message);
        }
        deliver_at(when, from, to, std::move(message));
    }

    void deliver_at(
        time_point when, virtual_node& from, virtual_node& to,
        outgoing_message message)
    {
        at(when,
           [this, &from, &to, message = std::move(message)]() mutable
           {
               if (connected && !connected(from, to))
               {
                   return;
               }
               if (paused(to))
               {
                   deliver_at(to.paused_until, from, to, std::move(message));
                   return;
               }
               if (to.up)
               {
                   receive(from, to, message);
               }
           });
    }

    void receive(
        const virtual_node& from, virtual_node& to,
        const outgoing_message& message)
    {
        control_actions actions;
        control_on_message(
            *to.control, {from.host, message.kind, message.payload},
            local_now(to), to.random, actions);
        carry_out(to, actions);
        finish_step(to);
    }

    void poll_platform()
    {
        for (const auto& answer : store_poll(platform, now_))
        {
            for (const auto& [host, node] : nodes)
            {
                if (caller_of(*node) == answer.caller)
                {
                    reply_to(*node, node->life, answer.reply);
                }
            }
        }
    }

    void reply_to(
        virtual_node& node, std::uint64_t life, const platform_reply& reply)
    {
        if (!node.up || node.life != life)
        {
            return;
        }
        if (paused(node))
        {
            at(node.paused_until,
               [this, &node, life, reply]
               {
                   reply_to(node, life, reply);
               });
            return;
        }
        control_actions actions;
        control_on_platform_reply(
            *node.control, reply, local_now(node), node.random, actions);
        carry_out(node, actions);
        finish_step(node);
    }

    fleet_options options_;
    random_source random_;
    time_point now_{1s};
    std::map<std::pair<time_point, std::uint64_t>, std::function<void()>>
        events_;
    std::uint64_t last_event_ = 0;
    token_waiter last_waiter_ = 0;
    std::map<std::pair<host_id, host_id>, time_point> last_delivery_;
};

} // namespace cyclamenhold::testing_support
