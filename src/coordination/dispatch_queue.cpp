// Rules of the dispatcher's queue.

#include <oriolegrade/coordination/dispatch_queue.hpp>

#include <oriolegrade/coordination/return_time.hpp>
#include <oriolegrade/coordination/upstream_floor.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace oriolegrade::coordination {

namespace {

using state::send_kind;
using state::turn_away_reason;

/// Cost of another data centre, in units of a whole server's load: bytes
/// between data centres are charged, and large bodies most.
constexpr double remote_cost = 0.4;
constexpr double remote_upload_cost = 1.0;
constexpr double cold_cost = 0.4;
/// Latencies up to this much above the usual one are noise.
constexpr double usual_slowness = 1.25;
constexpr double most_slowness_cost = 3.0;
/// Latency after which a second send is worth its part of the budget.
constexpr double hedge_factor = 2.0;
constexpr double trial_hedge_factor = 1.3;
/// Hedges and trials leave the rest of the budget to repeats of failed sends.
constexpr double hedge_budget_share = 0.5;
constexpr double canary_budget_share = 0.4;
/// Share of a usual latency that must be left before the deadline. Half of
/// the requests are faster than the mean.
constexpr double least_time_share = 0.7;
/// Faults of the users' servers come at once, far sooner than answers. A trial
/// that has lasted longer than this is likely to succeed.
constexpr double vouch_factor = 2.0;
constexpr state::duration shortest_vouch = std::chrono::milliseconds(20);
/// With at least this share of a service's upstreams in service, requests that
/// must not repeat try a suspected one only when all others are full. Below
/// it, a failure of one of those in service would meet too many requests.
constexpr double fewest_in_service_share = 0.5;
/// Part of the slots of upstreams out of service that is expected back in
/// time for a waiting request.
constexpr double held_slot_share = 0.3;
/// Most of a service's upstreams that may be held at the same time. Gray
/// episodes of the users' servers meet up to two thirds of a service at once.
constexpr double most_held_share = 0.8;
/// With less than this many usual latencies to its deadline a request takes
/// any upstream: an unlikely answer is better than none.
constexpr double last_chance_factor = 1.5;
/// Expected of a service before its answers tell: the users' services take
/// 100 ms to 400 ms.
constexpr state::duration expected_latency = std::chrono::milliseconds(300);
/// Routes whose latencies are kept apart.
constexpr std::size_t max_routes = 4096;

state::duration scaled(state::duration d, double factor)
{
    return state::duration(static_cast<state::duration::rep>(
        static_cast<double>(d.count()) * factor));
}

/// Order of upstreams that look alike: the one that waits longest for a request
/// comes first.
bool takes_turn_before(const upstream_track& a, const upstream_track& b)
{
    return std::pair(a.last_begin(), a.order()) <
           std::pair(b.last_begin(), b.order());
}

} // namespace

dispatch_queue::dispatch_queue(const dispatch_options& options)
    : options_(options)
    , budget_(options.budget)
{}

void dispatch_queue::set_upstreams(
    const std::vector<state::registered_upstream>& list, state::time_point now)
{
    std::map<std::string, upstream_track> next;
    for (const auto& it : list) {
        auto found = upstreams_.find(it.id);
        if (found == upstreams_.end()) {
            const auto order =
                XXH3_64bits_withSeed(it.id.data(), it.id.size(), options_.seed);
            next.emplace(it.id, upstream_track(it, order, now));
        } else {
            found->second.update(it, now);
            next.insert(upstreams_.extract(found));
        }
    }
    upstreams_ = std::move(next);
}

std::vector<standing_change> dispatch_queue::take_changes(state::time_point now)
{
    std::vector<standing_change> out;
    for (const auto& [id, track] : upstreams_) {
        const auto after = track.standing(now);
        auto& before = told_[id];
        if (before != after) {
            out.push_back(
                {id, before, after, track.failures(), track.slowness(now)});
            before = after;
        }
    }
    std::erase_if(
        told_, [&](const auto& it) { return !upstreams_.contains(it.first); });
    return out;
}

