// Rules of RFC 9110 and RFC 9112 for intermediaries.

#include <oriolegrade/protocol/forwarding.hpp>

#include <oriolegrade/protocol/request_target.hpp>

namespace oriolegrade::protocol {

std::optional<state::reply_reason> prepare_forwarding(request_head& head)
{
    if (!to_origin_form(head)) {
        return state::reply_reason::bad_request;
    }
    return std::nullopt;
}

} // namespace oriolegrade::protocol
