// JSON form of configuration records, as operators write them and as the log
// holds them. Decoding checks every rule that does not depend on other
// records.

#ifndef ORIOLEGRADE_PROTOCOL_RECORD_JSON_HPP
#define ORIOLEGRADE_PROTOCOL_RECORD_JSON_HPP

#include <oriolegrade/protocol/json_document.hpp>
#include <oriolegrade/state/configuration.hpp>
#include <oriolegrade/state/finding.hpp>
#include <oriolegrade/state/record_type.hpp>
#include <oriolegrade/state/result.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace oriolegrade::protocol {

/// Bounds of one record in the log. A service with max_upstreams fits.
inline constexpr json_limits record_limits{std::size_t{1} << 20U, 16, 65'536};

/// Bounds of an operator's file. All 10,000 routes of a fleet fit.
inline constexpr json_limits record_file_limits{std::size_t{16} << 20U, 17,
                                                1'000'000};
inline constexpr std::size_t max_records_per_file = 10'000;

inline constexpr std::size_t max_upstreams = 4'096;
inline constexpr std::uint32_t max_slots = 10'000;
inline constexpr std::uint32_t max_connections_per_upstream = 1'000'000;
inline constexpr double max_cost = 1e9;
inline constexpr std::size_t max_path_bytes = 1'024;
inline constexpr std::chrono::milliseconds max_deadline = std::chrono::hours(1);
inline constexpr std::uint64_t max_body_bytes = std::uint64_t{1} << 40U;
inline constexpr std::uint32_t max_attempts_per_request = 10;
inline constexpr double max_requests_per_second = 1e6;
inline constexpr std::uint32_t max_workspace_limit = 1'000'000;

/// Values of route members that a record leaves out.
inline constexpr std::uint64_t default_request_bytes = std::uint64_t{1} << 20U;
inline constexpr std::uint64_t default_response_bytes = std::uint64_t{16}
                                                        << 20U;

/// True when this binary knows the schema version of a kind.
bool is_known_schema_version(state::record_kind kind, std::uint64_t version);

/// Decodes one record of the log; its change id and operator are required. An
/// unknown schema version is the only finding of its record.
state::result<state::record, state::findings>
decode_record(std::string_view bytes);

/// Decodes an operator's file: one record or an array of records. A record
/// without change id has an empty one, and without operator an empty name;
/// the publisher fills in both.
state::result<std::vector<state::record>, state::findings>
decode_record_file(std::string_view bytes);

/// JSON text that decode_record reads back to an equal record.
std::string encode_record(const state::record& rec);

/// JSON text of an entry in force, for an operator to edit and publish: its
/// base revision is the one in force, and it has no change id or operator.
std::string encode_editable(const state::entry& it);

/// Floor in slots that keeps `percent` of the number of upstreams in service,
/// whichever they are. Schema version 1 counts upstreams, not slots, so this
/// is the sum of the largest ones.
std::uint32_t floor_from_percent(const std::vector<state::upstream_spec>& all,
                                 std::uint32_t percent);

} // namespace oriolegrade::protocol

#endif
