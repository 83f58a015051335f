// Order of dispatchers asked, and what their silence means.

#include <oriolegrade/transport/gateway/dispatch_router.hpp>

#include <oriolegrade/coordination/host_seed.hpp>
#include <oriolegrade/coordination/reader_election.hpp>
#include <oriolegrade/transport/event_log.hpp>
#include <oriolegrade/transport/fiber_scheduler.hpp>

#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <utility>

namespace oriolegrade::transport {

namespace {

using clock = std::chrono::steady_clock;
using coordination::exclusion_reason;
using coordination::placing_position;

/// Time for the first word of a dispatcher. A round trip takes some 3 ms, and
/// a host with a small share of a core may pause for some 50 ms.
constexpr std::chrono::milliseconds answer_limit{80};
/// Time after the start for which requests wait for the other hosts to be
/// known. A read of the directory took up to 0.6 s with 443 hosts that had
/// started together; a read of the register by a host with 0.1 of a core takes
/// 0.9 s.
constexpr std::chrono::milliseconds members_wait{800};
/// A dispatcher that owes an answer and has said nothing for this long is
/// taken for lost, and its connection for dead.
constexpr std::chrono::milliseconds silence_limit{250};
/// A dispatcher with an old view of the register is left alone this long.
constexpr std::chrono::milliseconds stale_pause{500};
/// Streams to the first dispatchers are kept open also without requests, for
/// notices of new rules.
constexpr std::chrono::milliseconds link_check_interval{1000};
constexpr std::size_t most_kept_links = 3;

} // namespace

dispatch_router::dispatch_router(boost::asio::io_context& ioc,
                                 gateway_shared& shared, dispatch_service& own)
    : ioc_(ioc)
    , shared_(shared)
    , own_(own)
    , budget_(shared.options.budget,
              coordination::host_seed(shared.options.self.name))
    , members_wait_end_(clock::now() + members_wait)
{
    ranking_.set_members({shared.options.self});
}

void dispatch_router::set_members(
    const std::vector<state::host_member>& members)
{
    ranking_.set_members(members);
    budget_.set_hosts(members.size());
    links_due_ = true;
    members_changed_.notify();
    release_early();
}

bool dispatch_router::is_primary(const std::string& service)
{
    const auto first = ranking_.candidates(service, 1, clock::now());
    return first.empty() || first.front().name == shared_.options.self.name;
}

std::set<std::string> dispatch_router::other_dispatchers()
{
    std::set<std::string> names;
    const auto rules = shared_.rules.read();
    for (const auto& service : rules->rules().services) {
        for (const auto& it :
             ranking_.candidates(service.first, 2, clock::now())) {
            if (it.name != shared_.options.self.name) {
                names.insert(it.name);
                break;
            }
        }
    }
    return names;
}

void dispatch_router::ask(std::uint64_t number,
                          const state::place_request& request,
                          answer_callback done)
{
    const auto now = clock::now();
    if (!request.placed_before &&
        !budget_.admit(request.service, request.kind, now)) {
        return done(budget_.refuse(number));
    }
    auto& it =
        requests_
            .emplace(number, request_state{request, std::move(done), now,
                                           coordination::dispatcher_search(
                                               now, request.time_left)})
            .first->second;
    it.request.host = shared_.options.self.name;
    it.request.data_centre = shared_.options.self.data_centre;
    if (knows_members && !knows_members() && now < members_wait_end_) {
        wait_for_members(number);
    } else {
        advance(number);
    }
}

void dispatch_router::wait_for_members(std::uint64_t number)
{
    early_.push_back(number);
    if (early_.size() == 1) {
        spawn_fiber([this] {
            boost::this_fiber::sleep_until(members_wait_end_);
            release_early();
        });
    }
}

void dispatch_router::release_early()
{
    for (const auto number : std::exchange(early_, {})) {
        if (requests_.contains(number)) {
            run_step("dispatch_ask", [&] { advance(number); });
        }
    }
}

void dispatch_router::advance(std::uint64_t number)
{
    auto& it = requests_.at(number);
    const auto now = clock::now();
    const auto step = it.search.next(
        ranking_, it.request.service, shared_.options.self.name, now,
        [&](const std::string& host) { return state_of(host, now); });
    it.request.accept_stale = step.accept_stale;
    if (step.peer == nullptr) {
        ask_own(number);
    } else {
        ask_peer(number, *step.peer);
    }
    send_probes();
}

coordination::dispatcher_state
dispatch_router::state_of(const std::string& host, time_point now)
{
    using coordination::dispatcher_state;
    const auto found = peers_.find(host);
    if (found == peers_.end()) {
        return dispatcher_state::usable;
    }
    auto& it = found->second;
    if (it.silent_since != time_point::min()) {
        if (now - it.silent_since >= silence_limit) {
            event(log_level::info, "dispatcher_silent").with("host", host);
            it.silent_since = time_point::min();
            ranking_.failed(host, now);
            // The connection may be dead while new ones work.
            it.link->reset();
        }
        return dispatcher_state::silent;
    }
    if (now < it.stale_until) {
        return dispatcher_state::stale;
    }
    return late_.is_avoided(host, now) ? dispatcher_state::late
                                       : dispatcher_state::usable;
}

void dispatch_router::send_probes()
{
    const auto now = clock::now();
    for (const auto& name : ranking_.take_probes(now)) {
        const auto* host = ranking_.find(name);
        if (host == nullptr) {
            continue;
        }
        auto& it = peer_at(*host);
        if (it.link->is_open() && !it.leaving) {
            ranking_.answered(name);
            continue;
        }
        // A dispatcher answers a new stream at once.
        it.link->send(
            protocol::rules_notice{shared_.rules.read()->rules().version, {}});
    }
}

void dispatch_router::ask_own(std::uint64_t number)
{
    auto& it = requests_.at(number);
    it.host.clear();
    const auto attempt = ++it.own_attempts;
    const auto request = it.request;
    const auto request_id = own_.ask_locally(
        request, [this, number](const dispatch_service::reply& what) {
            take_reply(number, what);
        });
    // A refusal within the call may have led to another request here, whose
    // id counts.
    const auto found = requests_.find(number);
    if (found != requests_.end() && found->second.own_attempts == attempt) {
        found->second.request_id = request_id;
    }
}

dispatch_router::peer& dispatch_router::peer_at(const state::host_member& host)
{
    auto& it = peers_[host.name];
    if (!it.link) {
        const auto name = host.name;
        it.link = std::make_unique<dispatch_link>(
            ioc_, host.control, [this] { return hello(); },
            [this, name](const protocol::dispatcher_frame& frame) {
                take(name, frame);
            },
            [this, name] { link_lost(name); });
    }
    return it;
}

void dispatch_router::ask_peer(std::uint64_t number,
                               const state::host_member& host)
{
    auto& it = requests_.at(number);
    it.host = host.name;
    it.at = stage::asked;
    waits_.push_back({clock::now() + answer_limit, number, host.name});
    changed_.notify();
    peer_at(host).link->send(
        protocol::numbered<state::place_request>{number, it.request});
}

protocol::entry_hello dispatch_router::hello() const
{
    protocol::entry_hello out{
        shared_.options.self.name, shared_.options.self.data_centre, {}};
    std::map<std::pair<std::string, std::string>, std::uint32_t> counts;
    for (const auto& [number, it] : requests_) {
        if (it.at == stage::placed) {
            ++counts[{it.request.service, it.upstream}];
        }
    }
    for (const auto& [key, count] : counts) {
        out.in_flight.push_back({key.first, key.second, count});
    }
    return out;
}

void dispatch_router::take(const std::string& host,
                           const protocol::dispatcher_frame& frame)
{
    auto& peer = peers_.at(host);
    peer.silent_since = time_point::min();
    if (!peer.leaving) {
        ranking_.answered(host);
    }
    std::visit([&](const auto& it) { take_answer(host, it); }, frame);
}

template <class What>
void dispatch_router::take_answer(const std::string& host,
                                  const protocol::numbered<What>& it)
{
    const auto found = requests_.find(it.number);
    if (found != requests_.end() && found->second.host == host) {
        return take_reply(it.number, it.what);
    }
    // The request went elsewhere meanwhile.
    peers_.at(host).link->send(protocol::numbered<state::send_report>{
        it.number, {state::send_result::cancelled, {}, {}, true}});
}

void dispatch_router::take_answer(const std::string& host,
                                  const protocol::rules_notice& it)
{
    on_rules(host, it);
}

void dispatch_router::tell_rules_version(std::uint64_t version)
{
    for (const auto& [name, peer] : peers_) {
        if (peer.link->is_open()) {
            peer.link->send(protocol::rules_notice{version, {}});
        }
    }
}

std::vector<std::string>
dispatch_router::kept_services(const state::traffic_rules& rules) const
{
    std::vector<std::string> names;
    for (const auto& it : rules.services) {
        names.push_back(it.first);
    }
    // Each host has an order of its own, so that the streams spread over the
    // dispatchers of many services.
    return coordination::reader_order(std::move(names),
                                      shared_.options.self.name);
}

void dispatch_router::keep_links()
{
    repeat_for_ever("dispatch_links", link_check_interval, [this] {
        members_changed_.wait_until(clock::now() + link_check_interval,
                                    [this] { return links_due_; });
        links_due_ = false;
        log_placements();
        const auto rules = shared_.rules.read();
        const auto now = clock::now();
        std::size_t links = 0;
        for (const auto& service : kept_services(rules->rules())) {
            const auto first = ranking_.candidates(service, 1, now);
            if (first.empty() ||
                first.front().name == shared_.options.self.name) {
                continue;
            }
            auto& link = *peer_at(first.front()).link;
            if (!link.is_open()) {
                link.send(protocol::rules_notice{rules->rules().version, {}});
            }
            if (++links == most_kept_links) {
                break;
            }
        }
        send_probes();
    });
}

void dispatch_router::take_reply(std::uint64_t number,
                                 const dispatch_service::reply& what)
{
    const auto found = requests_.find(number);
    if (found == requests_.end()) {
        return;
    }
    auto& it = found->second;
    if (it.at == stage::placed) {
        // The place is in use: whatever follows it, its end is to be reported.
        return;
    }
    if (std::holds_alternative<protocol::in_line>(what)) {
        it.at = stage::in_line;
    } else if (const auto* away = std::get_if<state::place_refusal>(&what)) {
        take_refusal(number, *away);
    } else {
        const auto& place = std::get<state::place>(what);
        it.at = stage::placed;
        it.upstream = place.upstream;
        if (it.request.kind != state::send_kind::first) {
            const auto now = clock::now();
            budget_.placed(it.request.service, it.counted_at, now);
            it.counted_at = now;
        }
        const auto by = placing_position_of(it);
        placement_counters_.placed(it.request.service, by);
        if (by == placing_position::own) {
            shared_.metrics.count_fallback();
        }
        it.done(place);
    }
}

void dispatch_router::take_refusal(std::uint64_t number,
                                   const state::place_refusal& away)
{
    auto& it = requests_.at(number);
    const bool elsewhere = away.reason == state::place_refusal_reason::stale ||
                           away.reason == state::place_refusal_reason::leaving;
    if (!elsewhere || (it.host.empty() && it.request.accept_stale)) {
        const auto done = std::move(it.done);
        return_budget(it);
        requests_.erase(number);
        return done(away);
    }
    const auto now = clock::now();
    if (it.host.empty()) {
        it.search.mark_stale(shared_.options.self.name);
        return advance(number);
    }
    const auto reason = away.reason == state::place_refusal_reason::leaving
                            ? exclusion_reason::leaving
                            : exclusion_reason::stale;
    placement_counters_.excluded(it.request.service, reason);
    if (reason == exclusion_reason::leaving) {
        peers_.at(it.host).leaving = true;
        ranking_.failed(it.host, now);
    } else {
        peers_.at(it.host).stale_until = now + stale_pause;
        it.search.mark_stale(it.host);
    }
    it.search.exclude(it.host, reason);
    advance(number);
}

void dispatch_router::report(std::uint64_t number,
                             const state::send_report& report)
{
    const auto found = requests_.find(number);
    if (found == requests_.end()) {
        return;
    }
    if (found->second.at != stage::placed || report.unused) {
        return_budget(found->second);
    }
    const auto host = std::move(found->second.host);
    const auto request_id = found->second.request_id;
    requests_.erase(found);
    if (host.empty()) {
        own_.report(request_id, report);
        return;
    }
    // The report of a place that an earlier stream gave is ignored there.
    const auto peer = peers_.find(host);
    if (peer != peers_.end() && peer->second.link->is_open()) {
        peer->second.link->send(
            protocol::numbered<state::send_report>{number, report});
    }
}

void dispatch_router::return_budget(const request_state& it)
{
    if (it.request.kind != state::send_kind::first) {
        budget_.refund(it.request.service, it.counted_at, clock::now());
    }
}

void dispatch_router::link_lost(const std::string& host)
{
    auto& peer = peers_.at(host);
    peer.silent_since = time_point::min();
    peer.leaving = false;
    ranking_.failed(host, clock::now());
    event(log_level::info, "dispatcher_lost").with("host", host);
    std::vector<std::uint64_t> unplaced;
    for (const auto& [number, it] : requests_) {
        if (it.host == host && it.at != stage::placed) {
            unplaced.push_back(number);
        }
    }
    for (const auto number : unplaced) {
        auto& it = requests_.at(number);
        placement_counters_.excluded(it.request.service,
                                     exclusion_reason::lost);
        it.search.exclude(host, exclusion_reason::lost);
        run_step("dispatch_ask", [&] { advance(number); });
    }
}

void dispatch_router::note_late(const wait& it)
{
    const auto found = requests_.find(it.number);
    if (found == requests_.end() || found->second.host != it.host ||
        found->second.at != stage::asked) {
        return;
    }
    auto& peer = peers_.at(it.host);
    if (peer.silent_since == time_point::min()) {
        peer.silent_since = clock::now() - answer_limit;
    }
    placement_counters_.excluded(found->second.request.service,
                                 exclusion_reason::late);
    if (late_.late(it.host, clock::now())) {
        event(log_level::info, "dispatcher_avoided")
            .with("host", it.host)
            .with("service", found->second.request.service);
    }
    found->second.search.exclude(it.host, exclusion_reason::late);
    advance(it.number);
}

placing_position dispatch_router::placing_position_of(const request_state& it)
{
    const bool own = it.host.empty();
    switch (ranking_.position(it.request.service,
                              own ? shared_.options.self.name : it.host)) {
    case 0:
        return placing_position::first;
    case 1:
        return placing_position::second;
    default:
        return own ? placing_position::own : placing_position::later;
    }
}

void dispatch_router::log_placements()
{
    for (const auto& [service, counts] : placement_counters_.take()) {
        if (counts.all_by_first_dispatcher()) {
            continue;
        }
        event line(log_level::info, "placements");
        line.with("service", service);
        const auto add = [&line](const auto& names, const auto& values) {
            for (std::size_t n = 0; n < names.size(); ++n) {
                line.with(names[n], values[n]);
            }
        };
        add(state::enum_names<placing_position>::value, counts.placed);
        add(state::enum_names<exclusion_reason>::value, counts.excluded);
    }
}

void dispatch_router::run()
{
    repeat_for_ever("dispatch_waits", answer_limit, [this] {
        changed_.wait([this] { return !waits_.empty(); });
        const auto until = waits_.front().until;
        changed_.wait_until(until, [] { return false; });
        const auto now = clock::now();
        while (!waits_.empty() && waits_.front().until <= now) {
            const auto it = waits_.front();
            waits_.pop_front();
            run_step("dispatch_ask", [&] { note_late(it); });
        }
    });
}

} // namespace oriolegrade::transport
