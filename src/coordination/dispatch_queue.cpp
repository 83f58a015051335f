// Order in which the parts of a dispatcher are asked.

#include <oriolegrade/coordination/dispatch_queue.hpp>

#include <oriolegrade/coordination/scaled_duration.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace oriolegrade::coordination {

namespace {

using state::place_refusal_reason;
using state::send_kind;

/// Hedge delay in usual latencies. An earlier hedge is not worth its share of
/// the budget.
constexpr double hedge_factor = 2.0;
constexpr double trial_hedge_factor = 1.3;
/// Upper limit for the share of a service's upstreams held at the same time.
/// Gray failures of the users' upstreams affect up to two thirds of a service
/// at once.
constexpr double max_held_share = 0.8;
/// With less than this many usual latencies left before its deadline, a request
/// may be sent to a held upstream: an unlikely answer is better than none.
constexpr double any_upstream_factor = 1.5;

} // namespace

dispatch_queue::dispatch_queue(const dispatch_options& options)
    : options_(options)
    , admission_(options.seed)
    , extra_(options.budget)
{}

void dispatch_queue::set_upstreams(
    const std::vector<state::registered_upstream>& list, state::time_point now)
{
    upstreams_.set(list, options_.seed, now);
}

std::vector<standing_change> dispatch_queue::take_changes(state::time_point now)
{
    upstreams_.advance(now);
    std::vector<standing_change> out;
    for (auto* it : upstreams_.take_changed()) {
        const auto& tracker = it->tracker;
        const auto after = tracker.standing(now);
        const auto before = std::exchange(it->reported, after);
        if (before != after) {
            out.push_back({tracker.spec().id, before, after, tracker.failures(),
                           tracker.last_failure_cause(),
                           tracker.slowness(now)});
        }
    }
    return out;
}

dispatch_summary dispatch_queue::summary(state::time_point now) const
{
    dispatch_summary out;
    for (const auto* it : upstreams_.ready_upstreams()) {
        const auto& tracker = it->tracker;
        ++out.ready;
        const auto standing = tracker.standing(now);
        out.held += standing == upstream_standing::held ? 1 : 0;
        out.on_trial += standing == upstream_standing::on_trial ? 1 : 0;
        if (now - tracker.last_failure() < sound_after) {
            continue;
        }
        ++out.sound;
        if (now - tracker.last_begin() >= floor_window) {
            ++out.sound_idle;
            out.blocked_by_trial += tracker.has_room(now) ? 0 : 1;
        }
    }
    out.requests = unserved_.requests(now);
    out.unserved = unserved_.unserved(now);
    out.cancelled = cancelled_.marked(now);
    out.in_line = line_.size();
    out.in_flight = active_sends_.size();
    out.budget_used = extra_.used(now);
    out.usual_latency = latencies_.usual();
    return out;
}

const upstream_tracker* dispatch_queue::find(const std::string& upstream) const
{
    return upstreams_.find(upstream);
}

void dispatch_queue::advance(state::time_point now)
{
    upstreams_.advance(now);
    upstreams_.floor().set_in_force(
        unserved_.exceeds(floor_unserved_share, now), now);
}

bool dispatch_queue::any_candidate(const state::place_request& request,
                                   state::time_point now) const
{
    const auto& ready = upstreams_.ready_upstreams();
    return std::any_of(ready.begin(), ready.end(), [&](const auto* it) {
        return may_be_sent(it->tracker, request, now);
    });
}

upstream_entry* dispatch_queue::choose(const waiting_request& it, bool held,
                                       state::time_point now)
{
    const auto& request = it.request;
    const bool may_try = request.repeatable &&
                         request.kind == send_kind::first &&
                         extra_.may_try(now);
    auto* best = choose_upstream(upstreams_, request, may_try, now);
    // When all others are full, an upstream that has recovered is worth more
    // than the requests that fail at those that have not.
    const bool none_better = best == nullptr || best->tracker.standing(now) ==
                                                    upstream_standing::held;
    if (held && none_better && upstreams_.size(upstream_use::held) > 0 &&
        takes_any_upstream(it, now)) {
        best = choose_held_upstream(upstreams_, request, now);
    }
    return best;
}

