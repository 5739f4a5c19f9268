// The stand-in platform on a thread of the test's process.
#pragma once

#include "core/base/ip_endpoint.hpp"
#include "platform_server.hpp"

#include <future>
#include <memory>
#include <string>
#include <thread>

#include <boost/asio.hpp>

namespace cyclamenhold
{

// Any free port of the loopback interface.
inline const ip_endpoint any_port = *parse_ip_endpoint("127.0.0.1:0");

class running_platform
{
public:
    running_platform() : server_(make_platform_server(context_.get_executor()))
    {
        const auto bound = start_platform_server(
            server_, {boost::asio::ip::address_v4::loopback(), 0});
        endpoint_ = {any_port.address, bound->port()};
        thread_ = std::thread(
            [this]
            {
                context_.run();
            });
    }
    ~running_platform()
    {
        context_.stop();
        thread_.join();
    }
    running_platform(const running_platform&) = delete;
    running_platform& operator=(const running_platform&) = delete;

    [[nodiscard]] ip_endpoint endpoint() const
    {
        return endpoint_;
    }

    // Whether the store has an entry whose key begins so.
    [[nodiscard]] bool has_entry(const std::string& prefix)
    {
        std::promise<bool> result;
        boost::asio::post(
            context_,
            [&]
            {
                const auto& values = platform_store(*server_).values;
                const auto found = values.lower_bound(prefix);
                result.set_value(
                    found != values.end() && found->first.starts_with(prefix));
            });
        return result.get_future().get();
    }

private:
    boost::asio::io_context context_;
    std::shared_ptr<platform_server> server_;
    ip_endpoint endpoint_;
    std::thread thread_;
};

} // namespace cyclamenhold
