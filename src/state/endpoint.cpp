// Formatting and parsing of endpoints.

#include <oriolegrade/state/endpoint.hpp>

#include <charconv>

namespace oriolegrade::state {

namespace {

/// Consumes a decimal number without sign or leading zeros.
template <class Number>
bool parse_number(std::string_view& text, Number& n)
{
    if (text.empty() || (text.size() > 1 && text[0] == '0' && text[1] >= '0' &&
                         text[1] <= '9')) {
        return false;
    }
    const auto r = std::from_chars(text.data(), text.data() + text.size(), n);
    if (r.ec != std::errc()) {
        return false;
    }
    text.remove_prefix(static_cast<std::size_t>(r.ptr - text.data()));
    return true;
}

bool parse_char(std::string_view& text, char c)
{
    if (text.empty() || text.front() != c) {
        return false;
    }
    text.remove_prefix(1);
    return true;
}

} // namespace

std::string to_string(const endpoint& ep)
{
    std::string text;
    for (int shift = 24; shift >= 0; shift -= 8) {
        text += std::to_string((ep.address >> static_cast<unsigned>(shift)) &
                               0xffU);
        text += shift == 0 ? ':' : '.';
    }
    return text + std::to_string(ep.port);
}

std::optional<endpoint> endpoint_from_string(std::string_view text)
{
    endpoint ep;
    for (int n = 0; n < 4; ++n) {
        std::uint8_t octet = 0;
        if ((n > 0 && !parse_char(text, '.')) || !parse_number(text, octet)) {
            return std::nullopt;
        }
        ep.address = (ep.address << 8U) | octet;
    }
    if (!parse_char(text, ':') || !parse_number(text, ep.port) ||
        !text.empty() || ep.port == 0) {
        return std::nullopt;
    }
    return ep;
}

} // namespace oriolegrade::state
