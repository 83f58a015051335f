// Protobuf form of the peer directory. Decoding is bounded and total.

#ifndef ORIOLEGRADE_PROTOCOL_PEER_MESSAGES_HPP
#define ORIOLEGRADE_PROTOCOL_PEER_MESSAGES_HPP

#include <oriolegrade/state/finding.hpp>
#include <oriolegrade/state/identifier.hpp>
#include <oriolegrade/state/peer_directory.hpp>
#include <oriolegrade/state/result.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace oriolegrade::protocol {

inline constexpr std::size_t max_peers = 4096;
inline constexpr std::size_t max_peer_message_bytes = std::size_t{4} << 20U;
inline constexpr std::size_t max_host_name_bytes = 255;

/// Incarnations that an entry holds, its own first.
std::string
encode_peer_request(const std::vector<state::identifier>& incarnations);
state::result<std::vector<state::identifier>, state::findings>
decode_peer_request(std::string_view bytes);

std::string encode_peer_update(const std::vector<state::peer_entry>& peers);
state::result<std::vector<state::peer_entry>, state::findings>
decode_peer_update(std::string_view bytes);

} // namespace oriolegrade::protocol

#endif