dispatch_summary dispatch_queue::summary(state::time_point now) const
{
    dispatch_summary out;
    for (const auto& [id, track] : upstreams_) {
        if (track.spec().state != state::registration_state::ready) {
            continue;
        }
        ++out.ready;
        const auto standing = track.standing(now);
        out.held += standing == upstream_standing::held ? 1 : 0;
        out.on_trial += standing == upstream_standing::on_trial ? 1 : 0;
        if (now - track.last_failure() < sound_after) {
            continue;
        }
        ++out.sound;
        if (now - track.last_begin() >= floor_window) {
            ++out.sound_idle;
            out.blocked_by_trial += track.has_room(now) ? 0 : 1;
        }
    }
    out.requests = unserved_.requests(now);
    out.unserved = unserved_.unserved(now);
    out.cancelled = cancelled_.marked(now);
    out.in_line = line_.size();
    out.in_flight = flights_.size();
    out.budget_used = budget_.used(now);
    return out;
}

const upstream_track* dispatch_queue::find(const std::string& upstream) const
{
    const auto it = upstreams_.find(upstream);
    return it == upstreams_.end() ? nullptr : &it->second;
}

state::duration dispatch_queue::usual_latency(const std::string& route) const
{
    const auto it = latencies_.find(route);
    const auto of_all = usual_latency();
    return it == latencies_.end() ? of_all : it->second.usual(of_all);
}

state::duration dispatch_queue::usual_latency() const
{
    return all_routes_.usual(expected_latency);
}

bool dispatch_queue::is_candidate(const upstream_track& track,
                                  const state::place_request& request,
                                  state::time_point now)
{
    const auto& spec = track.spec();
    const auto& tried = request.tried;
    return spec.state == state::registration_state::ready &&
           track.reachable_from(request.host, now) &&
           std::find(tried.begin(), tried.end(), spec.id) == tried.end();
}

bool dispatch_queue::any_candidate(const state::place_request& request,
                                   state::time_point now) const
{
    return std::any_of(
        upstreams_.begin(), upstreams_.end(),
        [&](const auto& it) { return is_candidate(it.second, request, now); });
}

bool dispatch_queue::may_use(const upstream_track& track, const waiter& it,
                             state::time_point now) const
{
    return track.has_room(now) && is_candidate(track, it.request, now);
}

double dispatch_queue::cost(const upstream_track& track, const waiter& it,
                            state::time_point now) const
{
    const auto& spec = track.spec();
    double sum = static_cast<double>(track.occupied(now)) / spec.slots;
    if (spec.data_centre != it.request.data_centre) {
        sum += it.request.upload ? remote_upload_cost : remote_cost;
    }
    if (track.is_cold(now)) {
        sum += cold_cost;
    }
    const auto slow = track.slowness(now) - usual_slowness;
    return sum + std::clamp(slow, 0.0, most_slowness_cost);
}

dispatch_queue::survey dispatch_queue::look_around(state::time_point now)
{
    survey out;
    std::vector<upstream_track*> ready;
    std::size_t held = 0;
    std::size_t in_service = 0;
    for (auto& [id, track] : upstreams_) {
        if (track.spec().state != state::registration_state::ready) {
            continue;
        }
        ready.push_back(&track);
        const auto standing = track.standing(now);
        const bool is_held = standing == upstream_standing::held;
        held += is_held ? 1 : 0;
        in_service += standing == upstream_standing::in_service ? 1 : 0;
        if (!track.has_room(now)) {
            continue;
        }
        (is_held && !track.quick_trial_due(now) ? out.held : out.usable)
            .push_back(&track);
    }
    out.few_in_service =
        static_cast<double>(in_service) <
        fewest_in_service_share * static_cast<double>(ready.size());
    if (held == ready.size()) {
        out.usable.insert(out.usable.end(), out.held.begin(), out.held.end());
        out.held.clear();
    }
    out.due =
        upstreams_due(ready, unserved_.exceeds(floor_unserved_share, now), now);
    return out;
}

double dispatch_queue::tier(const upstream_track& track, bool canary,
                            bool few_in_service, state::time_point now)
{
    // Tiers: a trial that a repeatable request may fail, in service, a trial
    // for any request, held.
    constexpr double tier_cost = 100.0;
    constexpr double most_age = 10.0;
    switch (track.standing(now)) {
    case upstream_standing::in_service:
        return 0;
    case upstream_standing::on_trial:
        return canary || (few_in_service && track.trial_is_old(now))
                   ? 0
                   : tier_cost;
    case upstream_standing::held:
        break;
    }
    if (canary && track.quick_trial_due(now)) {
        return 0;
    }
    // The oldest failure says least about the present.
    const std::chrono::duration<double> age = now - track.last_failure();
    return 2 * tier_cost - std::min(age.count(), most_age);
}

