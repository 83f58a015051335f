// Absolute and origin form of request targets.

#include <oriolegrade/protocol/request_target.hpp>

#include <algorithm>
#include <array>

namespace oriolegrade::protocol {

namespace {

constexpr std::string_view digits = "0123456789";
constexpr std::string_view hex_digits = "0123456789abcdefABCDEF";
/// Characters of an IPv6 address in brackets. IPvFuture (RFC 3986, section
/// 3.2.2) has no version in use and is not taken.
constexpr std::string_view ipv6_characters = "0123456789abcdefABCDEF:.";
/// Unreserved characters and sub-delims of a registered name.
constexpr std::string_view name_characters =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~"
    "!$&'()*+,;=";
constexpr std::uint64_t max_port = 65535;

bool holds_only(std::string_view text, std::string_view allowed)
{
    return text.find_first_not_of(allowed) == std::string_view::npos;
}

bool is_registered_name(std::string_view text)
{
    constexpr std::size_t escape_size = 3;
    for (std::size_t n = 0; n < text.size();) {
        const auto escape = text.substr(n, escape_size);
        if (escape.starts_with('%')) {
            if (escape.size() < escape_size ||
                !holds_only(escape.substr(1), hex_digits)) {
                return false;
            }
            n += escape_size;
        } else if (name_characters.find(text[n]) != std::string_view::npos) {
            ++n;
        } else {
            return false;
        }
    }
    return !text.empty();
}

/// True for a port with its colon, or for nothing. A port may be empty.
bool is_port_part(std::string_view text)
{
    if (text.empty()) {
        return true;
    }
    const auto port = text.substr(1);
    return text.starts_with(':') && holds_only(port, digits) &&
           (port.empty() ||
            parse_number(port).value_or(max_port + 1) <= max_port);
}

bool is_authority(std::string_view text)
{
    if (text.starts_with('[')) {
        const auto end = text.find(']');
        return end != std::string_view::npos && end > 1 &&
               holds_only(text.substr(1, end - 1), ipv6_characters) &&
               is_port_part(text.substr(end + 1));
    }
    const auto name = text.substr(0, text.find(':'));
    return is_registered_name(name) && is_port_part(text.substr(name.size()));
}

/// Length of the scheme with its separator; 0 when the target has none of
/// these.
std::size_t scheme_size(std::string_view target)
{
    constexpr std::array<std::string_view, 2> schemes{"http://", "https://"};
    for (const auto& it : schemes) {
        // Schemes ignore case, as names of fields do.
        if (same_field_name(target.substr(0, it.size()), it)) {
            return it.size();
        }
    }
    return 0;
}

} // namespace

bool to_origin_form(request_head& head)
{
    // A CONNECT with a path would ask the upstream for a tunnel.
    if (head.target.starts_with('/') || head.method == "CONNECT") {
        return true;
    }
    const auto begin = scheme_size(head.target);
    if (begin == 0) {
        return true;
    }
    const auto end =
        std::min(head.target.find_first_of("/?#", begin), head.target.size());
    const auto authority =
        std::string_view(head.target).substr(begin, end - begin);
    if (!is_authority(authority) || head.target.substr(end, 1) == "#") {
        return false;
    }
    head.host = authority;
    head.target.erase(0, end);
    if (head.target.empty() && head.method == "OPTIONS") {
        // RFC 9112, section 3.2.4.
        head.target = "*";
    } else if (!head.target.starts_with('/')) {
        head.target.insert(0, 1, '/');
    }
    return true;
}

} // namespace oriolegrade::protocol
