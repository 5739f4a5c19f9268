// Callers that send further requests on a connection before the first is
// answered.
#include <gtest/gtest.h>

#include "process/scripted_upstream.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <thread>

namespace cyclamenhold
{
namespace
{

using namespace process_tests;
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
// the name. A path with "broken" gets a truncated reply.
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
        std::this_thread::sleep_for(std::chrono::milliseconds(
            std::stoi(target.substr(second + 1, third - second - 1))));
        {
            const std::scoped_lock lock(mutex);
            --running;
        }
        if (name.starts_with("broken"))
        {
            reply.write("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n");
            reply.write(std::string(100'000, 'x'));
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
    std::unique_ptr<scripted_upstream> upstream;
};

// Four requests of 0.4 s took 1.6 s.
TEST_F(
    pipelining, repeatable_requests_run_side_by_side_and_are_answered_in_order)
{
    auto caller = connect();
    const auto start = clock::now();
    caller.send(
        get("safe", 400, "a") + get("safe", 100, "b") + get("safe", 300, "c") +
        get("safe", 10, "d"));
    for (const std::string name : {"a", "b", "c", "d"})
    {
        EXPECT_EQ(caller.read(), std::pair(200U, name));
    }
    EXPECT_LT(clock::now() - start, 800ms);
    {
        SCOPED_TRACE("more than the bound wait in the connection");
        std::string many;
        for (int i = 0; i < 30; ++i)
        {
            many += get("safe", 50, "n" + std::to_string(i));
        }
        caller.send(many);
        for (int i = 0; i < 30; ++i)
        {
            EXPECT_EQ(caller.read(), std::pair(200U, "n" + std::to_string(i)));
        }
        EXPECT_LE(most_running, 8);
        EXPECT_GE(most_running, 4);
    }
}

// One that must not be repeated runs only when nothing before it can close the
// connection any more.
TEST_F(pipelining, a_request_that_runs_once_waits_for_those_before_it)
{
    auto caller = connect();
    caller.send(
        get("safe", 300, "first") + get("once", 0, "second") +
        get("safe", 0, "third"));
    EXPECT_EQ(caller.read(), std::pair(200U, std::string("first")));
    EXPECT_EQ(caller.read(), std::pair(200U, std::string("second")));
    EXPECT_EQ(caller.read(), std::pair(200U, std::string("third")));
    const std::scoped_lock lock(mutex);
    EXPECT_GE(started["second"] - started["first"], 290ms);
    EXPECT_GE(started["third"], started["second"]);
}

TEST_F(pipelining, what_is_behind_a_closing_answer_does_not_run)
{
    auto caller = connect();
    caller.send(get("safe", 100, "broken") + get("once", 0, "behind"));
    EXPECT_EQ(caller.read().first, 0U);
    std::this_thread::sleep_for(300ms);
    EXPECT_FALSE(has_started("behind"));
    {
        SCOPED_TRACE("a request that asks for the end of the connection");
        auto other = connect();
        other.send(
            "GET /safe/10/last HTTP/1.1\r\nHost: test\r\nConnection: "
            "close\r\n\r\n" +
            get("safe", 0, "later"));
        EXPECT_EQ(other.read(), std::pair(200U, std::string("last")));
        EXPECT_EQ(other.read().first, 0U);
        EXPECT_FALSE(has_started("later"));
    }
}

TEST_F(pipelining, a_caller_that_leaves_ends_all_of_its_requests)
{
    auto caller = connect();
    caller.send(get("safe", 200, "x") + get("safe", 200, "y"));
    EXPECT_TRUE(wait_until(
        [this]
        {
            return has_started("x") && has_started("y");
        }));
    caller.close();
    {
        SCOPED_TRACE("others are not affected");
        auto other = connect();
        other.send(get("safe", 10, "z"));
        EXPECT_EQ(other.read(), std::pair(200U, std::string("z")));
    }
}

// Requests that already run when a planned stop begins are answered, each of
// them.
TEST_F(pipelining, a_planned_stop_in_the_middle)
{
    auto caller = connect();
    caller.send(
        get("safe", 600, "p") + get("safe", 500, "q") + get("safe", 700, "r"));
    EXPECT_TRUE(wait_until(
        [this]
        {
            return has_started("r");
        }));
    hosts.nodes[0]->signal(SIGTERM);
    EXPECT_EQ(caller.read(), std::pair(200U, std::string("p")));
    EXPECT_EQ(caller.read(), std::pair(200U, std::string("q")));
    EXPECT_EQ(caller.read(), std::pair(200U, std::string("r")));
    EXPECT_EQ(caller.read().first, 0U);
}

// A malformed request behind a proper one is answered after it.
TEST_F(pipelining, a_malformed_request_behind_others)
{
    auto caller = connect();
    caller.send(get("safe", 200, "good") + "NONSENSE\r\n\r\n");
    EXPECT_EQ(caller.read(), std::pair(200U, std::string("good")));
    EXPECT_EQ(caller.read().first, 400U);
    EXPECT_EQ(caller.read().first, 0U);
}

} // namespace
} // namespace cyclamenhold
