// What a dispatcher knows about one upstream: work in flight, health, speed
// and the hosts that cannot reach it.

#ifndef ORIOLEGRADE_COORDINATION_UPSTREAM_TRACK_HPP
#define ORIOLEGRADE_COORDINATION_UPSTREAM_TRACK_HPP

#include <oriolegrade/state/dispatch_type.hpp>
#include <oriolegrade/state/enum_names.hpp>
#include <oriolegrade/state/registered_upstream.hpp>
#include <oriolegrade/state/time_type.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace oriolegrade::coordination {

/// Time without work after a first failure: about half of these are single
/// errors of healthy servers.
inline constexpr state::duration first_hold = std::chrono::milliseconds(2000);
/// The same when a failure can be hidden or all others are full.
inline constexpr state::duration first_quick_hold =
    std::chrono::milliseconds(300);
/// Gray episodes of the users' servers fail most requests and last some 9 s.
/// After a second failure there is no trial before this time since the first.
inline constexpr state::duration repeated_failure_hold =
    std::chrono::milliseconds(8000);
inline constexpr state::duration repeated_failure_quick_hold =
    std::chrono::milliseconds(7000);
/// Pause between failed trials after that.
inline constexpr state::duration trial_pause = std::chrono::milliseconds(1500);
inline constexpr state::duration quick_trial_pause =
    std::chrono::milliseconds(1000);
/// A request in flight for this many usual latencies counts as failed; with
/// the lower factor when nothing has succeeded there since it was sent. One
/// answer in a hundred takes three times the usual latency.
inline constexpr double stall_factor = 4.0;
inline constexpr double silent_stall_factor = 2.5;
/// Successes in a row that end a trial. Servers in a gray episode answer about
/// one request in seven.
inline constexpr std::uint32_t trial_successes = 2;
/// A server on trial that saw no repeatable request for this long takes any,
/// while few servers are in service.
inline constexpr state::duration canary_wait_time =
    std::chrono::milliseconds(1000);
/// A host that failed to connect does not try again for this long.
inline constexpr state::duration connect_retry_delay = std::chrono::seconds(3);
/// An upstream is sound again this long after a failure of its own, and gets
/// work in each stretch of the other length (the users' rule on capacity in
/// use).
inline constexpr state::duration sound_after = std::chrono::seconds(2);
inline constexpr state::duration floor_window = std::chrono::seconds(2);
/// Hosts that cannot connect, with no answer to any other host meanwhile,
/// before the upstream counts as failed for all.
inline constexpr std::size_t unreachable_hosts = 3;
/// Reported load that this dispatcher does not explain counts for this long.
inline constexpr state::duration external_load_time =
    std::chrono::milliseconds(600);

enum class upstream_standing : std::uint8_t
{
    in_service,
    /// Back after a failure: one request at a time until one succeeds.
    on_trial,
    /// Receives work only when there is no other place.
    held,
};

/// A send that has ended, as far as the dispatcher knows it.
struct send_context
{
    state::time_point began;
    /// Latency over the usual one.
    double relative = 1.0;
    /// It was a trial that nothing has vouched for.
    bool unconfirmed_trial = false;
    /// stalled() was called for it.
    bool stalled = false;
};

class upstream_track
{
public:
    /// @param order place among upstreams that look alike
    upstream_track(const state::registered_upstream& spec, std::uint64_t order,
                   state::time_point now);

    /// Takes a newer entry; a new incarnation starts without a past.
    void update(const state::registered_upstream& spec, state::time_point now);

    const state::registered_upstream& spec() const
    {
        return spec_;
    }

    std::uint64_t order() const
    {
        return order_;
    }

    upstream_standing standing(state::time_point now) const;
    /// Failures since it was in service.
    std::uint32_t failures() const
    {
        return failure_count_;
    }
    /// On trial for long enough to take requests that must not repeat.
    bool canary_wait_is_over(state::time_point now) const
    {
        return now - hold_until_ >= canary_wait_time;
    }
    /// True when a trial is due for a request whose failure can be hidden, or
    /// that has no other place.
    bool quick_trial_due(state::time_point now) const
    {
        return now >= quick_trial_at_;
    }
    state::time_point held_since() const
    {
        return held_since_;
    }
    state::time_point last_failure() const
    {
        return last_failure_;
    }
    /// Ends a hold early, to keep enough upstreams in use.
    void release(state::time_point now);

