// Keys of the settings files, with unit, default and limits of each. The
// decoder and the documentation read the same tables.

#ifndef ORIOLEGRADE_PROTOCOL_SETTINGS_KEY_HPP
#define ORIOLEGRADE_PROTOCOL_SETTINGS_KEY_HPP

#include <oriolegrade/state/enum_names.hpp>

#include <array>
#include <cstdint>
#include <string_view>

namespace oriolegrade::protocol {

enum class settings_kind : std::uint8_t
{
    name,
    /// Printable text without spaces; limits are lengths in bytes.
    secret,
    /// `a.b.c.d:port` of a single host.
    address,
    /// `a.b.c.d:port` to listen on; 0.0.0.0 stands for all addresses.
    listen,
    /// Whole number; limits are values.
    number,
    log_level,
    /// Array of addresses; limits are numbers of elements.
    addresses,
    /// Array of objects with `name` and `secret`; limits are numbers of
    /// elements.
    operators,
};

/// One key of a settings file.
struct settings_row
{
    /// Section and member, joined by a dot; a member alone at the top level.
    std::string_view path;
    settings_kind kind;
    /// Unit of a number, or empty.
    std::string_view unit;
    /// JSON text without quotes. Empty when the key is required, except for
    /// arrays, which are empty by default.
    std::string_view fallback;
    std::uint64_t min;
    std::uint64_t max;
    std::string_view meaning;