bool dispatch_queue::takes_any_upstream(const waiting_request& it,
                                        state::time_point now) const
{
    const auto usual = latencies_.usual(it.request.route);
    if (it.deadline - now < scaled(usual, any_upstream_factor)) {
        return true;
    }
    // With a long queue the target is out of reach, and waiting longer would
    // not improve the outcome.
    return !can_meet_target(it, now) &&
           place_admission::misses_deadline(
               it.deadline, expected_wait(it.request), usual, now);
}

bool dispatch_queue::can_meet_target(const waiting_request& it,
                                     state::time_point now) const
{
    return now + latencies_.usual(it.request.route) <= it.target;
}

std::optional<state::duration>
dispatch_queue::hedge_delay(const waiting_request& it,
                            const upstream_tracker& tracker,
                            state::time_point now)
{
    if (!it.request.repeatable || it.request.kind == send_kind::hedge ||
        !extra_.may_hedge(now)) {
        return std::nullopt;
    }
    const bool trial = tracker.standing(now) != upstream_standing::in_service;
    return scaled(latencies_.usual(it.request.route),
                  trial ? trial_hedge_factor : hedge_factor);
}

state::place dispatch_queue::start(request_id number, const waiting_request& it,
                                   upstream_entry& entry, state::time_point now)
{
    const auto& request = it.request;
    const auto& spec = entry.tracker.spec();
    state::place out{spec.id, spec.address, options_.max_connections,
                     hedge_delay(it, entry.tracker, now), spec.born};
    const auto previous_begin = entry.tracker.last_begin();
    bool trial = false;
    upstreams_.change(entry, now, [&](upstream_tracker& tracker) {
        trial = tracker.begin(now);
    });
    active_sends_[number] = {
        spec.id, request.host,   request.route, now,
        false,   trial,          request.kind,  request.repeatable,
        false,   previous_begin, spec.born};
    latencies_.began(request.route);
    line_.note_placed(request.workspace);
    if (request.kind == send_kind::first && !request.placed_before) {
        unserved_.placed(now);
    }
    return out;
}

service_capacity dispatch_queue::capacity() const
{
    const auto in_service = upstreams_.slots(upstream_standing::in_service);
    return {in_service,
            in_service + upstreams_.slots(upstream_standing::on_trial) +
                upstreams_.slots(upstream_standing::held),
            latencies_.usual()};
}

state::duration
dispatch_queue::expected_wait(const state::place_request& request) const
{
    return place_admission::expected_wait(
        capacity(), line_.count_ahead(request.rank, request.workspace));
}

state::place_refusal dispatch_queue::refuse(place_refusal_reason reason,
                                            request_id number,
                                            const state::place_request& request,
                                            state::time_point now)
{
    unserved_.turned_away(request.kind, now);
    auto wait = expected_wait(request);
    if (reason == place_refusal_reason::no_upstream &&
        upstreams_.available() == 0) {
        wait = std::max(wait, quiet_time(now));
    }
    return admission_.refuse(reason, number, wait, latencies_.usual());
}

state::duration dispatch_queue::quiet_time(state::time_point now) const
{
    auto first = state::time_point::max();
    for (const auto* it : upstreams_.ready_upstreams()) {
        first = std::min(first, it->tracker.quiet_until());
    }
    return first == state::time_point::max() || first <= now ? state::duration{}
                                                             : first - now;
}

state::place_answer dispatch_queue::place_or_refuse(request_id number,
                                                    const waiting_request& it,
                                                    upstream_entry& entry,
                                                    state::time_point now)
{
    if (!it.request.placed_before && !extra_.admit(it.request.kind, now)) {
        return refuse(place_refusal_reason::budget, number, it.request, now);
    }
    return start(number, it, entry, now);
}

