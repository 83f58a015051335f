// Rules of RFC 9110 and RFC 9112 for intermediaries.

#include <oriolegrade/protocol/forwarding.hpp>

#include <oriolegrade/protocol/request_target.hpp>

#include <algorithm>
#include <limits>

namespace oriolegrade::protocol {

namespace {

constexpr std::string_view max_forwards_field = "Max-Forwards";

/// Takes one from the number of times that a TRACE or OPTIONS may be forwarded
/// (RFC 9110, section 7.6.2). A value that is no number cannot end a loop, so
/// the request is refused.
std::optional<state::reply_reason> count_forwarding(request_head& head)
{
    if (head.method != "TRACE" && head.method != "OPTIONS") {
        return std::nullopt;
    }
    const auto text = head.fields.find(max_forwards_field);
    if (!text) {
        return std::nullopt;
    }
    const bool single =
        std::count_if(head.fields.begin(), head.fields.end(),
                      [](const http_field& it) {
                          return same_field_name(it.name, max_forwards_field);
                      }) == 1;
    const bool is_number =
        !text->empty() &&
        text->find_first_not_of("0123456789") == std::string_view::npos;
    if (!single || !is_number) {
        return state::reply_reason::bad_request;
    }
    // A larger number counts as the largest that is supported.
    constexpr auto largest = std::numeric_limits<std::uint64_t>::max();
    const auto n = parse_number(*text).value_or(largest);
    if (n == 0) {
        return state::reply_reason::not_forwarded;
    }
    head.fields.set(max_forwards_field, std::to_string(n - 1));
    return std::nullopt;
}

} // namespace

std::optional<state::reply_reason> prepare_forwarding(request_head& head)
{
    if (!to_origin_form(head)) {
        return state::reply_reason::bad_request;
    }
    return count_forwarding(head);
}

} // namespace oriolegrade::protocol
