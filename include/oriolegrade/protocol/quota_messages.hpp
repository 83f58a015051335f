// Protobuf form of the messages between hosts and the owners of workspaces'
// limits. Decoding is bounded and total. Times are whole microseconds, rounded
// down, so that no term grows on the way.

#ifndef ORIOLEGRADE_PROTOCOL_QUOTA_MESSAGES_HPP
#define ORIOLEGRADE_PROTOCOL_QUOTA_MESSAGES_HPP

#include <oriolegrade/state/finding.hpp>
#include <oriolegrade/state/quota_type.hpp>
#include <oriolegrade/state/result.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

namespace oriolegrade::protocol {

inline constexpr std::size_t max_quota_frame_bytes = 4096;

/// To an owner.
using quota_owner_frame =
    std::variant<state::quota_ask, state::quota_delegation>;
/// From an owner.
using quota_host_frame =
    std::variant<state::quota_grant, state::quota_delegation_request>;

std::string encode_quota_owner_frame(const quota_owner_frame& frame);
state::result<quota_owner_frame, state::findings>
decode_quota_owner_frame(std::string_view bytes);

std::string encode_quota_host_frame(const quota_host_frame& frame);
state::result<quota_host_frame, state::findings>
decode_quota_host_frame(std::string_view bytes);

} // namespace oriolegrade::protocol

#endif
