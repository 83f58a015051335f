// Results of the platform's log and host list, common to all bindings.

#ifndef ORIOLEGRADE_STATE_LOG_TYPE_HPP
#define ORIOLEGRADE_STATE_LOG_TYPE_HPP

#include <oriolegrade/state/endpoint.hpp>
#include <oriolegrade/state/enum_names.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace oriolegrade::state {

/// The record is in the log.
struct appended
{
    std::uint64_t offset = 0;
};

/// The record is certainly not in the log.
struct not_appended
{};

/// The record may be in the log; the writer must read the log to find out.
struct append_unknown
{};

using append_result = std::variant<appended, not_appended, append_unknown>;

struct log_record
{
    std::uint64_t offset = 0;
    std::string bytes;

    bool operator==(const log_record&) const = default;
};

/// Records sorted by offset; empty at the end of the log.
struct log_records
{
    std::vector<log_record> records;
    /// Offset at which the next read starts.
    std::uint64_t next_offset = 0;
};

/// The requested offset is older than the retention period.
struct log_trimmed
{
    std::uint64_t first_offset = 0;
};

struct log_unavailable
{};

using read_result = std::variant<log_records, log_trimmed, log_unavailable>;

enum class host_state : std::uint8_t
{
    live,
    leaving,
};

template <>
struct enum_names<host_state>
{
    static constexpr std::array<std::string_view, 2> value{"live", "leaving"};
};

/// One entry of the platform's host list, which may be stale.
struct listed_host
{
    std::string name;
    endpoint address;
    std::string data_centre;
    host_state state = host_state::live;

    bool operator==(const listed_host&) const = default;
};

struct host_list
{
    std::vector<listed_host> hosts;
};

struct host_list_unavailable
{};

using host_list_result = std::variant<host_list, host_list_unavailable>;

} // namespace oriolegrade::state

#endif
