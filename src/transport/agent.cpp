// Wiring of an agent's parts.

#include <oriolegrade/transport/agent.hpp>

#include <oriolegrade/transport/agent_feed.hpp>
#include <oriolegrade/transport/agent_peer_feed.hpp>
#include <oriolegrade/transport/entry_peers.hpp>
#include <oriolegrade/transport/event_log.hpp>

#include <boost/fiber/operations.hpp>

#include <algorithm>

namespace oriolegrade::transport {

namespace {

/// Time in which a host tells others that it stops: one period, in which
/// each that heard it at once tells three more.
constexpr std::chrono::milliseconds leave_time{1'500};

/// Hosts that write the end of another one to the audit trail. All see it;
/// one of them may end too.
constexpr std::size_t end_witnesses = 2;

/// Audit kind of a decision; empty for steps in between, which are logged
/// only.
std::optional<state::audit_kind>
audit_kind_of(coordination::health_event_kind kind)
{
    using coordination::health_event_kind;
    switch (kind) {
    case health_event_kind::ejected:
        return state::audit_kind::upstream_ejected;
    case health_event_kind::trial:
        return state::audit_kind::upstream_trial;
    case health_event_kind::returned:
        return state::audit_kind::upstream_returned;
    case health_event_kind::leaving:
        return state::audit_kind::upstream_leaving;
    case health_event_kind::kept_by_floor:
        return state::audit_kind::floor_kept;
    default:
        return std::nullopt;
    }
}

boost::asio::ip::tcp::acceptor open_acceptor(boost::asio::io_context& ioc,
                                             const state::endpoint& address)
{
    auto acceptor = listen_on(ioc, to_tcp(address));
    if (!acceptor) {
        throw boost::system::system_error(acceptor.error(), to_string(address));
    }
    return std::move(acceptor.value());
}

} // namespace

agent::agent(boost::asio::io_context& ioc,
             const protocol::agent_settings& settings)
    : settings_(settings)
    , membership_(ioc, settings_)
    , configuration_(ioc, settings_.platform)
    , audit_(settings_.name, membership_.members().self().incarnation,
             configuration_.log())
    , push_(ioc, settings_, membership_, configuration_)
    , snapshots_(ioc, settings_, membership_, configuration_,
                 [this](auto kind, const auto& what, const auto& detail) {
                     audit_snapshot(kind, what, detail);
                 })
    , health_(ioc, settings_.fleet_key, health_sources())
    , own_server_(open_acceptor(ioc, settings_.feed_listen),
                  settings_.fleet_key, {},
                  [this](server_stream& stream) { serve_own(stream); })
    , peer_server_(open_acceptor(ioc, settings_.peer_listen),
                   settings_.fleet_key, {},
                   [this](server_stream& stream) { serve_peer(stream); })
    , api_(configuration_, membership_, push_, health_, audit_, settings_)
    , admin_(ioc, settings_.admin_listen, [this](const http_request& request) {
        return api_.serve(request);
    })
{
    set_handlers();
    peer_server_.admit_only(
        [this](std::uint32_t address) { return membership_.admits(address); });
}

void agent::set_handlers()
{
    configuration_.set_handlers(
        {[this](const state::record_batch& batch) { push_.pass_on(batch); },
         [this] { return snapshots_.find(); },
         [this](const coordination::configuration_change& change) {
             take(change);
         }});
    membership_.on_end([this](const state::member_info& member, bool dead) {
        audit_end(member, dead);
    });
    membership_.on_refresh([this] { take_members(); });
    membership_.on_health_datagram([this](std::string_view bytes) {
        return health_.take_datagram(bytes);
    });
}

void agent::start()
{
    membership_.start();
    health_.start();
    own_server_.start();
    peer_server_.start();
    spawn_fiber([this] { configuration_.follow(); });
    spawn_fiber([this] { audit_.write_loop(); });
    spawn_fiber([this] { snapshots_.write_loop(); });
    event(log_level::info, "agent_started")
        .with("admin", to_string(settings_.admin_listen))
        .with("feed", to_string(settings_.feed_listen))
        .with("gossip", to_string(settings_.gossip_listen));
}

void agent::leave()
{
    membership_.leave();
    boost::this_fiber::sleep_for(leave_time);
}

void agent::serve_own(server_stream& stream)
{
    if (stream.path() == feed_path) {
        serve_feed(configuration_, stream);
    } else if (stream.path() == peers_path) {
        serve_peers(membership_, stream);
    } else if (!health_.serve_own(stream)) {
        (void)stream.reply(404, "");
    }
}

void agent::serve_peer(server_stream& stream)
{
    if (stream.path() == push_path) {
        push_.serve(stream);
    } else if (stream.path() == snapshot_path) {
        snapshots_.serve_content(stream);
    } else if (stream.path() == snapshot_offer_path) {
        snapshots_.serve_offer(stream);
    } else if (!health_.serve_peer(stream)) {
        (void)stream.reply(404, "");
    }
}

void agent::take(const coordination::configuration_change& change)
{
    membership_.set_next_offset(change.content->next_offset());
    for (const auto& it : change.skipped) {
        state::audit_event event;
        event.kind = state::audit_kind::record_skipped;
        event.subject = "offset/" + std::to_string(it.offset);
        event.detail = "code=" + std::string(state::name_of(it.reason.code)) +
                       " place=" + it.reason.place;
        audit_.add(std::move(event));
    }
}

void agent::take_members()
{
    std::uint64_t highest = 0;
    std::size_t live = 1;
    for (const auto& [name, it] : membership_.members().members().all()) {
        if (it.is_live()) {
            highest = std::max(highest, it.info.next_offset);
            ++live;
        }
    }
    configuration_.set_known_offset(highest);
    if (members_version_ != membership_.peers_version()) {
        members_version_ = membership_.peers_version();
        audit_.set_hosts(live);
        push_.update();
    }
}

agent_health_sources agent::health_sources()
{
    agent_health_sources sources;
    sources.self = settings_.peer_listen;
    sources.live_hosts = [this] {
        std::vector<state::endpoint> hosts{settings_.peer_listen};
        for (const auto& it : membership_.members().live()) {
            if (it.peer != settings_.peer_listen) {
                hosts.push_back(it.peer);
            }
        }
        return hosts;
    };
    sources.configuration = [this] {
        return configuration_.current();
    };
    sources.audit = [this](const coordination::service_event& event,
                           const std::string& line) {
        audit_health(event, line);
    };
    sources.send_datagram = [this](const state::endpoint& peer,
                                   const std::string& bytes) {
        membership_.send_datagram(peer, bytes);
    };
    return sources;
}

void agent::audit_health(const coordination::service_event& event,
                         const std::string& line)
{
    const auto kind = audit_kind_of(event.event.kind);
    if (!kind) {
        return;
    }
    state::audit_event entry;
    entry.kind = *kind;
    entry.subject = "upstream/" + to_string(event.event.upstream);
    entry.detail = line;
    audit_.add(std::move(entry));
}

void agent::audit_end(const state::member_info& member, bool dead)
{
    std::vector<std::string> names;
    for (const auto& it : membership_.members().live()) {
        names.push_back(it.name);
    }
    if (coordination::reader_rank(names, settings_.name,
                                  "end/" + member.name) >= end_witnesses) {
        return;
    }
    state::audit_event event;
    event.kind =
        dead ? state::audit_kind::host_dead : state::audit_kind::host_leaving;
    event.subject = "host/" + member.name;
    event.detail = "data_centre=" + member.data_centre +
                   " incarnation=" + std::to_string(member.incarnation);
    audit_.add(std::move(event));
}

void agent::audit_snapshot(state::audit_kind kind,
                           const state::snapshot_summary& what,
                           const std::string& detail)
{
    state::audit_event event;
    event.kind = kind;
    event.subject = "snapshot/" + std::to_string(what.next_offset);
    event.detail = "digest=" + to_string(what.digest) + " " + detail;
    audit_.add(std::move(event));
}

} // namespace oriolegrade::transport
