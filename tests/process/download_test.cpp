// Large replies through two nodes: whole or recognisably broken, with bounded
// memory at both nodes.
#include <gtest/gtest.h>

#include "process/scripted_upstream.hpp"

#include <array>
#include <map>
#include <optional>

namespace cyclamenhold
{
namespace
{

using namespace process_tests;

constexpr std::size_t mebibyte = 1024 * 1024;

// Bytes that differ at each position, so that lost, doubled or moved pieces
// show.
std::string pattern(std::size_t size)
{
    std::string text(size, '\0');
    std::uint32_t value = 1;
    for (char& letter : text)
    {
        value = value * 1'664'525 + 1'013'904'223;
        letter = static_cast<char>('a' + (value >> 24) % 26);
    }
    return text;
}

std::string head_with_length(std::size_t size)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(size) +
           "\r\n\r\n";
}

// A caller that sends one request and reads the reply only when it is told to.
class slow_caller
{
public:
    slow_caller(const std::string& endpoint, const std::string& target)
    {
        const auto port = static_cast<std::uint16_t>(
            std::stoi(endpoint.substr(endpoint.find(':') + 1)));
        socket_.open(tcp::v4());
        socket_.set_option(boost::asio::socket_base::receive_buffer_size(4096));
        socket_.connect({boost::asio::ip::address_v4::loopback(), port});
        boost::asio::write(
            socket_, boost::asio::buffer(
                         "GET " + target + " HTTP/1.1\r\nHost: test\r\n\r\n"));
    }

