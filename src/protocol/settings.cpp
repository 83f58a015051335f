// Decoding of settings files.

#include <oriolegrade/protocol/settings.hpp>

#include "settings_reader.hpp"

namespace oriolegrade::protocol {

namespace {

constexpr json_limits settings_limits{std::size_t{64} << 10U, 4, 1'024};

shutdown_settings read_shutdown(settings_reader& in)
{
    shutdown_settings s;
    s.notice = in.milliseconds(row_of(entry_key::notice_ms));
    s.drain_limit = in.milliseconds(row_of(entry_key::drain_limit_ms));
    return s;
}

connection_limits read_limits(settings_reader& in)
{
    connection_limits l;
    l.header_bytes = in.number(row_of(entry_key::header_bytes));
    l.buffer_bytes = in.number(row_of(entry_key::buffer_bytes));
    l.caller_connections = in.number(row_of(entry_key::caller_connections));
    l.header_timeout = in.milliseconds(row_of(entry_key::header_timeout_ms));
    l.idle_timeout = in.milliseconds(row_of(entry_key::idle_timeout_ms));
    l.read_ahead_requests = static_cast<std::uint32_t>(
        in.number(row_of(entry_key::read_ahead_requests)));
    l.read_ahead_bytes = in.number(row_of(entry_key::read_ahead_bytes));
    l.held_answer_bytes = in.number(row_of(entry_key::held_answer_bytes));
    return l;
}

caller_limits read_callers(settings_reader& in)
{
    caller_limits c;
    c.requests_per_second =
        static_cast<double>(in.number(row_of(entry_key::requests_per_second)));
    c.burst = static_cast<std::uint32_t>(in.number(row_of(entry_key::burst)));
    c.max_concurrent = static_cast<std::uint32_t>(
        in.number(row_of(entry_key::max_concurrent)));
    return c;
}

entry_settings read_entry(settings_reader& in)
{
    entry_settings s;
    s.name = in.name(row_of(entry_key::name));
    s.data_centre = in.name(row_of(entry_key::data_centre));
    s.caller_listen = in.endpoint(row_of(entry_key::caller_listen));
    s.forward_listen = in.endpoint(row_of(entry_key::forward_listen));
    s.agent = in.endpoint(row_of(entry_key::agent));
    s.platform = in.endpoint(row_of(entry_key::platform));
    s.fleet_key = in.secret(row_of(entry_key::fleet_key));
    s.threads = static_cast<unsigned>(in.number(row_of(entry_key::threads)));
    s.log_level = in.log_level(row_of(entry_key::log_level));
    s.shutdown = read_shutdown(in);
    s.limits = read_limits(in);
    s.callers = read_callers(in);
    in.check_distinct(row_of(entry_key::caller_listen), s.caller_listen,
                      row_of(entry_key::forward_listen), s.forward_listen);
    return s;
}

/// The gossip address is UDP, so it may share its port with the others.
void check_listeners(settings_reader& in, const agent_settings& s)
{
    const auto& feed = row_of(agent_key::feed_listen);
    const auto& peer = row_of(agent_key::peer_listen);
    const auto& admin = row_of(agent_key::admin_listen);
    in.check_distinct(feed, s.feed_listen, peer, s.peer_listen);
    in.check_distinct(feed, s.feed_listen, admin, s.admin_listen);
    in.check_distinct(peer, s.peer_listen, admin, s.admin_listen);
}

agent_settings read_agent(settings_reader& in)
{
    agent_settings s;
    s.name = in.name(row_of(agent_key::name));
    s.data_centre = in.name(row_of(agent_key::data_centre));
    s.feed_listen = in.endpoint(row_of(agent_key::feed_listen));
    s.peer_listen = in.endpoint(row_of(agent_key::peer_listen));
    s.gossip_listen = in.endpoint(row_of(agent_key::gossip_listen));
    s.admin_listen = in.endpoint(row_of(agent_key::admin_listen));
    s.platform = in.endpoint(row_of(agent_key::platform));
    s.entry_forward_address =
        in.endpoint(row_of(agent_key::entry_forward_address));
    s.peers = in.addresses(row_of(agent_key::peers));
    s.fleet_key = in.secret(row_of(agent_key::fleet_key));
    s.operators = in.operators(row_of(agent_key::operators));
    s.log_level = in.log_level(row_of(agent_key::log_level));
    s.retention =
        std::chrono::seconds(in.number(row_of(agent_key::retention_s)));
    s.log_readers =
        static_cast<unsigned>(in.number(row_of(agent_key::log_readers)));
    check_listeners(in, s);
    return s;
}

template <class Settings>
state::result<Settings, state::findings>
decode(std::string_view text, Settings (*read)(settings_reader&))
{
    auto root = parse_json(text, settings_limits);
    if (!root) {
        return std::move(root).error();
    }
    state::findings out;
    settings_reader in(root.value(), out);
    auto settings = read(in);
    in.finish();
    if (!out.empty()) {
        return out;
    }
    return settings;
}

} // namespace

state::result<entry_settings, state::findings>
decode_entry_settings(std::string_view text)
{
    return decode<entry_settings>(text, read_entry);
}

state::result<agent_settings, state::findings>
decode_agent_settings(std::string_view text)
{
    return decode<agent_settings>(text, read_agent);
}

} // namespace oriolegrade::protocol
