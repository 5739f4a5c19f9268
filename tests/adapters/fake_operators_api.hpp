// A fake of a node's operators' API. Replies come from a function; requests are
// recorded.
#pragma once

#include "core/base/ip_endpoint.hpp"

#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace cyclamenhold
{

struct fake_request
{
    std::string method;
    std::string target;
    std::string authorization;
    std::string body;
};

struct fake_reply
{
    unsigned status = 200;
    std::string body;
    // Closes the connection without a reply.
    bool drop = false;
};

class fake_operators_api
{
public:
    using handler = std::function<fake_reply(const fake_request&)>;

    explicit fake_operators_api(handler answer)
        : answer_(std::move(answer)),
          acceptor_(
              context_,
              {boost::asio::ip::address_v4::loopback(), std::uint16_t{0}})
    {
        boost::asio::co_spawn(context_, accept(), boost::asio::detached);
        thread_ = std::thread(
            [this]
            {
                context_.run();
            });
    }
    ~fake_operators_api()
    {
        context_.stop();
        thread_.join();
    }
    fake_operators_api(const fake_operators_api&) = delete;
    fake_operators_api& operator=(const fake_operators_api&) = delete;

    [[nodiscard]] std::string endpoint() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

    [[nodiscard]] std::vector<fake_request> requests() const
    {
        const std::lock_guard lock(mutex_);
        return requests_;
    }

private:
    using socket = boost::asio::ip::tcp::socket;

    boost::asio::awaitable<void> accept()
    {
        for (;;)
        {
            socket accepted =
                co_await acceptor_.async_accept(boost::asio::use_awaitable);
            boost::asio::co_spawn(
                context_, serve(std::move(accepted)), boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> serve(socket connection)
    {
        namespace http = boost::beast::http;
        boost::beast::flat_buffer buffer;
        http::request<http::string_body> request;
        co_await http::async_read(
            connection, buffer, request, boost::asio::use_awaitable);
        const fake_request received{
            std::string(request.method_string()), std::string(request.target()),
            std::string(request[http::field::authorization]), request.body()};
        {
            const std::lock_guard lock(mutex_);
            requests_.push_back(received);
        }
        const auto [status, body, drop] = answer_(received);
        if (drop)
        {
            co_return;
        }
        http::response<http::string_body> response(
            http::int_to_status(status), 11, body);
        response.keep_alive(false);
        response.prepare_payload();
        co_await http::async_write(
            connection, response, boost::asio::use_awaitable);
    }

    handler answer_;
    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    mutable std::mutex mutex_;
    std::vector<fake_request> requests_;
    std::thread thread_;
};

} // namespace cyclamenhold
