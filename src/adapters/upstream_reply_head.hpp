// What the head of an upstream's reply says about the reply, the request and
// the upstream.
#pragma once

#include "adapters/upstream_client.hpp"

#include <boost/beast/http.hpp>

namespace cyclamenhold
{

using response_parser =
    boost::beast::http::response_parser<boost::beast::http::buffer_body>;

// The first event of a forwarded reply.
[[nodiscard]] reply_event
make_head_event(const upstream_call& call, const response_parser& parser);

// True for a stray reply: a late second reply to an earlier request on this
// connection.
[[nodiscard]] bool
is_of_other_request(const upstream_call& call, const response_parser& parser);

// What the upstream says about itself.
[[nodiscard]] upstream_notice
notice_of(const upstream_call& call, const response_parser& parser);

// True when the upstream reports that it has not run the request.
[[nodiscard]] bool
is_not_run(const upstream_call& call, const response_parser& parser);

// True for an interim reply, which another one follows. A change of the
// protocol is none: nothing that the upstream sends after it could be read.
[[nodiscard]] bool is_interim(const response_parser& parser);

// True for a 2xx reply without the upstream's signature. It is rejected,
// because another process may have sent it.
[[nodiscard]] bool
lacks_signature(const upstream_call& call, const response_parser& parser);

} // namespace cyclamenhold
