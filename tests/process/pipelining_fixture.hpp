// A caller that sends further requests on a connection before the first is
// answered, and a node with a scripted upstream.
#pragma once

#include <gtest/gtest.h>

#include "process/scripted_upstream.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <thread>

namespace cyclamenhold::process_tests
{

using namespace std::chrono_literals;
using clock = std::chrono::steady_clock;

// A caller's connection.
class pipelining_caller
{
public:
    explicit pipelining_caller(const std::string& endpoint)
    {
        const auto port = static_cast<std::uint16_t>(
            std::stoi(endpoint.substr(endpoint.find(':') + 1)));
        socket_.connect({boost::asio::ip::address_v4::loopback(), port});
    }

    void send(const std::string& targets_and_methods)
    {
        boost::asio::write(socket_, boost::asio::buffer(targets_and_methods));
    }

    // As send; the connection may have ended.
    void try_send(const std::string& requests)
    {
        boost::system::error_code ignored;
        boost::asio::write(socket_, boost::asio::buffer(requests), ignored);
    }

    static std::string
    request(const std::string& method, const std::string& target)
    {
        return method + ' ' + target +
               " HTTP/1.1\r\nHost: test\r\nContent-Length: 0\r\n\r\n";
    }

    // The next reply; status 0 when the connection ended without one.
    std::pair<unsigned, std::string> read()
    {
        http::response_parser<http::string_body> reply;
        boost::system::error_code error;
        http::read(socket_, buffer_, reply, error);
        if (error)
        {
            return {0, error.message()};
        }
        return {reply.get().result_int(), reply.get().body()};
    }

    void close()
    {
        socket_.close();
    }

private:
    boost::asio::io_context io_;
    tcp::socket socket_{io_};
    boost::beast::flat_buffer buffer_;
};

// One node whose upstream answers a path like /safe/300/name after 300 ms with
// the name. A path with "broken" gets a truncated reply, one with "stalled"
// after 500 ms, and one with "hung" after 8 s.
class pipelining : public testing::Test
{
protected:
    void SetUp() override
    {
        hosts.add_node();
        upstream = std::make_unique<scripted_upstream>(
            hosts.nodes[0]->endpoint("upstream"), "shop",
            [this](const scripted_request& request, scripted_reply& reply)
            {
                return answer(request.target, reply);
            });
        json::array operations{
            {{"op", "put-data-centre"},
             {"name", "brno"},
             {"region", "moravia"},
             {"weight", 1}}};
        for (const bool repeatable : {true, false})
        {
            const std::string name = repeatable ? "safe" : "once";
            operations.push_back(
                {{"op", "put-route"},
                 {"name", name},
                 {"path_prefix", "/" + name},
                 {"service", "shop"},
                 {"retry_allowance", 0},
                 {"never_repeat", !repeatable},
                 {"deadline_ms", 5'000},
                 {"open", true}});
        }
        hosts.configure(operations);
        ASSERT_TRUE(hosts.wait_until_served(0, "/safe/0/ready", {}));
        ASSERT_TRUE(hosts.wait_until_served(0, "/once/0/ready", {}));
        const std::scoped_lock lock(mutex);
        started.clear();
    }

    bool answer(const std::string& target, scripted_reply& reply)
    {
        const auto second = target.find('/', 1);
        const auto third = target.find('/', second + 1);
        const std::string name = target.substr(third + 1);
        {
            const std::scoped_lock lock(mutex);
            started[name] = clock::now();
            ++running;
            most_running = std::max(most_running, running);
        }
        const auto until =
            clock::now() + std::chrono::milliseconds(std::stoi(
                               target.substr(second + 1, third - second - 1)));
        bool is_cancelled = false;
        while (!is_cancelled && clock::now() < until)
        {
            std::this_thread::sleep_for(5ms);
            is_cancelled = reply.is_closed();
        }
        {
            const std::scoped_lock lock(mutex);
            --running;
            cancelled += is_cancelled ? 1 : 0;
        }
        if (name.find("long") != std::string::npos)
        {
            return reply.write(
                "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" +
                std::string(200'000, 'x'));
        }
        if (name.starts_with("broken") || name.starts_with("stalled") ||
            name.starts_with("hung"))
        {
            reply.write("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n");
            reply.write(std::string(100'000, 'x'));
            const auto silence = name.starts_with("hung")      ? 8'000ms
                                 : name.starts_with("stalled") ? 500ms
                                                               : 0ms;
            const auto silent_until = clock::now() + silence;
            while (clock::now() < silent_until && !reply.is_closed())
            {
                std::this_thread::sleep_for(5ms);
            }
            return false;
        }
        return reply.write(
            "HTTP/1.1 200 OK\r\nContent-Length: " +
            std::to_string(name.size()) + "\r\n\r\n" + name);
    }

    [[nodiscard]] bool has_started(const std::string& name)
    {
        const std::scoped_lock lock(mutex);
        return started.contains(name);
    }

    [[nodiscard]] bool has_cancelled(int count)
    {
        const std::scoped_lock lock(mutex);
        return cancelled >= count;
    }

    [[nodiscard]] pipelining_caller connect() const
    {
        return pipelining_caller(hosts.nodes[0]->endpoint("callers"));
    }

    static std::string
    get(const std::string& route, int milliseconds, const std::string& name)
    {
        return pipelining_caller::request(
            "GET",
            '/' + route + '/' + std::to_string(milliseconds) + '/' + name);
    }

    fleet hosts;
    std::mutex mutex;
    std::map<std::string, clock::time_point> started;
    int running = 0;
    int most_running = 0;
    // Requests whose connection the node closed while they ran.
    int cancelled = 0;
    std::unique_ptr<scripted_upstream> upstream;
};

} // namespace cyclamenhold::process_tests
