// Forms of a request target (RFC 9112, section 3.2).

#ifndef ORIOLEGRADE_PROTOCOL_REQUEST_TARGET_HPP
#define ORIOLEGRADE_PROTOCOL_REQUEST_TARGET_HPP

#include <oriolegrade/protocol/http_head.hpp>

namespace oriolegrade::protocol {

/// Turns the absolute form of an `http` or `https` target into the origin form,
/// and makes its authority the host of the request (RFC 9112, section 3.2.2).
/// Path and query are unchanged. Other targets, and those of CONNECT, stay as
/// they are.
/// @return false, with the head unchanged, when the absolute form has no valid
///         authority or has userinfo (RFC 9110, sections 4.2.1 and 4.2.4)
bool to_origin_form(request_head& head);

} // namespace oriolegrade::protocol

#endif
