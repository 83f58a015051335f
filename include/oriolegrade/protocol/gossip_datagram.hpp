// Gossip messages as UDP datagrams: a protobuf message, and a code by which
// the receiver knows that a holder of the fleet key sent it.

#ifndef ORIOLEGRADE_PROTOCOL_GOSSIP_DATAGRAM_HPP
#define ORIOLEGRADE_PROTOCOL_GOSSIP_DATAGRAM_HPP

#include <oriolegrade/state/finding.hpp>
#include <oriolegrade/state/gossip_message_type.hpp>
#include <oriolegrade/state/result.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace oriolegrade::protocol {

/// Largest datagram that is accepted. Messages with usual names stay below
/// 1,400 bytes.
inline constexpr std::size_t max_datagram_bytes = 4'096;
inline constexpr std::size_t max_datagram_members = 64;
inline constexpr std::size_t max_datagram_progress = 256;

/// A host raises its incarnation above any that it hears, so there must be
/// room above the highest.
inline constexpr std::uint64_t max_incarnation = std::uint64_t{1} << 62U;

/// @param fleet_key secret of the fleet
std::string encode_gossip(const state::gossip_message& message,
                          std::string_view fleet_key);

/// Fails for a datagram of another key, before anything in it is read.
state::result<state::gossip_message, state::findings>
decode_gossip(std::string_view datagram, std::string_view fleet_key);

} // namespace oriolegrade::protocol

#endif