std::optional<state::place_answer>
dispatch_queue::request_place(request_id number,
                              const state::place_request& request,
                              state::time_point now)
{
    advance(now);
    if (request.kind == send_kind::first && !request.placed_before) {
        line_.note_asked(request.workspace, now);
    }
    waiting_request it{request, now + request.time_left,
                       now + request.target_left};
    if (!any_candidate(request, now)) {
        return refuse(place_refusal_reason::no_upstream, number, request, now);
    }
    if (request.kind == send_kind::hedge ||
        line_.is_first(request.rank, it.target, request.workspace)) {
        if (auto* entry = choose(it, true, now)) {
            return place_or_refuse(number, it, *entry, now);
        }
    }
    // A hedge that has to wait is not worth its share of the budget.
    if (request.kind == send_kind::hedge ||
        place_admission::misses_deadline(it.deadline, expected_wait(request),
                                         latencies_.usual(request.route),
                                         now)) {
        return refuse(place_refusal_reason::overloaded, number, request, now);
    }
    line_.push(number, std::move(it));
    return std::nullopt;
}

void dispatch_queue::report(request_id number, const state::send_report& report,
                            state::time_point now)
{
    if (line_.remove(number)) {
        return;
    }
    const auto found = active_sends_.find(number);
    if (found == active_sends_.end()) {
        return;
    }
    const auto active_send = std::move(found->second);
    active_sends_.erase(found);
    const auto usual = latencies_.usual(active_send.route);
    unserved_.ended(active_send.attributes(), report.result, now);
    if (report.result == state::send_result::cancelled) {
        cancelled_.mark(now);
    }
    latencies_.ended(active_send.route, report);
    auto* entry = upstreams_.find(active_send.upstream);
    if (entry == nullptr) {
        return;
    }
    const auto relative =
        static_cast<double>(report.took.count()) /
        static_cast<double>(std::max<std::int64_t>(usual.count(), 1));
    upstreams_.change(*entry, now, [&](upstream_tracker& tracker) {
        tracker.end(active_send.host, report,
                    {active_send.began, relative, active_send.unconfirmed_trial,
                     active_send.stalled},
                    now);
        note_wish(tracker, active_send, report.wish, now);
    });
    limit_holds(now);
}

void dispatch_queue::note_wish(upstream_tracker& tracker,
                               const active_send& send,
                               const state::upstream_wish& wish,
                               state::time_point now)
{
    // The word of an earlier incarnation says nothing of this one.
    if (tracker.spec().born == send.born) {
        tracker.note_wish(wish, now);
    }
}

void dispatch_queue::take_back(request_id number, state::time_point now,
                               const state::upstream_wish& wish)
{
    const auto found = active_sends_.find(number);
    if (found == active_sends_.end()) {
        return report(number, {state::send_result::cancelled, {}, {}}, now);
    }
    const auto active_send = std::move(found->second);
    active_sends_.erase(found);
    latencies_.dropped(active_send.route);
    extra_.refund(active_send.kind, active_send.began, now);
    if (auto* entry = upstreams_.find(active_send.upstream)) {
        upstreams_.change(*entry, now, [&](upstream_tracker& tracker) {
            tracker.take_back(active_send.began, active_send.previous_begin,
                              {active_send.began, 1.0,
                               active_send.unconfirmed_trial,
                               active_send.stalled});
            note_wish(tracker, active_send, wish, now);
        });
    }
}

void dispatch_queue::report_host_lost(request_id number, state::time_point now)
{
    unserved_.lost_with_host(latencies_.usual(), now);
    const auto found = active_sends_.find(number);
    if (found != active_sends_.end()) {
        found->second.overdue = true;
    }
    report(number, {state::send_result::cancelled, {}, {}}, now);
}

void dispatch_queue::adopt(const std::string& upstream, std::uint32_t count,
                           state::time_point now)
{
    if (auto* entry = upstreams_.find(upstream)) {
        upstreams_.change(*entry, now, [&](upstream_tracker& tracker) {
            tracker.adopt(count, now);
        });
    }
}

