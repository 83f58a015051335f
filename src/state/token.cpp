// Text form of tokens: base64url of a fixed layout with a format version.

#include <oriolegrade/state/digest.hpp>
#include <oriolegrade/state/token.hpp>

#include <algorithm>
#include <cstring>

namespace oriolegrade::state {

namespace {

constexpr std::uint64_t format_version = 1;
constexpr std::size_t raw_size = token_signed_size + sizeof(token_mac);
constexpr std::string_view base64url_alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

// The raw size is a multiple of three, so the text has no unused bits and each
// token has exactly one text form.
static_assert(raw_size % 3 == 0 && raw_size / 3 * 4 == token_text_size);

std::uint8_t* write_big_endian(std::uint8_t* at, std::uint64_t value,
                               std::size_t bytes)
{
    for (std::size_t i = bytes; i-- > 0;) {
        *at++ = static_cast<std::uint8_t>(value >> (8 * i));
    }
    return at;
}

std::uint64_t read_big_endian(const std::uint8_t*& at, std::size_t bytes)
{
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < bytes; ++i) {
        value = (value << 8U) | *at++;
    }
    return value;
}

} // namespace

std::array<std::uint8_t, token_signed_size> signed_bytes(const token& it)
{
    std::array<std::uint8_t, token_signed_size> out{};
    auto* at = write_big_endian(out.data(), format_version, 2);
    at = write_big_endian(at, it.incarnation.high, 8);
    at = write_big_endian(at, it.incarnation.low, 8);
    at = write_big_endian(at, it.sequence, 8);
    at = write_big_endian(at, it.expires_ms, 8);
    at = write_big_endian(at, it.binding.high, 8);
    write_big_endian(at, it.binding.low, 8);
    return out;
}

std::string to_string(const token& it)
{
    std::array<std::uint8_t, raw_size> raw{};
    const auto signed_part = signed_bytes(it);
    std::copy(signed_part.begin(), signed_part.end(), raw.begin());
    std::copy(it.mac.begin(), it.mac.end(), raw.begin() + signed_part.size());
    std::string text;
    text.reserve(token_text_size);
    for (std::size_t i = 0; i < raw_size; i += 3) {
        const std::uint32_t group =
            (raw[i] << 16U) | (raw[i + 1] << 8U) | raw[i + 2];
        for (const unsigned shift : {18U, 12U, 6U, 0U}) {
            text += base64url_alphabet[(group >> shift) & 63U];
        }
    }
    return text;
}

std::optional<token> token_from_string(std::string_view text)
{
    if (text.size() != token_text_size) {
        return std::nullopt;
    }
    std::array<std::uint8_t, raw_size> raw{};
    for (std::size_t i = 0; i < token_text_size; i += 4) {
        std::uint64_t group = 0;
        for (const char c : text.substr(i, 4)) {
            const auto digit = base64url_alphabet.find(c);
            if (digit == std::string_view::npos) {
                return std::nullopt;
            }
            group = (group << 6U) | digit;
        }
        write_big_endian(raw.data() + i / 4 * 3, group, 3);
    }
    const std::uint8_t* at = raw.data();
    if (read_big_endian(at, 2) != format_version) {
        return std::nullopt;
    }
    token out;
    out.incarnation.high = read_big_endian(at, 8);
    out.incarnation.low = read_big_endian(at, 8);
    out.sequence = read_big_endian(at, 8);
    out.expires_ms = read_big_endian(at, 8);
    out.binding.high = read_big_endian(at, 8);
    out.binding.low = read_big_endian(at, 8);
    std::memcpy(out.mac.data(), at, out.mac.size());
    return out;
}

identifier token_binding(std::string_view caller, std::string_view route)
{
    return short_digest_of({"token", caller, route});
}

} // namespace oriolegrade::state