upstream_track* dispatch_queue::choose(const waiter& it, survey& found,
                                       state::time_point now)
{
    if (it.request.kind == send_kind::first) {
        const auto due = std::find_if(
            found.due.begin(), found.due.end(),
            [&](const auto* track) { return may_use(*track, it, now); });
        if (due != found.due.end()) {
            return *due;
        }
    }
    const bool canary = it.request.repeatable &&
                        it.request.kind == send_kind::first &&
                        budget_.used(now) < canary_budget_share * budget_share_;
    upstream_track* best = nullptr;
    double best_cost = std::numeric_limits<double>::max();
    const auto consider = [&](upstream_track& track) {
        if (!may_use(track, it, now)) {
            return;
        }
        const double sum = cost(track, it, now) +
                           tier(track, canary, found.few_in_service, now);
        if (sum < best_cost ||
            (sum == best_cost && takes_turn_before(track, *best))) {
            best = &track;
            best_cost = sum;
        }
    };
    for (auto* track : found.usable) {
        consider(*track);
    }
    // When all others are full, a server that has recovered is worth more than
    // the failures of those that have not.
    const bool none_better =
        best == nullptr || best->standing(now) == upstream_standing::held;
    if (none_better && !found.held.empty() && is_last_chance(it, now)) {
        for (auto* track : found.held) {
            consider(*track);
        }
    }
    return best;
}

void dispatch_queue::forget_full(survey& found, upstream_track& track,
                                 state::time_point now)
{
    std::erase(found.due, &track);
    if (!track.has_room(now)) {
        std::erase(found.usable, &track);
        std::erase(found.held, &track);
    }
}

bool dispatch_queue::is_last_chance(const waiter& it,
                                    state::time_point now) const
{
    const auto usual = usual_latency(it.request.route);
    if (it.deadline - now < scaled(usual, last_chance_factor)) {
        return true;
    }
    // A long line: when the target is out of reach, waiting on would only end
    // later in the same way.
    return !can_be_in_time(it, now) &&
           is_hopeless(it, expected_wait(it.request.rank, now), now);
}

bool dispatch_queue::can_be_in_time(const waiter& it,
                                    state::time_point now) const
{
    return now + usual_latency(it.request.route) <= it.target;
}

std::optional<state::duration>
dispatch_queue::hedge_delay(const waiter& it, const upstream_track& track,
                            state::time_point now)
{
    if (!it.request.repeatable || it.request.kind == send_kind::hedge ||
        budget_.used(now) > hedge_budget_share * budget_share_) {
        return std::nullopt;
    }
    const bool trial = track.standing(now) != upstream_standing::in_service;
    return scaled(usual_latency(it.request.route),
                  trial ? trial_hedge_factor : hedge_factor);
}

state::place dispatch_queue::start(ticket number, const waiter& it,
                                   upstream_track& track, state::time_point now)
{
    const auto& spec = track.spec();
    state::place out{spec.id, spec.address, options_.max_connections,
                     hedge_delay(it, track, now)};
    const bool trial = track.begin(now);
    flights_[number] = {
        spec.id, it.request.host, it.request.route, now,
        false,   trial,           it.request.kind,  it.request.repeatable};
    all_routes_.begin();
    if (auto* latency = latency_of(it.request.route)) {
        latency->begin();
    }
    if (it.request.kind == send_kind::first) {
        budget_.add_request(now);
        unserved_.placed(now);
    }
    return out;
}

route_latency* dispatch_queue::latency_of(const std::string& route)
{
    const auto it = latencies_.find(route);
    if (it != latencies_.end()) {
        return &it->second;
    }
    return latencies_.size() < max_routes ? &latencies_[route] : nullptr;
}

void dispatch_queue::learn_latency(const std::string& route,
                                   const state::send_report& report)
{
    auto* own = latency_of(route);
    for (auto* it : {&all_routes_, own}) {
        if (it == nullptr) {
            continue;
        }
        if (report.result == state::send_result::answered) {
            it->add(report.took);
        } else {
            it->drop();
        }
    }
}

