// Survey, fetch and writing of snapshots.

#include <oriolegrade/transport/agent_snapshots.hpp>

#include <oriolegrade/protocol/config_messages.hpp>
#include <oriolegrade/transport/event_log.hpp>

#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <map>

namespace oriolegrade::transport {

namespace {

using clock = std::chrono::steady_clock;

/// Hosts asked in one survey.
constexpr std::size_t max_asked = 6;
/// Longest wait for one offer, and for the content.
constexpr std::chrono::seconds offer_limit{2};
constexpr std::chrono::seconds content_limit{15};
constexpr std::chrono::milliseconds admission_pause{200};
/// Time in which gossip finds enough hosts, or there are no more.
constexpr std::chrono::seconds settle_time{3};
/// Contents sent at a time. Each takes an encoding of the whole
/// configuration; a host that is refused asks another one.
constexpr unsigned max_replies = 2;

constexpr std::chrono::milliseconds shortest_check{200};
constexpr std::chrono::seconds longest_check{30};

stream_limits content_limits()
{
    stream_limits limits;
    limits.reply_bytes = protocol::max_snapshot_bytes;
    return limits;
}

} // namespace

struct agent_snapshots::survey
{
    std::vector<candidate> hosts;
    std::vector<coordination::snapshot_offer> offers;
    /// Address of the host that made each offer.
    std::vector<state::endpoint> addresses;
    coordination::offer_poll progress;
    fiber_signal changed;
};

agent_snapshots::agent_snapshots(boost::asio::io_context& ioc,
                                 const protocol::agent_settings& settings,
                                 const agent_membership& membership,
                                 agent_configuration& configuration,
                                 report on_event)
    : ioc_(ioc)
    , settings_(settings)
    , membership_(membership)
    , configuration_(configuration)
    , on_event_(std::move(on_event))
    , start_(clock::now())
{}

std::vector<agent_snapshots::candidate> agent_snapshots::candidates()
{
    std::map<std::string, std::vector<candidate>> centres;
    for (const auto& it : membership_.members().live()) {
        if (it.name != settings_.name) {
            centres[it.data_centre].push_back(
                {it.name, it.data_centre, it.peer, it.next_offset});
        }
    }
    std::size_t longest = 0;
    for (auto& [name, hosts] : centres) {
        std::stable_sort(hosts.begin(), hosts.end(),
                         [](const candidate& a, const candidate& b) {
                             return a.next_offset > b.next_offset;
                         });
        longest = std::max(longest, hosts.size());
    }
    std::vector<candidate> out;
    for (std::size_t n = 0; n < longest; ++n) {
        for (const auto& [name, hosts] : centres) {
            if (n < hosts.size() && out.size() < max_asked) {
                out.push_back(hosts[n]);
            }
        }
    }
    return out;
}

bool agent_snapshots::is_settled(const std::vector<candidate>& hosts) const
{
    const bool several_centres =
        std::any_of(hosts.begin(), hosts.end(), [&](const candidate& it) {
            return it.data_centre != hosts.front().data_centre;
        });
    return (hosts.size() >= coordination::min_offers && several_centres) ||
           clock::now() - start_ >= settle_time;
}

std::optional<state::configuration_snapshot> agent_snapshots::find()
{
    const auto run = std::make_shared<survey>();
    run->hosts = candidates();
    if (run->hosts.empty() || !is_settled(run->hosts)) {
        return std::nullopt;
    }
    auto& progress = run->progress;
    for (const auto& it : run->hosts) {
        auto& names = progress.data_centres;
        if (std::find(names.begin(), names.end(), it.data_centre) ==
            names.end()) {
            names.push_back(it.data_centre);
        }
    }
    progress.asked = run->hosts.size();
    for (std::size_t n = 0; n < run->hosts.size(); ++n) {
        spawn_fiber([this, run, n] {
            run_step("snapshot_survey", [&] { ask(run, n); });
            // The survey waits for each host that it asked.
            ++run->progress.finished;
            run->changed.notify();
        });
    }
    run->changed.wait([&] {
        return progress.finished == progress.asked ||
               coordination::has_enough_offers(run->offers, progress);
    });
    // Offers that arrive from here on must not move those that were chosen.
    const auto offers = run->offers;
    const auto addresses = run->addresses;
    const auto choice = coordination::choose_snapshot(offers);
    if (!choice) {
        return std::nullopt;
    }
    if (choice->disputed) {
        event(log_level::error, "snapshot_disputed")
            .with("next_offset", choice->next_offset);
    }
    const state::snapshot_summary wanted{choice->next_offset, choice->digest};
    for (const auto n : choice->holders) {
        if (auto snapshot = fetch(addresses[n], wanted)) {
            if (snapshot->next_offset <=
                configuration_.current()->next_offset()) {
                return snapshot;
            }
            on_event_(state::audit_kind::snapshot_restored, wanted,
                      "from=" + offers[n].host +
                          " offers=" + std::to_string(offers.size()) +
                          (choice->disputed ? " disputed=yes" : ""));
            return snapshot;
        }
    }
    return std::nullopt;
}

void agent_snapshots::ask(const std::shared_ptr<survey>& run, std::size_t n)
{
    const auto& host = run->hosts[n];
    stream_client client(ioc_, host.peer, settings_.fleet_key, {});
    const auto end = clock::now() + offer_limit;
    auto reply = client.call(snapshot_offer_path, {}, "", offer_limit);
    // Hosts admit this one once they have heard of it.
    while (!reply && clock::now() < end) {
        boost::this_fiber::sleep_for(admission_pause);
        reply = client.call(snapshot_offer_path, {}, "", offer_limit);
    }
    if (reply && reply.value().status == 200) {
        const auto offer = protocol::decode_snapshot_offer(reply.value().body);
        if (offer) {
            // Nothing may throw between an offer and its address.
            run->addresses.reserve(run->addresses.size() + 1);
            run->offers.push_back({host.name, host.data_centre,
                                   offer.value().next_offset,
                                   offer.value().digest});
            run->addresses.push_back(host.peer);
        }
    }
}

std::optional<state::configuration_snapshot>
agent_snapshots::fetch(const state::endpoint& peer,
                       const state::snapshot_summary& wanted)
{
    stream_client client(ioc_, peer, settings_.fleet_key, content_limits());
    const auto reply = client.call(snapshot_path, {}, "", content_limit);
    if (!reply || reply.value().status != 200) {
        return std::nullopt;
    }
    auto snapshot = protocol::decode_snapshot(reply.value().body);
    if (!snapshot) {
        event(log_level::error, "snapshot_malformed")
            .with("peer", to_string(peer))
            .with("findings", snapshot.error().to_text("snapshot"));
        return std::nullopt;
    }
    const auto& got = snapshot.value();
    // The host may have moved on since its offer.
    const bool chosen =
        got.next_offset > wanted.next_offset ||
        (got.next_offset == wanted.next_offset && got.digest == wanted.digest);
    if (!chosen) {
        return std::nullopt;
    }
    return std::move(snapshot).value();
}

void agent_snapshots::serve_offer(server_stream& stream)
{
    const auto next_offset = configuration_.current()->next_offset();
    if (!configuration_.ready()) {
        (void)stream.reply(503, "not ready");
        return;
    }
    if (!has_offered_ || offered_.next_offset != next_offset) {
        auto snapshot = configuration_.snapshot();
        if (!snapshot) {
            (void)stream.reply(503, "incomplete");
            return;
        }
        (void)protocol::encode_snapshot(*snapshot);
        offered_ = {next_offset, snapshot->digest};
        has_offered_ = true;
    }
    (void)stream.reply(200, protocol::encode_snapshot_offer(offered_));
}

void agent_snapshots::serve_content(server_stream& stream)
{
    auto snapshot =
        configuration_.ready() ? configuration_.snapshot() : std::nullopt;
    if (!snapshot || replies_running_ == max_replies) {
        (void)stream.reply(503, "not available");
        return;
    }
    ++replies_running_;
    stream.set_deadline(clock::now() + content_limit);
    (void)stream.reply(200, protocol::encode_snapshot(*snapshot));
    --replies_running_;
}

void agent_snapshots::write_loop()
{
    const auto interval = std::clamp<state::duration>(
        settings_.retention / 20, shortest_check, longest_check);
    for (;;) {
        boost::this_fiber::sleep_for(interval);
        run_step("snapshots", [this] { write_if_due(); });
    }
}

void agent_snapshots::write_if_due()
{
    const auto now = clock::now();
    if (!configuration_.ready() || !configuration_.log_available() ||
        !configuration_.snapshots().refresh(now)) {
        return;
    }
    std::vector<std::string> names;
    for (const auto& it : membership_.members().live()) {
        names.push_back(it.name);
    }
    const auto rank =
        coordination::reader_rank(names, settings_.name, "snapshots");
    // Without any snapshot, the age counts from the start of this host.
    const auto age = configuration_.snapshots().age(now).value_or(now - start_);
    if (!coordination::snapshot_due(age, settings_.retention, rank)) {
        return;
    }
    auto snapshot = configuration_.snapshot();
    if (!snapshot || snapshot->next_offset == 0) {
        return;
    }
    const auto bytes = protocol::encode_snapshot(*snapshot);
    const auto result =
        configuration_.log().append(coordination::snapshot_stream, bytes);
    if (std::holds_alternative<state::appended>(result)) {
        on_event_(state::audit_kind::snapshot_written,
                  {snapshot->next_offset, snapshot->digest},
                  "bytes=" + std::to_string(bytes.size()));
    }
}

} // namespace oriolegrade::transport
