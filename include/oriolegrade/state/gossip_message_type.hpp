// Gossip between agents: who the members are, and how far each has applied
// the log.

#ifndef ORIOLEGRADE_STATE_GOSSIP_MESSAGE_TYPE_HPP
#define ORIOLEGRADE_STATE_GOSSIP_MESSAGE_TYPE_HPP

#include <oriolegrade/state/endpoint.hpp>
#include <oriolegrade/state/enum_names.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace oriolegrade::state {

/// At equal incarnation the higher state wins. Only the member itself raises
/// its incarnation, and so refutes a claim about it.
enum class member_state : std::uint8_t
{
    alive,
    /// Did not answer; dead unless it refutes in time.
    suspect,
    dead,
};

template <>
struct enum_names<member_state>
{
    static constexpr std::array<std::string_view, 3> value{"alive", "suspect",
                                                           "dead"};
};

/// What is claimed about a member.
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

    bool operator==(const member_info&) const = default;
};

enum class gossip_kind : std::uint8_t
{
    /// Asks the receiver for an ack.
    ping,
    /// Asks the receiver to ping `target` and to pass its ack on.
    ping_request,
    ack,
    /// Brings news, or claims that were wanted; needs no answer.
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
    /// Hash of the claim about the member without its offset. A receiver that
    /// does not know it lacks the claim, and asks for it. A restarted host has
    /// another one, so that its offset may be lower than before.
    std::uint32_t claim = 0;
    std::uint64_t next_offset = 0;

    bool operator==(const member_progress&) const = default;
};

/// One datagram.
struct gossip_message
{
    gossip_kind kind = gossip_kind::ping;
    /// Chosen by the asking host; repeated in the ack.
    std::uint64_t sequence = 0;
    /// Only for ping_request.
    endpoint target;
    member_info sender;
    std::vector<member_info> members;
    std::vector<member_progress> progress;
    /// Hashes of claims that the sender lacks and the receiver has.
    std::vector<std::uint32_t> wanted;

    bool operator==(const gossip_message&) const = default;
};

} // namespace oriolegrade::state

#endif
