// Conversion between heads of requests and the header block of a forwarded
// request.

#ifndef ORIOLEGRADE_TRANSPORT_FORWARD_MESSAGE_HPP
#define ORIOLEGRADE_TRANSPORT_FORWARD_MESSAGE_HPP

#include <oriolegrade/protocol/http_head.hpp>
#include <oriolegrade/protocol/once_messages.hpp>
#include <oriolegrade/transport/request_context.hpp>

namespace oriolegrade::transport {

inline constexpr std::string_view forward_path = "/forward";

/// Header block of a request; token, claim and fingerprint are the caller's.
protocol::forward_request to_forward(const request_context& context);

/// Head of a forwarded request.
protocol::request_head head_of(const protocol::forward_request& request);

protocol::forward_answer to_forward(const protocol::answer_head& head);
protocol::answer_head head_of(const protocol::forward_answer& answer);

} // namespace oriolegrade::transport

#endif