state::duration dispatch_queue::expected_wait(std::uint32_t rank,
                                              state::time_point now) const
{
    double slots = 0;
    for (const auto& it : upstreams_) {
        const auto& track = it.second;
        if (track.spec().state != state::registration_state::ready) {
            continue;
        }
        const bool in_service =
            track.standing(now) == upstream_standing::in_service;
        slots += track.spec().slots * (in_service ? 1.0 : held_slot_share);
    }
    std::size_t ahead = 0;
    for (const auto& [of, count] : line_ranks_) {
        ahead += of <= rank ? count : 0;
    }
    const auto turns = static_cast<double>(ahead + 1) / std::max(slots, 1.0);
    return scaled(usual_latency(), turns);
}

state::turn_away
dispatch_queue::refuse_request(turn_away_reason reason, ticket number,
                               const state::place_request& request,
                               state::time_point now)
{
    unserved_.turned_away(request.kind, now);
    return refuse(reason, number, request.rank, now);
}

state::turn_away dispatch_queue::refuse(turn_away_reason reason, ticket number,
                                        std::uint32_t rank,
                                        state::time_point now) const
{
    const auto wait =
        std::max<state::duration>(expected_wait(rank, now), usual_latency());
    return {reason, spread_return(wait, number, options_.seed)};
}

bool dispatch_queue::is_hopeless(const waiter& it, state::duration wait,
                                 state::time_point now) const
{
    const auto needed =
        scaled(usual_latency(it.request.route), least_time_share);
    return now + wait + needed > it.deadline;
}

state::place_answer dispatch_queue::place_or_refuse(ticket number,
                                                    const waiter& it,
                                                    upstream_track& track,
                                                    state::time_point now)
{
    const auto kind = it.request.kind;
    const auto share = kind == send_kind::hedge
                           ? budget_share_ * hedge_budget_share
                           : budget_share_;
    if (kind != send_kind::first && !budget_.try_take(share, now)) {
        return refuse_request(turn_away_reason::budget, number, it.request,
                              now);
    }
    return start(number, it, track, now);
}

std::optional<state::place_answer>
dispatch_queue::ask(ticket number, const state::place_request& request,
                    state::time_point now)
{
    const waiter it{request, now, now + request.time_left,
                    now + request.target_left};
    if (!any_candidate(request, now)) {
        return refuse_request(turn_away_reason::no_upstream, number, request,
                              now);
    }
    const bool first_in_line =
        line_.empty() ||
        line_key{request.rank, it.target, number} < line_.begin()->first;
    if (first_in_line || request.kind == send_kind::hedge) {
        auto found = look_around(now);
        if (auto* track = choose(it, found, now)) {
            return place_or_refuse(number, it, *track, now);
        }
    }
    // A hedge that would have to wait is not worth its part of the budget.
    if (request.kind == send_kind::hedge ||
        is_hopeless(it, expected_wait(request.rank, now), now)) {
        return refuse_request(turn_away_reason::overloaded, number, request,
                              now);
    }
    const line_key key{request.rank, it.target, number};
    line_.emplace(key, it);
    line_keys_.emplace(number, key);
    ++line_ranks_[request.rank];
    return std::nullopt;
}

void dispatch_queue::report(ticket number, const state::send_report& report,
                            state::time_point now)
{
    const auto waiting = line_keys_.find(number);
    if (waiting != line_keys_.end()) {
        leave_line(line_.find(waiting->second));
        return;
    }
    const auto found = flights_.find(number);
    if (found == flights_.end()) {
        return;
    }
    const auto flight = std::move(found->second);
    flights_.erase(found);
    const auto usual = usual_latency(flight.route);
    unserved_.ended(flight.attributes(), report.result, now);
    if (report.result == state::send_result::cancelled) {
        cancelled_.mark(now);
    }
    learn_latency(flight.route, report);
    if (report.result == state::send_result::server_error) {
        faults_.add(report.took);
    }
    const auto track = upstreams_.find(flight.upstream);
    if (track != upstreams_.end()) {
        const auto relative =
            static_cast<double>(report.took.count()) /
            static_cast<double>(std::max<std::int64_t>(usual.count(), 1));
        track->second.end(
            flight.host, report,
            {flight.began, relative, flight.open_trial, flight.stalled}, now);
        limit_holds(now);
    }
}

void dispatch_queue::lose(ticket number, state::time_point now)
{
    unserved_.lost_with_host(usual_latency(), now);
    const auto found = flights_.find(number);
    if (found != flights_.end()) {
        found->second.overdue = true;
    }
    report(number, {state::send_result::cancelled, {}, {}}, now);
}

