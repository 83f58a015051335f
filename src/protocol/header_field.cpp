// Classification of HTTP header fields.

#include <oriolegrade/protocol/header_field.hpp>

#include <algorithm>

namespace oriolegrade::protocol {

namespace {

constexpr std::array<std::string_view, 9> hop_by_hop{
    "connection", "keep-alive",          "proxy-authenticate",
    "te",         "proxy-authorization", "proxy-connection",
    "trailer",    "transfer-encoding",   "upgrade",
};

char lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c;
}

bool same_name(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](char x, char y) { return lower(x) == lower(y); });
}

} // namespace

bool is_hop_by_hop(std::string_view name)
{
    return std::any_of(
        hop_by_hop.begin(), hop_by_hop.end(),
        [&](std::string_view it) { return same_name(it, name); });
}

} // namespace oriolegrade::protocol
