// Replies without a body on a caller's kept connection.
#include <gtest/gtest.h>

#include "process/scripted_upstream.hpp"

namespace cyclamenhold
{
namespace
{

using namespace process_tests;

// A caller that reads its replies byte by byte.
class raw_caller
{
public:
    explicit raw_caller(const std::string& endpoint)
    {
        const auto port = static_cast<std::uint16_t>(
            std::stoi(endpoint.substr(endpoint.find(':') + 1)));
        socket_.connect({boost::asio::ip::address_v4::loopback(), port});
    }

    // Sends a request and reads the head of its reply, up to the empty line.
    std::string read_head(const std::string& method, const std::string& target)
    {
        boost::asio::write(
            socket_, boost::asio::buffer(
                         method + ' ' + target +
                         " HTTP/1.1\r\nHost: test\r\n"
                         "Content-Length: 0\r\n\r\n"));
        std::string head;
        char byte = 0;
        boost::system::error_code error;
        while (!error && !head.ends_with("\r\n\r\n"))
        {
            boost::asio::read(socket_, boost::asio::buffer(&byte, 1), error);
            head += error ? "" : std::string(1, byte);
        }
        return head;
    }

private:
    boost::asio::io_context io_;
    tcp::socket socket_{io_};
};

// Two nodes. The upstream beside the second one answers a path with the head
// that is named in it, without a body.
class bodyless_replies : public testing::Test
{
protected:
    bodyless_replies()
    {
        hosts.add_node();
        hosts.add_node();
        upstream = std::make_unique<scripted_upstream>(
            hosts.nodes[1]->endpoint("upstream"), "notes",
            [](const scripted_request& request, scripted_reply& reply)
            {
                return reply.write(head_for(request.target));
            });
        hosts.configure(
            {{{"op", "put-data-centre"},
              {"name", "brno"},
              {"region", "moravia"},
              {"weight", 1}},
             {{"op", "put-route"},
              {"name", "notes"},
              {"path_prefix", "/notes"},
              {"service", "notes"},
              {"open", true}}});
    }

    static std::string head_for(const std::string& target)
    {
        const auto status = [&](const char* line)
        {
            return std::string("HTTP/1.1 ") + line + "\r\n";
        };
        if (target.ends_with("/204"))
        {
            return status("204 No Content") + "\r\n";
        }
        if (target.ends_with("/304"))
        {
            return status("304 Not Modified") + "\r\n";
        }
        if (target.ends_with("/chunked"))
        {
            return status("200 OK") + "Transfer-Encoding: chunked\r\n\r\n";
        }
        if (target.ends_with("/sized"))
        {
            return status("200 OK") + "Content-Length: 200000\r\n\r\n";
        }
        return status("200 OK") + "Content-Length: 0\r\n\r\n";
    }

    fleet hosts;
    std::unique_ptr<scripted_upstream> upstream;
};

// A 204 from another host was framed as chunked: the bytes of an empty chunk
// stood on the connection where the next reply was due (MIXED).
TEST_F(bodyless_replies, end_with_their_head)
{
    struct call
    {
        const char* method;
        const char* target;
        const char* line;
    };
    for (std::size_t node = 0; node < 2; ++node)
    {
        SCOPED_TRACE(node == 0 ? "another host's" : "the same host's");
        ASSERT_TRUE(hosts.wait_until_served(node, "/notes/ready", {}));
        raw_caller caller(hosts.nodes[node]->endpoint("callers"));
        for (const auto& [method, target, line] :
             {call{"POST", "/notes/204", "HTTP/1.1 204"},
              call{"GET", "/notes/204", "HTTP/1.1 204"},
              call{"GET", "/notes/304", "HTTP/1.1 304"},
              call{"HEAD", "/notes/none", "HTTP/1.1 200"},
              call{"HEAD", "/notes/chunked", "HTTP/1.1 200"},
              call{"HEAD", "/notes/sized", "HTTP/1.1 200"},
              call{"GET", "/notes/204", "HTTP/1.1 204"}})
        {
            SCOPED_TRACE(std::string(method) + ' ' + target);
            const std::string head = caller.read_head(method, target);
            EXPECT_TRUE(head.starts_with(line)) << head;
            EXPECT_EQ(head.find("chunked"), std::string::npos) << head;
        }
    }
}

// The refusal of a HEAD request bore a body, whose bytes stood where the next
// reply was due (MIXED).
TEST_F(bodyless_replies, to_a_refused_head_request_end_with_their_head)
{
    raw_caller caller(hosts.nodes[0]->endpoint("callers"));
    for (int repeat = 0; repeat < 3; ++repeat)
    {
        const std::string head = caller.read_head("HEAD", "/unknown");
        EXPECT_TRUE(head.starts_with("HTTP/1.1 404")) << head;
        EXPECT_NE(head.find("Content-Length"), std::string::npos) << head;
    }
}

} // namespace
} // namespace cyclamenhold
