// Protobuf form of reads of the store that one host makes for another.
// Decoding is bounded and total.

#ifndef ORIOLEGRADE_PROTOCOL_SOURCE_MESSAGES_HPP
#define ORIOLEGRADE_PROTOCOL_SOURCE_MESSAGES_HPP

#include <oriolegrade/state/finding.hpp>
#include <oriolegrade/state/result.hpp>
#include <oriolegrade/state/source_type.hpp>

#include <string>
#include <string_view>

namespace oriolegrade::protocol {

inline constexpr std::size_t max_source_request_bytes = 64;
inline constexpr std::size_t max_source_reply_bytes = std::size_t{16} << 20U;

std::string encode_source_request(const state::source_request& request);
state::result<state::source_request, state::findings>
decode_source_request(std::string_view bytes);

std::string encode_source_reply(const state::source_reply& reply);
state::result<state::source_reply, state::findings>
decode_source_reply(std::string_view bytes);

} // namespace oriolegrade::protocol

#endif
