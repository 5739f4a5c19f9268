#include "adapters/peer_links.hpp"

#include "adapters/clock.hpp"

#include <boost/asio/experimental/awaitable_operators.hpp>

namespace cyclamenhold
{
namespace
{

using namespace asio::experimental::awaitable_operators;

asio::ip::tcp::endpoint endpoint_of(host_id host)
{
    const auto value = static_cast<std::uint64_t>(host);
    return {
        asio::ip::address_v4(static_cast<std::uint32_t>(value >> 16)),
        static_cast<std::uint16_t>(value & 0xffff)};
}

handshake_identity identity_of(const node_services& services)
{
    return {services.self, services.self_incarnation, services.fleet_secret};
}

void record(
    node_services& services, event_kind kind, host_id peer, std::string detail)
{
    event new_event;
    new_event.kind = kind;
    new_event.peer = peer;
    new_event.detail = std::move(detail);
    services.record(new_event);
}

asio::awaitable<void> wait_for_connect_timeout(asio::any_io_executor executor)
{
    asio::steady_timer timer(executor, peer_connect_timeout);
    co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<absl::Status>
connect_and_authenticate(peer_link_ptr link, host_id to)
{
    auto& socket = link->connection->socket;
    const auto [error] = co_await socket.async_connect(
        endpoint_of(to), asio::as_tuple(asio::use_awaitable));
    if (error)
    {
        co_return absl::UnavailableError(error.message());
    }
    socket.set_option(asio::ip::tcp::no_delay(true));
    co_return co_await handshake_as_dialler(
        link->connection, identity_of(link->services), to);
}

asio::awaitable<void>
run_dialled(peer_links* links, peer_link_ptr link, host_id to)
{
    auto outcome = co_await (
        connect_and_authenticate(link, to) ||
        wait_for_connect_timeout(links->executor));
    const bool timed_out = outcome.index() == 1;
    const absl::Status status = timed_out
                                    ? absl::DeadlineExceededError("no answer")
                                    : std::get<0>(outcome);
    if (status.ok())
    {
        record(
            link->services, event_kind::peer_connected, to, "link established");
        co_await run_link(link);
    }
    if (!status.ok() && absl::IsPermissionDenied(status))
    {
        record(
            link->services, event_kind::peer_rejected, to,
            std::string(status.message()));
    }
    end_link(link);
    record(link->services, event_kind::peer_lost, to, "link closed");
    if (const auto found = links->dialled.find(to);
        found != links->dialled.end() && found->second == link)
    {
        links->dialled.erase(found);
    }
}

peer_link_ptr find_or_dial(peer_links& links, host_id target)
{
    if (const auto found = links.dialled.find(target);
        found != links.dialled.end() && !found->second->connection->closed &&
        !found->second->going_away)
    {
        return found->second;
    }
    auto link = std::make_shared<peer_link>(
        links.services, asio::ip::tcp::socket(links.executor));
    link->dialled_here = true;
    link->connection->peer = target;
    links.dialled[target] = link;
    asio::co_spawn(
        links.executor, run_dialled(&links, link, target), asio::detached);
    return link;
}

asio::awaitable<void> run_accepted(peer_links* links, peer_link_ptr link)
{
    auto outcome = co_await (
        handshake_as_acceptor(link->connection, identity_of(link->services)) ||
        wait_for_connect_timeout(links->executor));
    const bool accepted = outcome.index() == 0 && std::get<0>(outcome).ok();
    if (accepted)
    {
        co_await run_link(link);
    }
    else
    {
        record(
            link->services, event_kind::peer_rejected, link->connection->peer,
            outcome.index() == 0 ? std::string(std::get<0>(outcome).message())
                                 : "the handshake took too long");
    }
    end_link(link);
    links->accepted.erase(link);
}

} // namespace

void send_exchange(peer_links& links, host_id target, const exchange_ptr& work)
{
    open_stream(find_or_dial(links, target), work);
}

void send_message(peer_links& links, const outgoing_message& message)
{
    send_control(find_or_dial(links, message.to), message);
}

void accept_peer(peer_links& links, asio::ip::tcp::socket socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    auto link = std::make_shared<peer_link>(links.services, std::move(socket));
    links.accepted.insert(link);
    asio::co_spawn(links.executor, run_accepted(&links, link), asio::detached);
}

void announce_going_away(peer_links& links)
{
    for (const auto& link : links.accepted)
    {
        if (link->ready)
        {
            encode_going_away(link->connection->pending);
            flush(link->connection);
        }
    }
}

void close_idle(peer_links& links)
{
    std::vector<peer_link_ptr> idle;
    for (const auto& [host, link] : links.dialled)
    {
        if (link->streams.empty() &&
            now() - link->last_used_at > peer_idle_timeout)
        {
            idle.push_back(link);
        }
    }
    for (const auto& link : idle)
    {
        end_link(link);
    }
}

std::size_t open_streams(const peer_links& links)
{
    std::size_t count = 0;
    for (const auto& [host, link] : links.dialled)
    {
        count += link->streams.size() + link->waiting.size();
    }
    for (const auto& link : links.accepted)
    {
        count += link->streams.size();
    }
    return count;
}

void close_all(peer_links& links)
{
    const auto dialled = links.dialled;
    for (const auto& [host, link] : dialled)
    {
        end_link(link);
    }
    const auto accepted = links.accepted;
    for (const auto& link : accepted)
    {
        end_link(link);
    }
}

} // namespace cyclamenhold
