// Classification of HTTP header fields.

#include <oriolegrade/protocol/header_field.hpp>

#include <oriolegrade/protocol/http_head.hpp>

#include <algorithm>

namespace oriolegrade::protocol {

namespace {

constexpr std::array<std::string_view, 9> hop_by_hop{
    "connection", "keep-alive",          "proxy-authenticate",
    "te",         "proxy-authorization", "proxy-connection",
    "trailer",    "transfer-encoding",   "upgrade",
};

} // namespace

bool is_hop_by_hop(std::string_view name)
{
    return std::any_of(
        hop_by_hop.begin(), hop_by_hop.end(),
        [&](std::string_view it) { return same_field_name(it, name); });
}

} // namespace oriolegrade::protocol
