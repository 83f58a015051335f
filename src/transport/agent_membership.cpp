// Gossip socket, timers and the list of hosts for entries.

#include <oriolegrade/transport/agent_membership.hpp>

#include <oriolegrade/protocol/gossip_datagram.hpp>
#include <oriolegrade/transport/event_log.hpp>
#include <oriolegrade/transport/fiber_yield.hpp>
#include <oriolegrade/transport/tcp.hpp>

#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <array>

namespace oriolegrade::transport {

namespace {

using udp = boost::asio::ip::udp;

/// Interval of reading the platform's host list, which lags anyway.
constexpr std::chrono::seconds host_list_interval{5};
/// Shortest time between two versions of the list of hosts, so that a burst
/// of claims becomes one update.
constexpr std::chrono::milliseconds refresh_interval{250};
/// Pause after a failed receive, for example a full kernel table.
constexpr std::chrono::milliseconds receive_pause{50};

std::uint64_t unix_milliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

state::member_info describe_self(const protocol::agent_settings& settings)
{
    state::member_info self;
    self.name = settings.name;
    self.data_centre = settings.data_centre;
    self.gossip = settings.gossip_listen;
    self.peer = settings.peer_listen;
    self.forward = settings.entry_forward_address;
    // Above that of an earlier life, unless the clock went back.
    self.incarnation = unix_milliseconds();
    return self;
}

udp::endpoint to_udp(const state::endpoint& ep)
{
    return {boost::asio::ip::address_v4(ep.address), ep.port};
}

state::peer_entry to_peer(const state::member_info& it, bool leaving)
{
    return {it.name, it.data_centre, it.forward, it.incarnations, leaving};
}

/// The first byte of gossip is the tag of a protobuf field, which is 8 or
/// more. Health datagrams begin with their kind, which is below.
bool is_health_datagram(char first)
{
    constexpr unsigned char least_tag = 8;
    return static_cast<unsigned char>(first) < least_tag;
}

} // namespace

agent_membership::agent_membership(boost::asio::io_context& ioc,
                                   const protocol::agent_settings& settings)
    : settings_(settings)
    , socket_(ioc, to_udp(settings.gossip_listen))
    , platform_(ioc, settings.platform, {})
    , members_(describe_self(settings), {}, std::chrono::steady_clock::now())
{
    // A datagram that the kernel cannot take at once counts as lost.
    socket_.non_blocking(true);
    members_.set_seeds(settings.peers);
    refresh_peers();
}

void agent_membership::start()
{
    spawn_fiber([this] { receive_loop(); });
    spawn_fiber([this] { tick_loop(); });
    spawn_fiber([this] { host_list_loop(); });
    spawn_fiber([this] { refresh_loop(); });
}

void agent_membership::receive_loop()
{
    std::array<char, protocol::max_datagram_bytes + 1> buf;
    repeat_for_ever("gossip_receive", receive_pause, [&] {
        udp::endpoint from;
        error_code ec;
        const auto n = socket_.async_receive_from(boost::asio::buffer(buf),
                                                  from, fiber_yield(ec));
        if (ec) {
            // Errors of earlier sends arrive here too.
            boost::this_fiber::sleep_for(receive_pause);
            return;
        }
        traffic_.received_bytes += n;
        ++traffic_.received_datagrams;
        if (n > 0 && is_health_datagram(buf[0])) {
            answer_health({buf.data(), n}, from);
            return;
        }
        const auto message =
            protocol::decode_gossip({buf.data(), n}, settings_.fleet_key);
        if (!message) {
            ++traffic_.refused_datagrams;
            return;
        }
        const state::endpoint source{from.address().to_v4().to_uint(),
                                     from.port()};
        send(members_.receive(std::chrono::steady_clock::now(), source,
                              message.value()));
        dirty_ = true;
        dirtied_.notify();
    });
}

void agent_membership::answer_health(std::string_view bytes,
                                     const udp::endpoint& from)
{
    const auto reply =
        on_health_datagram_ ? on_health_datagram_(bytes) : std::string();
    if (!reply.empty()) {
        error_code ec;
        socket_.send_to(boost::asio::buffer(reply), from, 0, ec);
    }
}

void agent_membership::send_datagram(const state::endpoint& peer,
                                     const std::string& bytes)
{
    for (const auto& [name, it] : members_.members().all()) {
        if (it.info.peer == peer) {
            error_code ec;
            socket_.send_to(boost::asio::buffer(bytes), to_udp(it.info.gossip),
                            0, ec);
            return;
        }
    }
}

void agent_membership::tick_loop()
{
    repeat_for_ever("gossip", refresh_interval, [this] {
        send(members_.tick(std::chrono::steady_clock::now(), random_));
        dirty_ = true;
        dirtied_.notify();
        boost::this_fiber::sleep_until(members_.next_deadline());
    });
}

void agent_membership::host_list_loop()
{
    for (;;) {
        run_step("host_list", [this] {
            const auto answer = platform_.hosts();
            if (const auto* list = std::get_if<state::host_list>(&answer)) {
                members_.set_host_list(*list, std::chrono::steady_clock::now());
            }
        });
        boost::this_fiber::sleep_for(host_list_interval);
    }
}

void agent_membership::refresh_loop()
{
    repeat_for_ever("members", refresh_interval, [this] {
        dirtied_.wait([this] { return dirty_; });
        dirty_ = false;
        refresh_peers();
        report_ends();
        if (on_refresh_) {
            on_refresh_();
        }
        boost::this_fiber::sleep_for(refresh_interval);
    });
}

void agent_membership::send(
    const std::vector<coordination::outgoing_gossip>& messages)
{
    for (const auto& it : messages) {
        const auto bytes =
            protocol::encode_gossip(it.message, settings_.fleet_key);
        error_code ec;
        const auto n =
            socket_.send_to(boost::asio::buffer(bytes), to_udp(it.to), 0, ec);
        traffic_.sent_bytes += ec ? 0 : n;
        traffic_.sent_datagrams += ec ? 0 : 1;
    }
}

void agent_membership::set_incarnations(
    std::vector<state::identifier> incarnations)
{
    if (incarnations == members_.self().incarnations) {
        return;
    }
    members_.set_incarnations(std::move(incarnations));
    send(members_.announce(random_));
    refresh_peers();
}

void agent_membership::set_next_offset(std::uint64_t next_offset)
{
    members_.set_next_offset(next_offset);
}

void agent_membership::leave()
{
    members_.leave();
    send(members_.announce(random_));
    refresh_peers();
}

void agent_membership::refresh_peers()
{
    std::vector<state::peer_entry> fresh;
    for (const auto& [name, it] : members_.members().all()) {
        if (it.has_gossip && it.info.state != state::member_state::dead) {
            fresh.push_back(to_peer(it.info, it.is_leaving()));
        }
    }
    const auto& self = members_.self();
    const auto place = std::lower_bound(
        fresh.begin(), fresh.end(), self.name,
        [](const auto& it, const auto& name) { return it.name < name; });
    fresh.insert(place, to_peer(self, self.leaving));
    if (fresh != peers_) {
        peers_ = std::move(fresh);
        ++peers_version_;
        peers_changed_.notify();
    }
}

void agent_membership::report_ends()
{
    const auto report = [this](auto& reported, const state::member_info& it,
                               bool dead) {
        auto& known = reported[it.name];
        if (known != it.incarnation) {
            known = it.incarnation;
            event(log_level::info, dead ? "host_dead" : "host_leaving")
                .with("host", it.name)
                .with("incarnation", it.incarnation);
            if (on_end_) {
                on_end_(it, dead);
            }
        }
    };
    const auto& all = members_.members().all();
    for (const auto& [name, it] : all) {
        if (it.has_gossip && it.info.state == state::member_state::dead) {
            report(reported_dead_, it.info, true);
        } else if (it.has_gossip && it.is_leaving()) {
            report(reported_leaving_, it.info, false);
        }
    }
    const auto forgotten = [&](const auto& it) {
        return !all.contains(it.first);
    };
    std::erase_if(reported_dead_, forgotten);
    std::erase_if(reported_leaving_, forgotten);
}

bool agent_membership::admits(std::uint32_t address) const
{
    if (boost::asio::ip::address_v4(address).is_loopback()) {
        return true;
    }
    const auto& all = members_.members().all();
    return std::any_of(all.begin(), all.end(), [&](const auto& it) {
        const auto& info = it.second.info;
        return info.peer.address == address || info.gossip.address == address;
    });
}

bool agent_membership::wait_peers(std::uint64_t known_version,
                                  state::duration limit)
{
    return peers_changed_.wait_until(
        std::chrono::steady_clock::now() + limit,
        [&] { return peers_version_ != known_version; });
}

} // namespace oriolegrade::transport