void dispatch_queue::check_active_sends(state::time_point now)
{
    const auto confirm_after = latencies_.trial_confirm_time();
    for (auto& it : active_sends_) {
        auto& send = it.second;
        const auto age = now - send.began;
        if (send.stalled) {
            continue;
        }
        const bool confirmed = send.unconfirmed_trial && age >= confirm_after;
        const auto usual = latencies_.usual(send.route);
        if (!confirmed && age < scaled(usual, silent_stall_factor)) {
            continue;
        }
        auto* entry = upstreams_.find(send.upstream);
        if (entry == nullptr) {
            continue;
        }
        const bool silent = entry->tracker.last_success() < send.began;
        const bool stalled =
            age >= scaled(usual, silent ? silent_stall_factor : stall_factor);
        if (!confirmed && !stalled) {
            continue;
        }
        upstreams_.change(*entry, now, [&](upstream_tracker& tracker) {
            if (confirmed) {
                send.unconfirmed_trial = false;
                tracker.confirm_trial(send.began);
            }
            if (stalled) {
                send.stalled = true;
                send.overdue = unserved_.overdue(send.attributes(), now);
                tracker.stalled(send.began,
                                static_cast<double>(age.count()) /
                                    static_cast<double>(usual.count()),
                                now);
            }
        });
    }
}

void dispatch_queue::limit_holds(state::time_point now)
{
    const auto max_held = static_cast<std::size_t>(std::floor(
        static_cast<double>(upstreams_.available()) * max_held_share));
    if (upstreams_.count(upstream_standing::held) <= max_held) {
        return;
    }
    std::vector<upstream_entry*> held;
    for (auto* it : upstreams_.ready_upstreams()) {
        if (it->tracker.standing(now) == upstream_standing::held) {
            held.push_back(it);
        }
    }
    std::sort(held.begin(), held.end(), [](const auto* a, const auto* b) {
        return a->tracker.held_since() < b->tracker.held_since();
    });
    held.resize(held.size() - std::min(held.size(), max_held));
    for (auto* it : held) {
        upstreams_.change(*it, now, [now](upstream_tracker& tracker) {
            tracker.release(now);
        });
    }
}

std::vector<dispatch_queue::answer> dispatch_queue::poll(state::time_point now)
{
    advance(now);
    check_active_sends(now);
    limit_holds(now);
    std::vector<answer> out;
    refuse_unplaceable(out, now);
    // Requests that can still meet their target come first: under overload the
    // others would make all of them late.
    place_part(line_part::in_time, true, out, now);
    place_part(line_part::late, true, out, now);
    return out;
}

std::vector<dispatch_queue::answer>
dispatch_queue::place_waiting(state::time_point now)
{
    std::vector<answer> out;
    if (line_.empty()) {
        return out;
    }
    advance(now);
    // poll() handles requests that are near their deadline.
    place_part(line_part::in_time, false, out, now);
    place_part(line_part::late, false, out, now);
    return out;
}

void dispatch_queue::refuse_unplaceable(std::vector<answer>& out,
                                        state::time_point now)
{
    const auto able = capacity();
    std::size_t ahead = 0;
    const auto usual = [this](const std::string& route) {
        return latencies_.usual(route);
    };
    const auto check = [&](request_id number, const waiting_request& it) {
        const bool too_late = place_admission::misses_deadline(
            it.deadline, place_admission::shortest_wait(able, ahead),
            usual(it.request.route), now);
        if (!too_late && any_candidate(it.request, now)) {
            ++ahead;
            return visit_result::keep;
        }
        const auto reason = too_late ? place_refusal_reason::overloaded
                                     : place_refusal_reason::no_upstream;
        out.push_back({number, refuse(reason, number, it.request, now)});
        return visit_result::remove;
    };
    line_.visit(line_part::in_time, now, usual, check);
    if (ahead < line_.size()) {
        line_.visit(line_part::late, now, usual, check);
    }
}

void dispatch_queue::place_part(line_part part, bool held,
                                std::vector<answer>& out, state::time_point now)
{
    // Thousands of workspaces may wait without a request of this part.
    if (!has_candidates(upstreams_, held, now)) {
        return;
    }
    const auto usual = [this](const std::string& route) {
        return latencies_.usual(route);
    };
    line_.visit(
        part, now, usual, [&](request_id number, const waiting_request& it) {
            auto* entry = choose(it, held, now);
            const bool is_placed = entry != nullptr;
            if (is_placed) {
                out.push_back(
                    {number, place_or_refuse(number, it, *entry, now)});
            }
            if (has_candidates(upstreams_, held, now)) {
                return is_placed ? visit_result::remove : visit_result::keep;
            }
            return is_placed ? visit_result::remove_and_stop
                             : visit_result::stop;
        });
}

} // namespace oriolegrade::coordination