    /// Requests that run there, as far as is known.
    std::uint32_t occupied(state::time_point now) const;
    bool has_room(state::time_point now) const;
    bool is_cold(state::time_point now) const
    {
        return now < warm_at_;
    }
    /// Latency relative to the service's usual one; 1 is usual.
    double slowness(state::time_point now) const;

    bool reachable_from(const std::string& host, state::time_point now) const;

    /// @return true when the request is a trial, and no other one starts
    ///         before it has ended or was vouched for
    bool begin(state::time_point now);
    /// A trial has been in progress for longer than failures take here.
    void confirm_trial(state::time_point began);
    /// @param how what is known about the send beside its report
    void end(const std::string& host, const state::send_report& report,
             const send_context& how, state::time_point now);
    /// A request in flight takes much longer than usual. Its slot counts as
    /// free from now on: a host that falls silent never reports the end, and
    /// where the upstream hangs, its standing keeps further requests away.
    void stalled(state::time_point began, double relative,
                 state::time_point now);
    /// Work in flight that another dispatcher placed.
    void adopt(std::uint32_t count, state::time_point now);

    /// Time of the latest proof that the upstream works.
    state::time_point last_success() const
    {
        return last_success_;
    }
    state::time_point last_begin() const
    {
        return last_begin_;
    }
    /// It answered no error of its own for sound_after.
    bool is_sound(state::time_point now) const
    {
        return now - last_error_ >= sound_after;
    }
    /// Since when it has got no request, as far as this dispatcher knows.
    state::time_point unused_since() const
    {
        return std::max(last_begin_, known_since_);
    }
    /// Since when it has been sound and without a new request. An error that
    /// it answered itself is proof that it was not sound; a lost or late
    /// answer may be the fault of the host that waited for it.
    state::time_point idle_since() const
    {
        return std::max(unused_since(), last_error_ + sound_after);
    }

private:
    /// @param began when the request that failed was sent
    void fail(state::time_point began, state::time_point now);
    void succeed(state::time_point began, double relative,
                 state::time_point now);
    /// One proof of a trial.
    void count_trial_pass(state::time_point began);
    void apply_load_report(const state::occupancy_report& report,
                           state::time_point now);
    void record_unreachable(const std::string& host, state::time_point now);

    state::registered_upstream spec_;
    std::uint64_t order_;
    /// Requests sent there, without those that have stalled.
    std::uint32_t in_flight_ = 0;
    /// Trials in progress that nothing has vouched for; at most one.
    std::uint32_t unconfirmed_trials_ = 0;
    /// Load beyond in_flight_ that was reported, until external_load_until_.
    std::uint32_t external_load_ = 0;
    state::time_point external_load_until_{};
    state::time_point warm_at_{};
    state::time_point known_since_{};
    state::time_point last_begin_{};
    /// Failures since the server was in service; 0 means in service.
    std::uint32_t failure_count_ = 0;
    /// Successes of the trial in progress.
    std::uint32_t trial_passes_ = 0;
    state::time_point last_success_{};
    state::time_point held_since_{};
    state::time_point hold_until_{};
    state::time_point quick_trial_at_{};
    /// Of the present series of failures.
    state::time_point first_failure_{};
    state::time_point last_failure_{};
    /// Of the latest answer that told a fault of the upstream.
    state::time_point last_error_{};
    double slowness_ = 1.0;
    state::time_point slowness_at_{};
    /// Hosts whose connects failed, with the time until which they keep off.
    std::map<std::string, state::time_point> unreachable_;
};

} // namespace oriolegrade::coordination

namespace oriolegrade::state {

template <>
struct enum_names<coordination::upstream_standing>
{
    static constexpr std::array<std::string_view, 3> value{"in_service",
                                                           "on_trial", "held"};
};

} // namespace oriolegrade::state

#endif
