// Gossip messages between agents: state of the members, and the log offset
// that each has applied.

#ifndef ORIOLEGRADE_STATE_GOSSIP_MESSAGE_TYPE_HPP
#define ORIOLEGRADE_STATE_GOSSIP_MESSAGE_TYPE_HPP

#include <oriolegrade/state/endpoint.hpp>
#include <oriolegrade/state/enum_names.hpp>
#include <oriolegrade/state/identifier.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace oriolegrade::state {

/// At equal incarnation the higher state takes precedence. Only the member
/// itself increments its incarnation, in order to refute an update about it.
enum class member_state : std::uint8_t
{
    alive,
    /// Did not answer a probe; becomes dead unless it refutes this in time.
    suspect,
    dead,
};

template <>
struct enum_names<member_state>
{
    static constexpr std::array<std::string_view, 3> value{"alive", "suspect",
                                                           "dead"};
};

/// Update about a member: its state as last reported.
struct member_info
{
    std::string name;
    std::string data_centre;
    /// UDP address of its agent.
    endpoint gossip;
    /// Address of its agent for other agents.
    endpoint peer;
    /// Address of its entry for forwarded requests.
    endpoint forward;
    std::uint64_t incarnation = 0;
    member_state state = member_state::alive;
    /// The member announced that it is about to stop.
    bool leaving = false;
    /// Offset of the next log record that the member will apply.
    std::uint64_t next_offset = 0;
    /// Incarnations that its entry process holds, its own first; at most
    /// max_held_incarnations. Empty until the agent has received them.
    std::vector<identifier> incarnations{};

    bool operator==(const member_info&) const = default;
};

enum class gossip_kind : std::uint8_t
{
    /// Asks the receiver for an ack.
    ping,
    /// Asks the receiver to ping `target` and to relay the ack.
    ping_request,
    ack,
    /// Carries pending or requested updates; needs no reply.
    news,
};

template <>
struct enum_names<gossip_kind>
{
    static constexpr std::array<std::string_view, 4> value{
        "ping", "ping_request", "ack", "news"};
};

/// Applied offset of one member in short form.
struct member_progress
{
    /// Hash of the member's state without its offset. A receiver that does not
    /// know the hash lacks the update, and requests it. A restarted host has
    /// another hash, so that its offset may be lower than before.
    std::uint32_t claim = 0;
    std::uint64_t next_offset = 0;

    bool operator==(const member_progress&) const = default;
};

/// One datagram.
struct gossip_message
{
    gossip_kind kind = gossip_kind::ping;
    /// Chosen by the sender of the ping; repeated in the ack.
    std::uint64_t sequence = 0;
    /// Only for ping_request.
    endpoint target;
    member_info sender;
    std::vector<member_info> members;
    std::vector<member_progress> progress;
    /// Hashes of updates that the sender lacks and requests from the receiver.
    std::vector<std::uint32_t> wanted;

    bool operator==(const gossip_message&) const = default;
};

} // namespace oriolegrade::state

#endif
