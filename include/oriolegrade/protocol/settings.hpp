// Settings of the programs, decoded from JSON with comments. Unknown keys are
// refused, and all errors of a file are reported together.

#ifndef ORIOLEGRADE_PROTOCOL_SETTINGS_HPP
#define ORIOLEGRADE_PROTOCOL_SETTINGS_HPP

#include <oriolegrade/protocol/settings_key.hpp>
#include <oriolegrade/state/endpoint.hpp>
#include <oriolegrade/state/finding.hpp>
#include <oriolegrade/state/log_level.hpp>
#include <oriolegrade/state/result.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace oriolegrade::protocol {

struct shutdown_settings
{
    /// Time from readiness becoming false to the listener closing.
    std::chrono::milliseconds notice{};
    /// Longest wait for requests in flight after that.
    std::chrono::milliseconds drain_limit{};
};

/// Bounds of what one caller connection may hold.
struct connection_limits
{
    std::size_t header_bytes = 0;
    std::size_t buffer_bytes = 0;
    std::size_t caller_connections = 0;
    std::chrono::milliseconds header_timeout{};
    std::chrono::milliseconds idle_timeout{};
    /// Requests read before those in front of them are answered.
    std::uint32_t read_ahead_requests = 0;
    std::size_t read_ahead_bytes = 0;
    /// Of all connections together.
    std::uint64_t held_answer_bytes = 0;
};

/// Limits of each caller, whether it names itself or not.
struct caller_limits
{
    double requests_per_second = 0;
    std::uint32_t burst = 0;
    std::uint32_t max_concurrent = 0;
};

/// Settings of oriole-entry.
struct entry_settings
{
    std::string name;
    std::string data_centre;
    state::endpoint caller_listen;
    state::endpoint forward_listen;
    state::endpoint agent;
    state::endpoint platform;
    std::string fleet_key;
    unsigned threads = 1;
    state::log_level log_level = state::log_level::info;
    shutdown_settings shutdown;
    connection_limits limits;
    caller_limits callers;
};

/// An operator of the administration API.
struct operator_credential
{
    std::string name;
    std::string secret;
};

/// Settings of oriole-agent.
struct agent_settings
{
    std::string name;
    std::string data_centre;
    state::endpoint feed_listen;
    state::endpoint peer_listen;
    state::endpoint gossip_listen;
    state::endpoint admin_listen;
    state::endpoint platform;
    state::endpoint entry_forward_address;
    std::vector<state::endpoint> peers;
    std::string fleet_key;
    std::vector<operator_credential> operators;
    state::log_level log_level = state::log_level::info;
    /// Time for which the platform's log keeps records.
    std::chrono::seconds retention{};
    unsigned log_readers = 1;
};

state::result<entry_settings, state::findings>
decode_entry_settings(std::string_view text);

state::result<agent_settings, state::findings>
decode_agent_settings(std::string_view text);

} // namespace oriolegrade::protocol

#endif
