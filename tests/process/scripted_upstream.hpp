// An upstream whose replies are written byte by byte by a test: truncated,
// endless or doubled ones, which the stand-in upstream cannot send.
#pragma once

#include "process/fleet_processes.hpp"

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace cyclamenhold::process_tests
{

using tcp = boost::asio::ip::tcp;

// One request as the upstream received it.
struct scripted_request
{
    std::string target;
    std::string body;
};

// Writes to one connection of the node. Each function returns false once the
// node has closed it.
class scripted_reply
{
public:
    explicit scripted_reply(tcp::socket& socket) : socket_(socket) {}

    bool write(std::string_view bytes)
    {
        boost::system::error_code error;
        boost::asio::write(
            socket_, boost::asio::buffer(bytes.data(), bytes.size()), error);
        sent += error ? 0 : bytes.size();
        return !error;
    }

    // Writes `piece` until the node closes the connection, or `most` bytes are
    // written. True if the node closed it.
    bool write_endlessly(const std::string& piece, std::size_t most)
    {
        while (sent < most)
        {
            if (!write(piece))
            {
                return true;
            }
        }
        return false;
    }

    // Whether the node has closed the connection.
    [[nodiscard]] bool is_closed()
    {
        char byte = 0;
        return ::recv(
                   socket_.native_handle(), &byte, 1,
                   MSG_PEEK | MSG_DONTWAIT) == 0;
    }

    // Ends the connection without a closing handshake.
    void reset()
    {
        boost::system::error_code ignored;
        socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        socket_.close(ignored);
    }

    std::size_t sent = 0;

private:
    tcp::socket& socket_;
};

// Answers one request. True keeps the connection open for another one.
using reply_script =
    std::function<bool(const scripted_request&, scripted_reply&)>;

// Accepts connections until it is destroyed, each on a thread of its own, and
// announces itself to a node.
class scripted_upstream
{
public:
    scripted_upstream(
        const std::string& node_upstream_endpoint, const std::string& service,
        reply_script script)
        : script_(std::move(script))
    {
        const json::object announcement{
            {"service", service},
            {"endpoint",
             "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port())},
            {"slots", 200},
            {"connections", 500},
            {"warm_up_ms", 0}};
        accepting_ = std::thread(
            [this]
            {
                accept();
            });
        announcing_ = std::thread(
            [this, node_upstream_endpoint, body = json::serialize(announcement)]
            {
                while (!stopping_)
                {
                    send_once(
                        node_upstream_endpoint, {http::verb::post,
                                                 "/v1/upstream/announce",
                                                 {},
                                                 body,
                                                 {}});
                    std::this_thread::sleep_for(std::chrono::milliseconds(200));
                }
            });
    }

    ~scripted_upstream()
    {
        stopping_ = true;
        announcing_.join();
        // Wakes the blocking accept.
        boost::asio::io_context io;
        tcp::socket socket(io);
        boost::system::error_code ignored;
        socket.connect(acceptor_.local_endpoint(), ignored);
        accepting_.join();
        {
            const std::scoped_lock lock(mutex_);
            for (const auto& connection : connections_)
            {
                connection->shutdown(tcp::socket::shutdown_both, ignored);
            }
        }
        for (auto& thread : threads_)
        {
            thread.join();
        }
    }
    scripted_upstream(const scripted_upstream&) = delete;
    scripted_upstream& operator=(const scripted_upstream&) = delete;

    // Connections that the node has opened.
    std::atomic<int> accepted{0};

private:
    void accept()
    {
        while (!stopping_)
        {
            auto connection = std::make_shared<tcp::socket>(io_);
            boost::system::error_code error;
            acceptor_.accept(*connection, error);
            if (error || stopping_)
            {
                continue;
            }
            ++accepted;
            const std::scoped_lock lock(mutex_);
            connections_.push_back(connection);
            threads_.emplace_back(
                [this, connection]
                {
                    serve(*connection);
                });
        }
    }

    void serve(tcp::socket& connection)
    {
        boost::beast::flat_buffer buffer;
        bool open = true;
        while (open)
        {
            http::request_parser<http::string_body> parser;
            parser.body_limit(boost::none);
            boost::system::error_code error;
            http::read(connection, buffer, parser, error);
            if (error)
            {
                break;
            }
            scripted_reply reply(connection);
            open = script_(
                {std::string(parser.get().target()), parser.get().body()},
                reply);
        }
        boost::system::error_code ignored;
        connection.shutdown(tcp::socket::shutdown_both, ignored);
    }

    boost::asio::io_context io_;
    tcp::acceptor acceptor_{
        io_, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)};
    reply_script script_;
    std::atomic<bool> stopping_{false};
    std::mutex mutex_;
    std::vector<std::shared_ptr<tcp::socket>> connections_;
    std::vector<std::thread> threads_;
    std::thread accepting_;
    std::thread announcing_;
};

} // namespace cyclamenhold::process_tests
