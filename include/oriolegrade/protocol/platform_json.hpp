// JSON bodies of the platform stand-in's HTTP interface, for both of its
// ends.

#ifndef ORIOLEGRADE_PROTOCOL_PLATFORM_JSON_HPP
#define ORIOLEGRADE_PROTOCOL_PLATFORM_JSON_HPP

#include <oriolegrade/state/log_type.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace oriolegrade::protocol {

std::string encode_append_answer(std::uint64_t offset);
std::optional<std::uint64_t> decode_append_answer(std::string_view json);

/// @param first first offset that the stream still holds
std::string encode_read_answer(std::uint64_t first,
                               const state::log_records& records);
std::optional<state::log_records> decode_read_answer(std::string_view json);

std::string encode_trimmed_answer(std::uint64_t first);
std::optional<std::uint64_t> decode_trimmed_answer(std::string_view json);

std::string encode_host_list(const state::host_list& list);
/// Empty when any entry is malformed: half a list would look like hosts that
/// are gone.
std::optional<state::host_list> decode_host_list(std::string_view json);

} // namespace oriolegrade::protocol

#endif