void dispatch_queue::adopt(const std::string& upstream, std::uint32_t count,
                           state::time_point now)
{
    const auto it = upstreams_.find(upstream);
    if (it != upstreams_.end()) {
        it->second.adopt(count, now);
    }
}

void dispatch_queue::judge_flights(state::time_point now)
{
    const auto vouched_after =
        scaled(faults_.usual(expected_latency), vouch_factor) + shortest_vouch;
    for (auto& [number, flight] : flights_) {
        const auto usual = usual_latency(flight.route);
        const auto age = now - flight.began;
        const auto track = upstreams_.find(flight.upstream);
        if (flight.stalled || track == upstreams_.end()) {
            continue;
        }
        if (flight.open_trial && age >= vouched_after) {
            flight.open_trial = false;
            track->second.vouch(flight.began);
        }
        const bool silent = track->second.last_success() < flight.began;
        if (age >= scaled(usual, silent ? silent_stall_factor : stall_factor)) {
            flight.stalled = true;
            flight.overdue = unserved_.overdue(flight.attributes(), now);
            track->second.stalled(flight.began,
                                  static_cast<double>(age.count()) /
                                      static_cast<double>(usual.count()),
                                  now);
        }
    }
}

void dispatch_queue::limit_holds(state::time_point now)
{
    std::vector<upstream_track*> held;
    std::size_t ready = 0;
    for (auto& [id, track] : upstreams_) {
        if (track.spec().state != state::registration_state::ready) {
            continue;
        }
        ++ready;
        if (track.standing(now) == upstream_standing::held) {
            held.push_back(&track);
        }
    }
    const auto most = static_cast<std::size_t>(
        std::floor(static_cast<double>(ready) * most_held_share));
    if (held.size() <= most) {
        return;
    }
    std::sort(held.begin(), held.end(),
              [](const upstream_track* a, const upstream_track* b) {
                  return a->held_since() < b->held_since();
              });
    held.resize(held.size() - most);
    for (auto* it : held) {
        it->release(now);
    }
}

std::vector<dispatch_queue::answer>
dispatch_queue::settle(state::time_point now)
{
    judge_flights(now);
    limit_holds(now);
    std::vector<answer> out;
    refuse_hopeless(out, now);
    auto found = look_around(now);
    // Requests that can still be in time come first: under overload the
    // others would make all of them late.
    fill_places(true, found, out, now);
    fill_places(false, found, out, now);
    return out;
}

std::vector<dispatch_queue::answer> dispatch_queue::fill(state::time_point now)
{
    std::vector<answer> out;
    if (line_.empty()) {
        return out;
    }
    auto found = look_around(now);
    // What is left to the last chance of a request can wait for settle().
    found.held.clear();
    fill_places(true, found, out, now);
    fill_places(false, found, out, now);
    return out;
}

void dispatch_queue::refuse_hopeless(std::vector<answer>& out,
                                     state::time_point now)
{
    for (auto it = line_.begin(); it != line_.end();) {
        const auto& waiter = it->second;
        const bool hopeless = is_hopeless(waiter, {}, now);
        if (!hopeless && any_candidate(waiter.request, now)) {
            ++it;
            continue;
        }
        const auto number = it->first.number;
        out.push_back(
            {number, refuse_request(hopeless ? turn_away_reason::overloaded
                                             : turn_away_reason::no_upstream,
                                    number, waiter.request, now)});
        it = leave_line(it);
    }
}

void dispatch_queue::fill_places(bool in_time, survey& found,
                                 std::vector<answer>& out,
                                 state::time_point now)
{
    for (auto it = line_.begin(); it != line_.end() && !found.is_full();) {
        const auto& waiter = it->second;
        auto* track = can_be_in_time(waiter, now) == in_time
                          ? choose(waiter, found, now)
                          : nullptr;
        if (track == nullptr) {
            ++it;
            continue;
        }
        const auto number = it->first.number;
        out.push_back({number, place_or_refuse(number, waiter, *track, now)});
        forget_full(found, *track, now);
        it = leave_line(it);
    }
}

std::map<dispatch_queue::line_key, dispatch_queue::waiter>::iterator
dispatch_queue::leave_line(std::map<line_key, waiter>::iterator it)
{
    line_keys_.erase(it->first.number);
    const auto rank = line_ranks_.find(it->first.rank);
    if (--rank->second == 0) {
        line_ranks_.erase(rank);
    }
    return line_.erase(it);
}

} // namespace oriolegrade::coordination