    constexpr bool is_required() const
    {
        return fallback.empty() && kind != settings_kind::addresses &&
               kind != settings_kind::operators;
    }
};

enum class entry_key : std::uint8_t
{
    name,
    data_centre,
    caller_listen,
    forward_listen,
    agent,
    platform,
    fleet_key,
    threads,
    log_level,
    notice_ms,
    drain_limit_ms,
    header_bytes,
    buffer_bytes,
    caller_connections,
    header_timeout_ms,
    idle_timeout_ms,
    read_ahead_requests,
    read_ahead_bytes,
    held_answer_bytes,
    requests_per_second,
    burst,
    max_concurrent,
};

enum class agent_key : std::uint8_t
{
    name,
    data_centre,
    feed_listen,
    peer_listen,
    gossip_listen,
    admin_listen,
    platform,
    entry_forward_address,
    peers,
    fleet_key,
    operators,
    log_level,
    retention_s,
    log_readers,
};

inline constexpr std::uint64_t min_secret_bytes = 16;
inline constexpr std::uint64_t max_secret_bytes = 256;

inline constexpr std::array<settings_row, 22> entry_settings_table{{
    {"name", settings_kind::name, "", "", 1, 128,
     "Name of the host; unique in the fleet."},
    {"data_centre", settings_kind::name, "", "", 1, 128,
     "Data centre of the host."},
    {"caller_listen", settings_kind::listen, "", "", 0, 0,
     "Address for callers, HTTP/1.1."},
    {"forward_listen", settings_kind::listen, "", "", 0, 0,
     "Address for other hosts' forwarded requests."},
    {"agent", settings_kind::address, "", "", 0, 0,
     "Address of the agent on this host (its feed_listen)."},
    {"platform", settings_kind::address, "", "", 0, 0,
     "Address of the platform's log, for claims of callers' keys."},
    {"fleet_key", settings_kind::secret, "", "", min_secret_bytes,
     max_secret_bytes, "Secret between the fleet's own processes."},
    {"threads", settings_kind::number, "threads", "4", 1, 256,
     "Worker threads for requests."},
    {"log_level", settings_kind::log_level, "", "info", 0, 0,
     "Lowest level that is logged: debug, info, warning, error."},
    {"shutdown.notice_ms", settings_kind::number, "ms", "5000", 0, 600'000,
     "Time between readiness becoming false and the listener closing."},
    {"shutdown.drain_limit_ms", settings_kind::number, "ms", "30000", 0,
     3'600'000, "Longest wait for requests in flight after that."},
    {"limits.header_bytes", settings_kind::number, "bytes", "16384", 1'024,
     1'048'576, "Largest header block of a request; more is answered 431."},
    {"limits.buffer_bytes", settings_kind::number, "bytes", "65536", 4'096,
     16'777'216, "Buffer of each direction of a streamed body."},
    {"limits.caller_connections", settings_kind::number, "connections", "20000",
     1, 1'000'000, "Connections from all callers together."},
    {"limits.header_timeout_ms", settings_kind::number, "ms", "10000", 100,
     600'000, "Longest time for a caller to send a whole header block."},
    {"limits.idle_timeout_ms", settings_kind::number, "ms", "60000", 100,
     3'600'000, "Time after which an idle caller connection is closed."},
    {"limits.read_ahead_requests", settings_kind::number, "requests", "8", 1,
     64, "Requests of one connection that are read and not answered."},
    {"limits.read_ahead_bytes", settings_kind::number, "bytes", "65536", 4'096,
     1'048'576, "Bytes of one connection that are received ahead, unread."},
    {"limits.held_answer_bytes", settings_kind::number, "bytes", "8388608", 0,
     1'073'741'824,
     "Answers of all connections that wait for those in front of them."},
    {"callers.requests_per_second", settings_kind::number, "requests/s", "50",
     1, 1'000'000, "Sustained rate of one caller."},
    {"callers.burst", settings_kind::number, "requests", "100", 1, 1'000'000,
     "Requests of one caller above the rate at once."},
    {"callers.max_concurrent", settings_kind::number, "requests", "32", 1,
     1'000'000, "Requests of one caller in flight."},
}};

inline constexpr std::array<settings_row, 14> agent_settings_table{{
    {"name", settings_kind::name, "", "", 1, 128,
     "Name of the host, as in the platform's host list."},
    {"data_centre", settings_kind::name, "", "", 1, 128,
     "Data centre of the host."},
    {"feed_listen", settings_kind::listen, "", "", 0, 0,
     "Address for the entry on this host."},
    {"peer_listen", settings_kind::address, "", "", 0, 0,
     "Address for other agents, published to them."},
    {"gossip_listen", settings_kind::address, "", "", 0, 0,
     "UDP address for gossip; the host list and `peers` give this one."},
    {"admin_listen", settings_kind::listen, "", "", 0, 0,
     "Address of the administration API."},
    {"platform", settings_kind::address, "", "", 0, 0,
     "Address of the platform's log and host list."},
    {"entry_forward_address", settings_kind::address, "", "", 0, 0,
     "Address of this host's entry (its forward_listen), published to others."},
    {"peers", settings_kind::addresses, "", "", 0, 64,
     "Gossip addresses tried at start while the host list is unavailable."},
    {"fleet_key", settings_kind::secret, "", "", min_secret_bytes,
     max_secret_bytes, "Secret between the fleet's own processes."},
    {"operators", settings_kind::operators, "", "", 0, 64,
     "Operators of the administration API, each with `name` and `secret`."},
    {"log_level", settings_kind::log_level, "", "info", 0, 0,
     "Lowest level that is logged: debug, info, warning, error."},
    {"retention_s", settings_kind::number, "s", "86400", 60, 31'536'000,
     "Time for which the platform's log keeps records."},
    {"log_readers", settings_kind::number, "hosts", "3", 1, 16,
     "Hosts of a data centre that read the log for the others."},
}};

constexpr const settings_row& row_of(entry_key key)
{
    return entry_settings_table[static_cast<std::size_t>(key)];
}

constexpr const settings_row& row_of(agent_key key)
{
    return agent_settings_table[static_cast<std::size_t>(key)];
}

/// Paths of all rows of a table, in its order.
template <std::size_t Count>
constexpr std::array<std::string_view, Count>
paths_of(const std::array<settings_row, Count>& table)
{
    std::array<std::string_view, Count> paths;
    for (std::size_t n = 0; n < Count; ++n) {
        paths[n] = table[n].path;
    }
    return paths;
}

} // namespace oriolegrade::protocol

namespace oriolegrade::state {

template <>
struct enum_names<protocol::entry_key>
{
    static constexpr auto value =
        protocol::paths_of(protocol::entry_settings_table);
};

template <>
struct enum_names<protocol::agent_key>
{
    static constexpr auto value =
        protocol::paths_of(protocol::agent_settings_table);
};

} // namespace oriolegrade::state

#endif
