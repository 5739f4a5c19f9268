// Starts the programs of a small fleet as processes and sends requests to them.
// Signals go only to processes started here, by process id.
#pragma once

#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <boost/json.hpp>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace cyclamenhold::process_tests
{

namespace http = boost::beast::http;
namespace json = boost::json;

constexpr auto wait_limit = std::chrono::seconds(30);
constexpr const char* fleet_secret = "fleet-secret-of-tests";
constexpr const char* operator_credential = "operators-of-tests";

// Polls until the condition holds. Returns false when it does not hold within
// `limit`.
inline bool wait_until(
    const std::function<bool()>& condition,
    std::chrono::steady_clock::duration limit = wait_limit)
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (!condition())
    {
        if (std::chrono::steady_clock::now() > deadline)
        {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return true;
}

// A running program of the build folder. The destructor kills it.
class process
{
public:
    explicit process(std::vector<std::string> command)
    {
        int pipe_ends[2] = {-1, -1};
        if (::pipe(pipe_ends) != 0)
        {
            std::abort();
        }
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_adddup2(&actions, pipe_ends[1], STDOUT_FILENO);
        posix_spawn_file_actions_addclose(&actions, pipe_ends[0]);
        command[0] = std::string(CYCLAMEN_BIN_DIR "/") + command[0];
        std::vector<char*> arguments;
        arguments.reserve(command.size() + 1);
        for (auto& word : command)
        {
            arguments.push_back(word.data());
        }
        arguments.push_back(nullptr);
        ::posix_spawn(
            &id_, arguments[0], &actions, nullptr, arguments.data(), environ);
        posix_spawn_file_actions_destroy(&actions);
        ::close(pipe_ends[1]);
        FILE* const output = ::fdopen(pipe_ends[0], "r");
        char line[1024] = "{}";
        if (std::fgets(line, sizeof line, output) == nullptr)
        {
            std::snprintf(line, sizeof line, "{}");
        }
        first_line = json::parse(line).as_object();
        std::fclose(output);
    }
    ~process()
    {
        if (id_ > 0)
        {
            ::kill(id_, SIGKILL);
            ::waitpid(id_, nullptr, 0);
        }
    }
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    void signal(int number) const
    {
        ::kill(id_, number);
    }

    // Resident memory, from /proc.
    [[nodiscard]] std::size_t resident_bytes() const
    {
        std::size_t total = 0;
        std::size_t resident = 0;
        std::ifstream("/proc/" + std::to_string(id_) + "/statm") >> total >>
            resident;
        return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
    }

    // Waits for the process to exit. Returns the exit code, or the negated
    // number of the signal that ended it.
    int wait()
    {
        int status = 0;
        ::waitpid(id_, &status, 0);
        id_ = 0;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }

    [[nodiscard]] std::string endpoint(const std::string& name) const
    {
        return std::string(first_line.at(name).as_string());
    }

    // The JSON object that the program prints first, or an empty one.
    json::object first_line;

private:
    pid_t id_ = 0;
};

struct http_answer
{
    // 0 when the connection ended without a reply.
    unsigned status = 0;
    std::string outcome;
    std::string body;
};

struct http_call
{
    http::verb method = http::verb::get;
    std::string target;
    std::string bearer = {};
    std::string body = {};
    std::string idempotency_key = {};
};

// A client on one keep-alive connection.
class client
{
public:
    explicit client(const std::string& endpoint)
    {
        const auto colon = endpoint.find(':');
        boost::system::error_code failed;
        stream_.connect(
            {boost::asio::ip::make_address(endpoint.substr(0, colon)),
             static_cast<std::uint16_t>(std::stoi(endpoint.substr(colon + 1)))},
            failed);
    }

    http_answer send(const http_call& call)
    {
        http::request<http::string_body> request{call.method, call.target, 11};
        request.set(http::field::host, "test");
        if (!call.bearer.empty())
        {
            request.set(http::field::authorization, "Bearer " + call.bearer);
        }
        if (!call.idempotency_key.empty())
        {
            request.set("Idempotency-Key", call.idempotency_key);
        }
        request.body() = call.body;
        request.prepare_payload();
        boost::system::error_code error;
        http::write(stream_, request, error);
        http::response_parser<http::string_body> reply;
        reply.body_limit(boost::none);
        if (!error)
        {
            http::read(stream_, buffer_, reply, error);
        }
        if (error)
        {
            return {};
        }
        return {
            reply.get().result_int(),
            std::string(reply.get()["Cyclamen-Outcome"]), reply.get().body()};
    }

private:
    boost::asio::io_context io_;
    boost::beast::tcp_stream stream_{io_};
    boost::beast::flat_buffer buffer_;
};

inline http_answer send_once(const std::string& endpoint, const http_call& call)
{
    return client(endpoint).send(call);
}

// A platform, and nodes with upstreams in one data centre.
class fleet
{
public:
    fleet() : platform({"cyclamen-standin-platform"}) {}

    void add_node()
    {
        const std::string path = testing::TempDir() + "cyclamen_node_" +
                                 std::to_string(::getpid()) + "_" +
                                 std::to_string(nodes.size()) + ".json";
        json::object listen;
        for (const char* name : {"callers", "upstream", "peers", "operators"})
        {
            listen[name] = "127.0.0.1:0";
        }
        std::ofstream(path) << json::serialize(json::object{
            {"name", "node-" + std::to_string(nodes.size())},
            {"data_centre", "brno"},
            {"region", "moravia"},
            {"listen", listen},
            {"fleet_secret", fleet_secret},
            {"operator_credential", operator_credential},
            {"platform", platform.endpoint("listening")},
            {"stop_timeout_ms", stop_timeout.count()},
            {"limits", limits},
            {"log", json::object{{"level", "error"}}}});
        nodes.push_back(std::make_unique<process>(
            std::vector<std::string>{"cyclamen-node", "--settings", path}));
    }

    void add_upstream(
        std::size_t node, const std::string& service,
        const std::vector<std::string>& extra_arguments = {})
    {
        std::vector<std::string> command{
            "cyclamen-standin-upstream",
            "--service",
            service,
            "--node",
            nodes[node]->endpoint("upstream"),
            "--service-time-ms",
            "2",
            "--distribution",
            "fixed"};
        command.insert(
            command.end(), extra_arguments.begin(), extra_arguments.end());
        upstreams.push_back(std::make_unique<process>(command));
    }

    // Plans and confirms a change of the configuration by JSON operations.
    void configure(const json::array& operations)
    {
        const std::string body =
            json::serialize(json::object{{"operations", operations}});
        const auto planned = send_once(
            nodes[0]->endpoint("operators"),
            {http::verb::post, "/v1/intents", operator_credential, body, {}});
        ASSERT_EQ(planned.status, 200U) << planned.body;
        json::object confirm{
            {"plan", json::parse(planned.body).at("plan").as_string()}};
        ASSERT_TRUE(wait_until(
            [&]
            {
                return send_once(
                           nodes[0]->endpoint("operators"),
                           {http::verb::post,
                            "/v1/plans/confirm",
                            operator_credential,
                            json::serialize(confirm),
                            {}})
                           .status == 200;
            }));
    }

    // Waits until a request for the target at this node gets status 200.
    // Returns false after `wait_limit`.
    [[nodiscard]] bool wait_until_served(
        std::size_t node, const std::string& target, const std::string& key)
    {
        return wait_until(
            [&]
            {
                return send_once(
                           nodes[node]->endpoint("callers"),
                           {http::verb::get, target, key, {}, {}})
                           .status == 200;
            });
    }

    // For the nodes added from now on.
    std::chrono::milliseconds stop_timeout{30'000};
    json::object limits;
    process platform;
    std::vector<std::unique_ptr<process>> nodes;
    std::vector<std::unique_ptr<process>> upstreams;
};

} // namespace cyclamenhold::process_tests
