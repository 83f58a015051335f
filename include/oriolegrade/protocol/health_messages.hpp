// Wire form of evidence batches and verdict sets (protobuf). Decoders are
// bounded and total: any bytes give a value that keeps the invariants of its
// type, or findings.

#ifndef ORIOLEGRADE_PROTOCOL_HEALTH_MESSAGES_HPP
#define ORIOLEGRADE_PROTOCOL_HEALTH_MESSAGES_HPP

#include <oriolegrade/state/evidence.hpp>
#include <oriolegrade/state/finding.hpp>
#include <oriolegrade/state/health_verdict.hpp>
#include <oriolegrade/state/result.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace oriolegrade::protocol {

/// Largest encoded message; 1024 items with all fields need about 60 kB.
inline constexpr std::size_t max_health_message_bytes = 128 * 1024;
inline constexpr std::size_t max_service_name_bytes = 256;

std::string encode(const state::evidence_batch& batch);
std::string encode(const state::verdict_set& set);

state::result<state::evidence_batch, state::findings>
decode_evidence_batch(std::string_view bytes);

state::result<state::verdict_set, state::findings>
decode_verdict_set(std::string_view bytes);

} // namespace oriolegrade::protocol

#endif