    // Reads the whole reply; nothing if it is truncated.
    std::optional<std::string> read()
    {
        boost::beast::flat_buffer buffer;
        http::response_parser<http::string_body> reply;
        reply.body_limit(boost::none);
        boost::system::error_code error;
        http::read(socket_, buffer, reply, error);
        if (error || reply.get().result_int() != 200)
        {
            return std::nullopt;
        }
        return std::move(reply.get().body());
    }

private:
    boost::asio::io_context io_;
    tcp::socket socket_{io_};
};

// Two nodes; requests enter at the first, the upstream is at the second.
class downloads : public testing::Test
{
protected:
    void start(reply_script script)
    {
        hosts.add_node();
        hosts.add_node();
        upstream = std::make_unique<scripted_upstream>(
            hosts.nodes[1]->endpoint("upstream"), "drawings",
            [script = std::move(script)](
                const scripted_request& request, scripted_reply& reply)
            {
                if (request.target != "/plans/ready")
                {
                    return script(request, reply);
                }
                return reply.write(head_with_length(2) + "ok");
            });
        hosts.configure(
            {{{"op", "put-data-centre"},
              {"name", "brno"},
              {"region", "moravia"},
              {"weight", 1}},
             {{"op", "put-route"},
              {"name", "plans"},
              {"path_prefix", "/plans"},
              {"service", "drawings"},
              {"retry_allowance", 0},
              {"deadline_ms", 20'000},
              {"open", true}}});
        ASSERT_TRUE(hosts.wait_until_served(0, "/plans/ready", {}));
    }

    [[nodiscard]] std::string entry() const
    {
        return hosts.nodes[0]->endpoint("callers");
    }

    fleet hosts;
    std::unique_ptr<scripted_upstream> upstream;
};

// Guards against lost or doubled pieces of a reply that is far larger than all
// windows between the two nodes.
TEST_F(downloads, large_reply_arrives_unchanged)
{
    const std::string plan = pattern(48 * mebibyte);
    const auto chunked = [](std::string_view bytes)
    {
        std::array<char, 20> size{};
        std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
        return size.data() + std::string(bytes) + "\r\n";
    };
    start(
        [&](const scripted_request& request, scripted_reply& reply)
        {
            if (request.target == "/plans/length")
            {
                return reply.write(head_with_length(plan.size()) + plan);
            }
            if (request.target == "/plans/close")
            {
                reply.write("HTTP/1.1 200 OK\r\n\r\n" + plan);
                return false;
            }
            return reply.write(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                chunked(std::string_view(plan).substr(0, 77'777)) +
                chunked(std::string_view(plan).substr(77'777)) + "0\r\n\r\n");
        });
    for (const char* target :
         {"/plans/length", "/plans/chunked", "/plans/close"})
    {
        SCOPED_TRACE(target);
        const auto answer = send_once(entry(), {http::verb::get, target});
        EXPECT_EQ(answer.status, 200U);
        EXPECT_TRUE(answer.body == plan);
    }
}

// Guards against a reply that ends early at the upstream and looks complete to
// the caller.
TEST_F(downloads, truncated_reply_never_looks_complete)
{
    const std::string plan = pattern(mebibyte);
    const std::string chunked_head =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    // The bytes that the upstream sends, by target, before it ends the
    // connection.
    const std::map<std::string, std::string> replies{
        {"/plans/nothing", ""},
        {"/plans/in-head", "HTTP/1.1 200 OK\r\nContent-Le"},
        {"/plans/after-head", head_with_length(plan.size())},
        {"/plans/in-first-piece",
         head_with_length(plan.size()) + plan.substr(0, 100)},
        {"/plans/in-middle",
         head_with_length(plan.size()) + plan.substr(0, plan.size() / 2)},
        {"/plans/before-last-byte",
         head_with_length(plan.size()) + plan.substr(0, plan.size() - 1)},
        {"/plans/small", head_with_length(100) + plan.substr(0, 99)},
        {"/plans/chunked-in-size", chunked_head + "10"},
        {"/plans/chunked-in-chunk",
         chunked_head + "100\r\n" + plan.substr(0, 9)},
        {"/plans/chunked-before-end",
         chunked_head + "100000\r\n" + plan + "\r\n"}};
    start(
        [&](const scripted_request& request, scripted_reply& reply)
        {
            const bool by_reset = request.target.ends_with("?reset");
            reply.write(
                replies.at(request.target.substr(0, request.target.find('?'))));
            if (by_reset)
            {
                reply.reset();
            }
            return false;
        });
    for (const auto& [target, bytes] : replies)
    {
        for (const char* end : {"", "?reset"})
        {
            SCOPED_TRACE(target + end);
            const auto answer =
                send_once(entry(), {http::verb::get, target + end});
            // 0 if the caller's connection ended inside the reply.
            EXPECT_TRUE(answer.status == 0U || answer.status >= 500U)
                << answer.status;
            EXPECT_NE(answer.outcome, "not-run");
        }
    }
    EXPECT_TRUE(hosts.wait_until_served(0, "/plans/ready", {}));
}

// Guards against replies that are buffered for callers who read slowly, and
// against callers who wait for them.
TEST_F(downloads, slow_readers_hold_bounded_memory)
{
    constexpr std::size_t readers = 16;
    // The reply's window between the nodes, the pieces in hand on both sides
    // and the frames in both directions.
    constexpr std::size_t allowed_per_reader = mebibyte;
    const std::string plan = pattern(12 * mebibyte);
    start(
        [&](const scripted_request&, scripted_reply& reply)
        {
            return reply.write(head_with_length(plan.size()) + plan);
        });
    const std::size_t entry_before = hosts.nodes[0]->resident_bytes();
    const std::size_t upstream_before = hosts.nodes[1]->resident_bytes();
    std::vector<std::unique_ptr<slow_caller>> callers;
    for (std::size_t i = 0; i < readers; ++i)
    {
        callers.push_back(
            std::make_unique<slow_caller>(entry(), "/plans/slow"));
    }
    {
        SCOPED_TRACE("other callers are served meanwhile");
        for (int i = 0; i < 20; ++i)
        {
            EXPECT_EQ(
                send_once(entry(), {http::verb::get, "/plans/ready"}).status,
                200U);
        }
    }
    {
        SCOPED_TRACE("both nodes hold a window for each reader, not the reply");
        std::this_thread::sleep_for(std::chrono::seconds(1));
        EXPECT_LE(
            hosts.nodes[0]->resident_bytes(),
            entry_before + readers * allowed_per_reader);
        EXPECT_LE(
            hosts.nodes[1]->resident_bytes(),
            upstream_before + readers * allowed_per_reader);
    }
    {
        SCOPED_TRACE("the replies are whole when they are read at last");
        for (auto& caller : callers)
        {
            const auto body = caller->read();
            ASSERT_TRUE(body);
            EXPECT_TRUE(*body == plan);
        }
    }
}

} // namespace
} // namespace cyclamenhold
