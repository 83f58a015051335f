// Base64 by OpenSSL.

#include <oriolegrade/protocol/base64.hpp>

#include <openssl/evp.h>

#include <algorithm>

namespace oriolegrade::protocol {

namespace {

constexpr std::size_t text_group = 4;
constexpr std::size_t byte_group = 3;

bool is_base64_char(char c)
{
    return (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') ||
           (c >= '0' && c <= '9') || c == '+' || c == '/';
}

} // namespace

std::string encode_base64(std::string_view bytes)
{
    std::string text((bytes.size() + byte_group - 1) / byte_group * text_group,
                     '\0');
    // OpenSSL writes a terminating zero, which std::string has room for.
    EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                    reinterpret_cast<const unsigned char*>(bytes.data()),
                    static_cast<int>(bytes.size()));
    return text;
}

std::optional<std::string> decode_base64(std::string_view text)
{
    const auto padding = static_cast<std::size_t>(std::count(
        text.end() - std::min<std::ptrdiff_t>(
                         2, static_cast<std::ptrdiff_t>(text.size())),
        text.end(), '='));
    const auto digits = text.substr(0, text.size() - padding);
    // OpenSSL skips white space and stray padding, so both are refused here.
    if (text.size() % text_group != 0 ||
        !std::all_of(digits.begin(), digits.end(), is_base64_char)) {
        return std::nullopt;
    }
    std::string bytes(text.size() / text_group * byte_group, '\0');
    const int n =
        EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                        reinterpret_cast<const unsigned char*>(text.data()),
                        static_cast<int>(text.size()));
    if (n < 0) {
        return std::nullopt;
    }
    bytes.resize(bytes.size() - padding);
    return bytes;
}

} // namespace oriolegrade::protocol
