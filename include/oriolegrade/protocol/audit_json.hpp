// JSON form of audit batches, as the audit stream holds them.

#ifndef ORIOLEGRADE_PROTOCOL_AUDIT_JSON_HPP
#define ORIOLEGRADE_PROTOCOL_AUDIT_JSON_HPP

#include <oriolegrade/protocol/json_document.hpp>
#include <oriolegrade/state/audit_event_type.hpp>
#include <oriolegrade/state/finding.hpp>
#include <oriolegrade/state/result.hpp>

#include <string>
#include <string_view>

namespace oriolegrade::protocol {

/// Bounds of one batch. A full batch with long details fits.
inline constexpr json_limits audit_limits{std::size_t{4} << 20U, 8, 65'536};
inline constexpr std::size_t max_audit_events = 4'096;
/// Longest detail of an event that is written, in bytes.
inline constexpr std::size_t max_audit_text = 4'096;

std::string encode_audit_batch(const state::audit_batch& batch);

state::result<state::audit_batch, state::findings>
decode_audit_batch(std::string_view bytes);

} // namespace oriolegrade::protocol

#endif
