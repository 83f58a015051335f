// Base64 (RFC 4648) for binary data in JSON.

#ifndef ORIOLEGRADE_PROTOCOL_BASE64_HPP
#define ORIOLEGRADE_PROTOCOL_BASE64_HPP

#include <optional>
#include <string>
#include <string_view>

namespace oriolegrade::protocol {

std::string encode_base64(std::string_view bytes);

/// Empty when the text is not padded base64.
std::optional<std::string> decode_base64(std::string_view text);

} // namespace oriolegrade::protocol

#endif
