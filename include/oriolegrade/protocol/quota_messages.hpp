// Protobuf form of the messages by which hosts keep to the limits of
// workspaces. Decoding is bounded and total.

#ifndef ORIOLEGRADE_PROTOCOL_QUOTA_MESSAGES_HPP
#define ORIOLEGRADE_PROTOCOL_QUOTA_MESSAGES_HPP

#include <oriolegrade/state/finding.hpp>
#include <oriolegrade/state/quota_type.hpp>
#include <oriolegrade/state/result.hpp>

#include <string>
#include <string_view>

namespace oriolegrade::protocol {

inline constexpr std::size_t max_quota_message_bytes = 1024;

/// An ask, and the process that sent it.
struct quota_ask_call
{
    /// Name of the host with its incarnation.
    std::string host;
    state::quota_ask ask;
};

/// A request for a delegation, and the process that sent it.
struct quota_delegation_call
{
    /// Name of the owner with its incarnation.
    std::string owner;
    state::quota_delegation_request request;
};

template <class T>
using decoded_quota = state::result<T, state::findings>;

std::string encode(const quota_ask_call& it);
std::string encode(const state::quota_grant& it);
std::string encode(const quota_delegation_call& it);
std::string encode(const state::quota_delegation& it);

decoded_quota<quota_ask_call> decode_quota_ask(std::string_view bytes);
decoded_quota<state::quota_grant> decode_quota_grant(std::string_view bytes);
decoded_quota<quota_delegation_call>
decode_quota_delegation_call(std::string_view bytes);
decoded_quota<state::quota_delegation>
decode_quota_delegation(std::string_view bytes);

} // namespace oriolegrade::protocol

#endif
