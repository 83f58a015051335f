// Health, load and latency rules for one upstream.

#include <oriolegrade/coordination/upstream_tracker.hpp>

#include <algorithm>
#include <cmath>

namespace oriolegrade::coordination {

namespace {

/// Weight of the latest latency in the moving average.
constexpr double slowness_weight = 0.3;
/// Shorter responses are ignored: they come from requests with little work and
/// say nothing about the upstream's speed.
constexpr double min_relative_latency = 0.25;
/// Without new samples the average decays towards the usual latency with this
/// half-life, so that an upstream that was slow is used again.
constexpr state::duration slowness_half_life = std::chrono::seconds(2);

/// Interval at which the decaying average of a slow upstream is looked at
/// again; it changes by less than a tenth meanwhile. Below min_slowness the
/// upstream is not slow.
constexpr state::duration slowness_step = std::chrono::milliseconds(250);
constexpr double min_slowness = 1.1;

/// Earlier than any event, and safe to subtract.
constexpr state::time_point long_ago{};

} // namespace

upstream_tracker::upstream_tracker(const state::registered_upstream& spec,
                                   std::uint64_t order, state::time_point now)
    : spec_(spec)
    , order_(order)
    , warm_at_(now + spec.warmup_left)
{}

void upstream_tracker::update(const state::registered_upstream& spec,
                              state::time_point now)
{
    if (spec.born != spec_.born || spec.address != spec_.address) {
        const auto in_flight = in_flight_;
        *this = upstream_tracker(spec, order_, now);
        // Requests to the old incarnation are still to be reported.
        in_flight_ = in_flight;
        return;
    }
    if (spec.sequence != spec_.sequence) {
        warm_at_ = now + spec.warmup_left;
    }
    spec_ = spec;
}

upstream_standing upstream_tracker::standing(state::time_point now) const
{
    if (failure_count_ == 0) {
        return upstream_standing::in_service;
    }
    return now < hold_until_ ? upstream_standing::held
                             : upstream_standing::on_trial;
}

void upstream_tracker::note_wish(const state::upstream_wish& wish,
                                 state::time_point now)
{
    quiet_until_ = std::max(quiet_until_, wish.quiet_until(now));
}

state::time_point upstream_tracker::next_change(state::time_point now) const
{
    auto next = state::time_point::max();
    const auto consider = [&](state::time_point at) {
        if (at > now) {
            next = std::min(next, at);
        }
    };
    if (failure_count_ > 0) {
        consider(hold_until_);
        consider(quick_trial_at_);
        consider(hold_until_ + canary_wait_time);
    }
    if (external_load_ > 0) {
        consider(external_load_until_);
    }
    consider(warm_at_);
    consider(quiet_until_);
    if (slowness(now) > min_slowness) {
        consider(now + slowness_step);
    }
    return next;
}

void upstream_tracker::release(state::time_point now)
{
    hold_until_ = std::min(hold_until_, now);
}

std::uint32_t upstream_tracker::occupied(state::time_point now) const
{
    return in_flight_ + (now < external_load_until_ ? external_load_ : 0);
}

bool upstream_tracker::has_room(state::time_point now) const
{
    const bool one_at_a_time = standing(now) != upstream_standing::in_service;
    return occupied(now) < spec_.slots &&
           (!one_at_a_time || unconfirmed_trials_ == 0);
}

double upstream_tracker::slowness(state::time_point now) const
{
    const auto age = std::chrono::duration<double>(now - slowness_at_);
    const auto half = std::chrono::duration<double>(slowness_half_life);
    return 1.0 + (slowness_ - 1.0) * std::exp2(-(age / half));
}

bool upstream_tracker::reachable_from(const std::string& host,
                                      state::time_point now) const
{
    const auto it = unreachable_.find(host);
    return it == unreachable_.end() || it->second <= now;
}

bool upstream_tracker::begin(state::time_point now)
{
    const bool trial = standing(now) != upstream_standing::in_service;
    ++in_flight_;
    unconfirmed_trials_ += trial ? 1 : 0;
    last_begin_ = now;
    return trial;
}

void upstream_tracker::confirm_trial(state::time_point began)
{
    unconfirmed_trials_ -= std::min(unconfirmed_trials_, 1U);
    count_trial_pass(began);
}

void upstream_tracker::release_slot(const send_context& how)
{
    if (!how.stalled) {
        in_flight_ -= std::min(in_flight_, 1U);
    }
    if (how.unconfirmed_trial) {
        unconfirmed_trials_ -= std::min(unconfirmed_trials_, 1U);
    }
}

void upstream_tracker::end(const std::string& host,
                           const state::send_report& report,
                           const send_context& how, state::time_point now)
{
    release_slot(how);
    if (report.load) {
        const bool ran = report.result == state::send_result::answered ||
                         report.result == state::send_result::server_error;
        apply_load_report(*report.load, ran, now);
    }
    switch (report.result) {
    case state::send_result::answered:
        unreachable_.erase(host);
        if (how.began >= last_failure_) {
            lost_at_.clear();
        }
        succeed(how.began, how.relative, now);
        break;
    case state::send_result::server_error:
        last_error_ = now;
        fail(failure_cause::server_error, how.began, now);
        break;
    case state::send_result::lost:
        record_lost(host, now);
        fail(failure_cause::lost, how.began, now);
        break;
    case state::send_result::misdirected:
        fail(failure_cause::misdirected, how.began, now);
        break;
    case state::send_result::expired:
        // A timeout far below the usual latency says nothing about the
        // upstream: a route may allow less time than its work takes.
        if (how.relative >= silent_stall_factor) {
            fail(failure_cause::expired, how.began, now);
        }
        break;
    case state::send_result::unreachable:
        record_unreachable(host, now);
        break;
    case state::send_result::refused:
        // The upstream is overloaded. Without a load report, assume that all of
        // its slots are taken.
        if (!report.load) {
            external_load_ = spec_.slots;
            external_load_until_ = now + external_load_time;
        }
        break;
    case state::send_result::cancelled:
        break;
    }
}

void upstream_tracker::take_back(state::time_point began,
                                 state::time_point previous_begin,
                                 const send_context& how)
{
    release_slot(how);
    if (last_begin_ == began) {
        last_begin_ = previous_begin;
    }
}

void upstream_tracker::stalled(state::time_point began, double relative,
                               state::time_point now)
{
    in_flight_ -= std::min(in_flight_, 1U);
    slowness_ = std::max(slowness(now), relative);
    slowness_at_ = now;
    fail(failure_cause::stalled, began, now);
}

void upstream_tracker::adopt(std::uint32_t count, state::time_point now)
{
    const auto load = now < external_load_until_ ? external_load_ : 0;
    // A host may tell of any number; more than the slots says nothing more.
    external_load_ =
        load + std::min(count, spec_.slots - std::min(load, spec_.slots));
    external_load_until_ = now + external_load_time;
}

void upstream_tracker::fail(failure_cause cause, state::time_point began,
                            state::time_point now)
{
    last_failure_ = now;
    last_failure_cause_ = cause;
    // Requests sent before the hold began count as the same failure.
    if (failure_count_ > 0 && began < held_since_) {
        return;
    }
    trial_passes_ = 0;
    held_since_ = now;
    if (failure_count_++ == 0) {
        first_failure_ = now;
        hold_until_ = now + first_hold;
        quick_trial_at_ = now + first_quick_hold;
        return;
    }
    hold_until_ =
        std::max(first_failure_ + repeated_failure_hold, now + trial_pause);
    quick_trial_at_ = std::max(first_failure_ + repeated_failure_quick_hold,
                               now + quick_trial_pause);
}

void upstream_tracker::succeed(state::time_point began, double relative,
                               state::time_point now)
{
    if (relative >= min_relative_latency) {
        slowness_ = slowness(now) * (1.0 - slowness_weight) +
                    relative * slowness_weight;
        slowness_at_ = now;
    }
    if (failure_count_ == 0 || began >= last_failure_) {
        last_success_ = now;
    }
    count_trial_pass(began);
}

void upstream_tracker::count_trial_pass(state::time_point began)
{
    // A request sent before the last failure does not show that the upstream
    // has recovered.
    if (failure_count_ == 0 || began < last_failure_) {
        return;
    }
    if (++trial_passes_ >= trial_successes) {
        failure_count_ = 0;
        trial_passes_ = 0;
        hold_until_ = long_ago;
    }
}

void upstream_tracker::apply_load_report(const state::occupancy_report& report,
                                         bool ran, state::time_point now)
{
    const auto reported = report.running + report.waiting;
    const auto own = in_flight_ + (ran ? 1 : 0);
    external_load_ = reported > own ? reported - own : 0;
    external_load_until_ = now + external_load_time;
}

void upstream_tracker::record_unreachable(const std::string& host,
                                          state::time_point now)
{
    unreachable_[host] = now + connect_retry_delay;
    // Hosts that failed to connect since the upstream last responded to any
    // host.
    const auto blocked = std::count_if(
        unreachable_.begin(), unreachable_.end(), [&](const auto& it) {
            return it.second > now &&
                   it.second - connect_retry_delay >= last_success_;
        });
    if (static_cast<std::size_t>(blocked) >= unreachable_hosts) {
        fail(failure_cause::unreachable, now, now);
    }
}

void upstream_tracker::record_lost(const std::string& host,
                                   state::time_point now)
{
    if (lost_at_.size() < lost_hosts) {
        lost_at_.insert(host);
    }
    if (lost_at_.size() >= lost_hosts) {
        last_error_ = now;
    }
}

} // namespace oriolegrade::coordination
