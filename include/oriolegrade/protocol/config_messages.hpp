// Protobuf form of the messages that carry configuration. Decoding is bounded
// and total: it gives a whole valid message or findings, never a part.

#ifndef ORIOLEGRADE_PROTOCOL_CONFIG_MESSAGES_HPP
#define ORIOLEGRADE_PROTOCOL_CONFIG_MESSAGES_HPP

#include <oriolegrade/state/config_message_type.hpp>
#include <oriolegrade/state/finding.hpp>
#include <oriolegrade/state/result.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace oriolegrade::protocol {

/// Format that encode_snapshot writes. Decoders accept it and all before.
inline constexpr std::uint32_t snapshot_format = 1;

/// Largest snapshot or feed update. 10,000 routes, 34,000 workspaces and
/// 9,500 servers take about a tenth.
inline constexpr std::size_t max_snapshot_bytes = std::size_t{64} << 20U;
inline constexpr std::size_t max_entries = 200'000;
inline constexpr std::size_t max_deferred_records = 1'024;
inline constexpr std::size_t max_skipped_records = 1'024;

/// Largest batch of log records. One record of the largest size always fits.
inline constexpr std::size_t max_batch_bytes = std::size_t{8} << 20U;
inline constexpr std::size_t max_batch_records = 4'096;

/// Encoded snapshot. The digest is computed here, from the content.
/// @param snapshot its digest is set
std::string encode_snapshot(state::configuration_snapshot& snapshot);

/// Fails also when the digest does not match the content.
state::result<state::configuration_snapshot, state::findings>
decode_snapshot(std::string_view bytes);

std::string encode_feed_request(const state::feed_request& request);
state::result<state::feed_request, state::findings>
decode_feed_request(std::string_view bytes);

std::string encode_feed_update(const state::feed_update& update);
state::result<state::feed_update, state::findings>
decode_feed_update(std::string_view bytes);

std::string encode_record_batch(const state::record_batch& batch);
state::result<state::record_batch, state::findings>
decode_record_batch(std::string_view bytes);

} // namespace oriolegrade::protocol

#endif
