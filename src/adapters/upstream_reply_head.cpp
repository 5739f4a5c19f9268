#include "adapters/upstream_reply_head.hpp"

#include "adapters/http_fields.hpp"

#include <algorithm>
#include <charconv>
#include <limits>

namespace cyclamenhold
{
namespace
{

namespace http = boost::beast::http;

// Not a number if the whole text is no decimal number.
double parse_rate(std::string_view text)
{
    double rate = 0.0;
    const char* const text_end = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), text_end, rate);
    return error == std::errc() && end == text_end
               ? rate
               : std::numeric_limits<double>::quiet_NaN();
}

// The warm-up time in a reply, an hour at most; zero if the text is no whole
// number.
std::chrono::milliseconds parse_cold(std::string_view text)
{
    constexpr std::int64_t longest_ms = 3'600'000;
    std::int64_t value = 0;
    const char* const text_end = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), text_end, value);
    const bool is_valid = error == std::errc() && end == text_end && value > 0;
    return std::chrono::milliseconds(
        is_valid ? std::min(value, longest_ms) : 0);
}

} // namespace

reply_event
make_head_event(const upstream_call& call, const response_parser& parser)
{
    reply_event event;
    reply_head head;
    head.status = static_cast<std::uint16_t>(parser.get().result_int());
    head.headers = returned_fields(parser.get().base());
    if (const auto length = parser.content_length())
    {
        head.body_size = *length;
    }
    event.head = std::move(head);
    event.load = call.report();
    event.returned_allowance = call.returned_allowance();
    return event;
}

bool is_of_other_request(
    const upstream_call& call, const response_parser& parser)
{
    const std::string& name = call.names->request_id;
    const auto sent = field_value(call.work->head.headers, name);
    return !sent.empty() && field_value(parser.get().base(), name) != sent;
}

upstream_notice
notice_of(const upstream_call& call, const response_parser& parser)
{
    const http::fields& fields = parser.get().base();
    upstream_notice notice;
    if (const auto text = field_value(fields, call.names->rate_limit);
        !text.empty())
    {
        notice.rate = parse_rate(text);
    }
    notice.is_leaving = field_value(fields, call.names->leaving) == "1";
    notice.cold = parse_cold(field_value(fields, call.names->cold));
    return notice;
}

bool is_not_run(const upstream_call& call, const response_parser& parser)
{
    constexpr unsigned misdirected = 421;
    return parser.get().result_int() == misdirected ||
           !field_value(parser.get().base(), call.names->not_run).empty();
}

bool is_interim(const response_parser& parser)
{
    constexpr unsigned switching_protocols = 101;
    const unsigned status = parser.get().result_int();
    return status >= 100 && status < 200 && status != switching_protocols;
}

bool lacks_signature(const upstream_call& call, const response_parser& parser)
{
    const unsigned status = parser.get().result_int();
    const std::string& name = call.names->signature;
    return !name.empty() && status >= 200 && status < 300 &&
           field_value(parser.get().base(), name).empty();
}

} // namespace cyclamenhold
