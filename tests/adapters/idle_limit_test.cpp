// The operators' limit for idle connections of callers.
#include "adapters/clock.hpp"
#include "adapters/node_runtime.hpp"
#include "platform/operator_document.hpp"
#include "platform/protocol_profile.hpp"
#include "platform/store_protocol.hpp"
#include "process/fleet_processes.hpp"
#include "support/running_platform.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <memory>
#include <string>

namespace cyclamenhold
{
namespace
{

namespace http = process_tests::http;
using process_tests::http_answer;
using process_tests::send_once;
using process_tests::wait_until;

// A caller that stays idle after a reply.
class idle_caller
{
public:
    explicit idle_caller(const ip_endpoint& callers)
    {
        socket_.connect(
            {boost::asio::ip::address_v4(callers.address), callers.port});
        boost::asio::write(
            socket_, boost::asio::buffer(std::string(
                         "GET /none HTTP/1.1\r\nHost: test\r\n\r\n")));
        http::response<http::string_body> reply;
        boost::system::error_code error;
        http::read(socket_, buffer_, reply, error);
        EXPECT_EQ(reply.result_int(), 404U);
    }

    // The time until the node closes the connection.
    duration wait_for_end()
    {
        const time_point start = now();
        char byte = 0;
        boost::system::error_code error;
        boost::asio::read(socket_, boost::asio::buffer(&byte, 1), error);
        EXPECT_EQ(error, boost::asio::error::eof);
        return now() - start;
    }

private:
    boost::asio::io_context io_;
    boost::asio::ip::tcp::socket socket_{io_};
    boost::beast::flat_buffer buffer_;
};

class idle_limits : public testing::Test
{
protected:
    idle_limits()
    {
        node_settings settings;
        settings.name = "brno-1";
        settings.data_centre = "brno";
        settings.region = "moravia";
        settings.listen = {any_port, any_port, any_port, any_port};
        settings.platform = platform.endpoint();
        auto started = start_node(
            settings, {"0123456789abcdef", "operators-only-123"},
            profile_of(interface_kind::platform), {});
        EXPECT_TRUE(started.ok()) << started.status();
        node = *std::move(started);
    }

    ~idle_limits() override
    {
        const std::atomic<bool> abort_requests{true};
        static_cast<void>(stop_node(*node, abort_requests));
    }

    // Writes a configuration with this limit and waits until it is in force.
    void configure(const std::string& seconds)
    {
        ++version;
        const std::string name = std::to_string(version);
        platform_call call;
        call.operation = platform_operation::compare_and_swap;
        call.key = platform::document_key;
        call.expected_version = document_revision;
        call.value = R"({"version":"0000000)" + name +
                     R"(","resources":[{"type":"limits","metadata":{},"spec":)"
                     R"({"idleTimeoutS":)" +
                     seconds + "}}]}";
        const auto request = platform::store_codec().encode_call(call);
        const http_answer written = send_once(
            to_string(platform.endpoint()),
            {http::verb::post, request.target, {}, request.body, {}});
        ASSERT_EQ(written.status, 200U) << written.body;
        document_revision = static_cast<std::uint64_t>(
            boost::json::parse(written.body).at("rev").to_number<int>());
        ASSERT_TRUE(wait_until(
            [&]
            {
                const auto metrics = send_once(
                    to_string(ports_of(*node).operators),
                    {http::verb::get, "/metrics", "operators-only-123"});
                return metrics.body.find("revision " + name) !=
                       std::string::npos;
            }));
    }

    running_platform platform;
    std::shared_ptr<node_runtime> node;
    int version = 0;
    std::uint64_t document_revision = 0;
};

// The limit of the configuration was read and not used: the node's own, 60 s,
// closed connections that callers might still use, or kept them for too long.
TEST_F(idle_limits, are_those_of_the_configuration)
{
    configure("0.5");
    ASSERT_TRUE(wait_until(
        [&]
        {
            return send_once(
                       to_string(ports_of(*node).callers),
                       {http::verb::get, "/none"})
                       .status == 404;
        }));
    const duration idle = idle_caller(ports_of(*node).callers).wait_for_end();
    EXPECT_GT(idle, 400ms);
    EXPECT_LT(idle, 5s);
    {
        SCOPED_TRACE("a connection that is idle already gets more time");
        configure("1.5");
        idle_caller caller(ports_of(*node).callers);
        configure("3");
        EXPECT_GT(caller.wait_for_end(), 2s);
    }
}

} // namespace
} // namespace cyclamenhold
