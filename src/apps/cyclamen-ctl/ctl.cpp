#include "ctl.hpp"

#include "ctl_arguments.hpp"
#include "ctl_operations.hpp"
#include "new_key.hpp"

#include "adapters/files.hpp"
#include "adapters/json_text.hpp"
#include "adapters/operators_client.hpp"
#include "adapters/secrets.hpp"

#include <fstream>
#include <ostream>

namespace cyclamenhold
{
namespace
{

namespace json = boost::json;

constexpr unsigned http_ok = 200;
constexpr unsigned http_accepted = 202;
constexpr unsigned http_unavailable = 503;

// The context of one command.
struct ctl_session
{
    const ctl_arguments& arguments;
    operators_access access;
    std::ostream& out;
    std::ostream& errors;
};

bool is_success(const operators_reply& reply)
{
    return reply.status == http_ok || reply.status == http_accepted;
}

// Prints the message of a reply, then its findings or changes; each is left out
// if the reply does not contain it.
void print_refusal(std::ostream& errors, const operators_reply& reply)
{
    const auto object = parse_object(reply.body);
    if (!object)
    {
        errors << "the node answered with status " << reply.status << '\n';
        return;
    }
    if (const std::string message = text_of(*object, "message");
        !message.empty())
    {
        errors << printable(message) << '\n';
    }
    for (const char* const name : {"findings", "changes"})
    {
        if (const json::value* const list = object->if_contains(name))
        {
            errors << outline(*list, 1);
        }
    }
}

exit_code refused(const ctl_session& session, const operators_reply& reply)
{
    if (session.arguments.json)
    {
        session.out << reply.body << '\n';
    }
    print_refusal(session.errors, reply);
    return reply.status == http_unavailable ? exit_code::not_reached
                                            : exit_code::refused;
}

absl::StatusOr<operators_reply>
send_request(const ctl_session& session, const operators_request& request)
{
    return call_node(session.arguments.node, request, session.access);
}

exit_code not_reached(const ctl_session& session, const absl::Status& status)
{
    session.errors << status.message() << '\n';
    return exit_code::not_reached;
}

// Sends a request and prints the reply, unchanged with --json and otherwise as
// an outline.
exit_code
print_answer(const ctl_session& session, const operators_request& request)
{
    const auto reply = send_request(session, request);
    if (!reply.ok())
    {
        return not_reached(session, reply.status());
    }
    if (!is_success(*reply))
    {
        return refused(session, *reply);
    }
    const auto object = parse_object(reply->body);
    if (session.arguments.json || !object)
    {
        session.out << reply->body << '\n';
        return exit_code::success;
    }
    session.out << outline(*object);
    return exit_code::success;
}

exit_code confirm_plan(const ctl_session& session, const std::string& plan)
{
    const json::object body{{"plan", plan}};
    const auto reply = send_request(
        session, {"POST", "/v1/plans/confirm", json::serialize(body)});
    const bool unknown = !reply.ok() || reply->status == http_unavailable;
    if (unknown)
    {
        session.errors << "It is not known whether the plan is in force; "
                          "confirming it again is safe.\n";
    }
    if (!reply.ok())
    {
        return not_reached(session, reply.status());
    }
    if (!is_success(*reply))
    {
        return refused(session, *reply);
    }
    const auto object = parse_object(reply->body);
    if (session.arguments.json || !object)
    {
        session.out << reply->body << '\n';
        return exit_code::success;
    }
    const json::value* const revision = object->if_contains("revision");
    session.out << "In force as revision "
                << (revision == nullptr ? "?" : json::serialize(*revision))
                << ".\n";
    return exit_code::success;
}

void print_plan(
    const ctl_session& session, const json::object& object,
    const std::string& plan)
{
    const json::value* const base = object.if_contains("base_revision");
    session.out << "Plan against revision "
                << (base == nullptr ? "?" : json::serialize(*base)) << ":\n";
    const json::value* const diff = object.if_contains("diff");
    if (diff == nullptr || !diff->is_array() || diff->get_array().empty())
    {
        session.out << "  no change\n";
    }
    else
    {
        for (const auto& line : diff->get_array())
        {
            const json::string* const text = line.if_string();
            session.out << "  " << (text == nullptr ? "?" : printable(*text))
                        << '\n';
        }
    }
    if (!session.arguments.yes)
    {
        session.out << "Not in force. To put it in force:\n  cyclamen-ctl "
                       "confirm "
                    << printable(plan) << '\n';
    }
}

// Plans an intent and, with --yes, confirms the plan.
exit_code plan_intent(const ctl_session& session, const std::string& intent)
{
    const auto reply = send_request(session, {"POST", "/v1/intents", intent});
    if (!reply.ok())
    {
        return not_reached(session, reply.status());
    }
    if (!is_success(*reply))
    {
        return refused(session, *reply);
    }
    const auto object = parse_object(reply->body);
    const std::string plan = object ? text_of(*object, "plan") : "";
    if (plan.empty())
    {
        session.errors << "the node's reply contains no plan\n";
        return exit_code::refused;
    }
    if (!session.arguments.json)
    {
        print_plan(session, *object, plan);
    }
    else if (!session.arguments.yes)
    {
        session.out << reply->body << '\n';
    }
    return session.arguments.yes ? confirm_plan(session, plan)
                                 : exit_code::success;
}

exit_code plan_file(const ctl_session& session)
{
    const auto text = read_file(session.arguments.subject);
    if (!text.ok())
    {
        session.errors << text.status().message() << '\n';
        return exit_code::bad_usage;
    }
    return plan_intent(session, *text);
}

// Reads a plan. `subject` is the plan itself, or the path of a file with the
// plan or with the node's JSON reply.
std::string read_plan(const std::string& subject)
{
    if (!std::ifstream(subject))
    {
        return subject;
    }
    const auto text = read_file(subject);
    if (!text.ok())
    {
        return subject;
    }
    if (const auto object = parse_object(*text))
    {
        return text_of(*object, "plan");
    }
    return text->substr(0, text->find_last_not_of(" \t\r\n") + 1);
}

exit_code add_key(const ctl_session& session)
{
    const ctl_arguments& arguments = session.arguments;
    findings found;
    const std::string secret = resolve_secret(
        "", arguments.fleet_secret_file, "--fleet-secret", found);
    if (!found.empty())
    {
        session.errors << to_string(found);
        return exit_code::bad_usage;
    }
    const auto created =
        make_key(arguments.subject, arguments.key_workspace, secret);
    if (!created.ok())
    {
        session.errors << created.status().message() << '\n';
        return exit_code::bad_usage;
    }
    const exit_code result =
        plan_intent(session, intent_of(arguments, created->entry));
    if (result == exit_code::refused)
    {
        return result;
    }
    // If the outcome is unknown, the plan may have been applied. The key cannot
    // be retrieved later, so it is printed in this case as well.
    if (arguments.json)
    {
        session.out << json::serialize(json::object{{"key", created->key}})
                    << '\n';
    }
    else
    {
        session.out << "The key, which cannot be shown again: " << created->key
                    << '\n';
    }
    return result;
}

exit_code run_command(const ctl_session& session)
{
    switch (session.arguments.command)
    {
    case ctl_command::plan:
        return plan_file(session);
    case ctl_command::confirm:
        return confirm_plan(session, read_plan(session.arguments.subject));
    case ctl_command::show:
        return print_answer(session, {"GET", "/v1/configuration", ""});
    case ctl_command::status:
        return print_answer(session, {"GET", "/v1/status", ""});
    case ctl_command::drain:
        return print_answer(session, {"POST", "/v1/drain", ""});
    case ctl_command::key_add:
        return add_key(session);
    default:
        return plan_intent(session, intent_of(session.arguments, {}));
    }
}

} // namespace

exit_code run_ctl(
    const std::vector<std::string>& words, std::ostream& out,
    std::ostream& errors)
{
    const auto [outcome, arguments, text, found] = parse_ctl_arguments(words);
    if (outcome == arguments_outcome::print)
    {
        out << text;
        return exit_code::success;
    }
    if (outcome == arguments_outcome::bad_usage)
    {
        errors << to_string(found);
        return exit_code::bad_usage;
    }
    ctl_session session{arguments, {"", arguments.timeout}, out, errors};
    if (!arguments.credential_file.empty())
    {
        findings secret_found;
        session.access.credential = resolve_secret(
            "", arguments.credential_file, "--credential", secret_found);
        if (!secret_found.empty())
        {
            errors << to_string(secret_found);
            return exit_code::bad_usage;
        }
    }
    return run_command(session);
}

} // namespace cyclamenhold
