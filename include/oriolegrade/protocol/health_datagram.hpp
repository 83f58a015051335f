// Evidence and verdicts as UDP datagrams, with a code by which the receiver
// knows that a holder of the fleet key sent them. For evidence whose loss
// does little harm: successes alone.

#ifndef ORIOLEGRADE_PROTOCOL_HEALTH_DATAGRAM_HPP
#define ORIOLEGRADE_PROTOCOL_HEALTH_DATAGRAM_HPP

#include <oriolegrade/state/enum_names.hpp>
#include <oriolegrade/state/evidence.hpp>
#include <oriolegrade/state/finding.hpp>
#include <oriolegrade/state/health_verdict.hpp>
#include <oriolegrade/state/result.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace oriolegrade::protocol {

/// Fits into one packet of Ethernet; larger messages take a stream.
inline constexpr std::size_t max_health_datagram_bytes = 1'400;

enum class health_datagram_type : std::uint8_t
{
    evidence,
    verdicts,
};

struct evidence_datagram
{
    state::evidence_batch batch;
    /// Of the verdict set that the sender knows; 0 for none.
    std::uint64_t known_sequence = 0;
};

using health_datagram = std::variant<evidence_datagram, state::verdict_set>;

/// Empty when the datagram would be too large.
std::string encode_datagram(const evidence_datagram& evidence,
                            std::string_view fleet_key);
std::string encode_datagram(const state::verdict_set& set,
                            std::string_view fleet_key);

/// Fails for a datagram of another key, before anything in it is read.
state::result<health_datagram, state::findings>
decode_health_datagram(std::string_view datagram, std::string_view fleet_key);

} // namespace oriolegrade::protocol

namespace oriolegrade::state {

template <>
struct enum_names<protocol::health_datagram_type>
{
    static constexpr std::array<std::string_view, 2> value{"evidence",
                                                           "verdicts"};
};

} // namespace oriolegrade::state

#endif
