// State that a dispatcher keeps for one upstream: requests in flight, health,
// latency and the hosts that cannot reach it.

#ifndef ORIOLEGRADE_COORDINATION_UPSTREAM_TRACKER_HPP
#define ORIOLEGRADE_COORDINATION_UPSTREAM_TRACKER_HPP

#include <oriolegrade/state/dispatch_type.hpp>
#include <oriolegrade/state/enum_names.hpp>
#include <oriolegrade/state/registered_upstream.hpp>
#include <oriolegrade/state/time_type.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace oriolegrade::coordination {

/// Hold after a first failure. About half of first failures are isolated errors
/// of healthy upstreams.
inline constexpr state::duration first_hold = std::chrono::milliseconds(2000);
/// As first_hold, when a failure can be hidden by a repeat or all other
/// upstreams are full.
inline constexpr state::duration first_quick_hold =
    std::chrono::milliseconds(300);
/// Hold after a second failure, counted from the first one. Gray failures of
/// the users' upstreams fail most requests and last about 9 s.
inline constexpr state::duration repeated_failure_hold =
    std::chrono::milliseconds(8000);
inline constexpr state::duration repeated_failure_quick_hold =
    std::chrono::milliseconds(7000);
/// Minimum time from a failed trial to the next one.
inline constexpr state::duration trial_pause = std::chrono::milliseconds(1500);
inline constexpr state::duration quick_trial_pause =
    std::chrono::milliseconds(1000);
/// Age in usual latencies at which a request in flight counts as failed; the
/// lower factor applies when no other request has succeeded there since it was
/// sent. One response in a hundred takes three times the usual latency.
inline constexpr double stall_factor = 4.0;
inline constexpr double silent_stall_factor = 2.5;
/// Consecutive successes that end a trial. An upstream in a gray failure
/// answers about one request in seven, so a single success proves little.
inline constexpr std::uint32_t trial_successes = 2;
/// An upstream on trial that got no repeatable request for this long accepts
/// any request while few upstreams are in service.
inline constexpr state::duration canary_wait_time =
    std::chrono::milliseconds(1000);
/// Time for which a host that failed to connect does not try again.
inline constexpr state::duration connect_retry_delay = std::chrono::seconds(3);
/// The users' capacity rule: an upstream is sound again sound_after its last
/// server error, and a sound upstream gets at least one request in each
/// floor_window.
inline constexpr state::duration sound_after = std::chrono::seconds(2);
inline constexpr state::duration floor_window = std::chrono::seconds(2);
/// Number of hosts that fail to connect, with no response to any other host in
/// the meantime, after which the upstream counts as failed for all.
inline constexpr std::size_t unreachable_hosts = 3;
/// Number of hosts that lose requests at an upstream, with no response to any
/// host in the meantime, after which the losses are the upstream's own failure.
/// A connection that breaks at one host may be the fault of that host.
inline constexpr std::size_t lost_hosts = 2;
/// Validity of reported load in excess of this dispatcher's own requests.
inline constexpr state::duration external_load_time =
    std::chrono::milliseconds(600);

enum class upstream_standing : std::uint8_t
{
    in_service,
    /// Available after a failure, with one unconfirmed request at a time.
    on_trial,
    /// Gets requests only when no other upstream is available.
    held,
};

/// Evidence that made an upstream count as failed.
enum class failure_cause : std::uint8_t
{
    none,
    server_error,
    /// The connection ended before a complete response.
    lost,
    /// The address belongs to another upstream.
    misdirected,
    /// No response before the deadline.
    expired,
    /// No response for much longer than usual; the request is still in flight.
    stalled,
    /// Several hosts could not connect.
    unreachable,
};

/// What the dispatcher knows about a send that has ended.
struct send_context
{
    state::time_point began;
    /// Latency relative to the usual one.
    double relative = 1.0;
    /// It was a trial that has not been confirmed.
    bool unconfirmed_trial = false;
    /// stalled() was called for it.
    bool stalled = false;
};

class upstream_tracker
{
public:
    /// @param order breaks ties between upstreams of equal cost
    upstream_tracker(const state::registered_upstream& spec,
                     std::uint64_t order, state::time_point now);

    /// Applies a newer registration; a new incarnation starts without history.
    void update(const state::registered_upstream& spec, state::time_point now);

    const state::registered_upstream& spec() const
    {
        return spec_;
    }

    /// The register says that it accepts requests.
    bool is_listed() const
    {
        return spec_.state == state::registration_state::ready;
    }
    /// It accepts requests, as far as the register and it itself say.
    bool is_ready(state::time_point now) const
    {
        return is_listed() && now >= quiet_until_;
    }
    /// The upstream has said something of itself.
    void note_wish(const state::upstream_wish& wish, state::time_point now);
    /// End of the time for which the upstream wants no requests; max() when it
    /// leaves.
    state::time_point quiet_until() const
    {
        return quiet_until_;
    }
    std::uint64_t order() const
    {
        return order_;
    }

    upstream_standing standing(state::time_point now) const;
    /// Failures since the upstream was last in service.
    std::uint32_t failures() const
    {
        return failure_count_;
    }
    /// On trial for long enough to accept non-idempotent requests.
    bool canary_wait_is_over(state::time_point now) const
    {
        return now - hold_until_ >= canary_wait_time;
    }
    /// True when a trial is due for a request whose failure can be hidden by a
    /// repeat, or for which no other upstream is available.
    bool quick_trial_due(state::time_point now) const
    {
        return now >= quick_trial_at_;
    }
    /// Evidence of the last failure.
    failure_cause last_failure_cause() const
    {
        return last_failure_cause_;
    }
    state::time_point held_since() const
    {
        return held_since_;
    }
    state::time_point last_failure() const
    {
        return last_failure_;
    }
    /// Next time at which one of the answers above or below changes although no
    /// request begins or ends; max() when none does.
    state::time_point next_change(state::time_point now) const;
    /// Ends a hold early, to keep enough upstreams in use.
    void release(state::time_point now);

    /// Requests known to be running at the upstream, those of other dispatchers
    /// included.
    std::uint32_t occupied(state::time_point now) const;
    bool has_room(state::time_point now) const;
    bool is_cold(state::time_point now) const
    {
        return now < warm_at_;
    }
    /// Average latency relative to the service's usual one; 1 is usual.
    double slowness(state::time_point now) const;

    bool reachable_from(const std::string& host, state::time_point now) const;

    /// Counts a request sent to the upstream.
    /// @return true when the request is a trial; no other trial starts before
    ///         it has ended or was confirmed
    bool begin(state::time_point now);
    /// Confirms a trial that has been in progress for longer than errors
    /// usually take.
    void confirm_trial(state::time_point began);
    /// Ends a request.
    /// @param how what the dispatcher knows beside the host's report
    void end(const std::string& host, const state::send_report& report,
             const send_context& how, state::time_point now);
    /// Undoes begin() for a request that was never sent.
    /// @param began when begin() was called
    /// @param previous_begin last_begin() before that
    void take_back(state::time_point began, state::time_point previous_begin,
                   const send_context& how);
    /// Marks a request in flight as failed because of its age. Its slot counts
    /// as free from now on: a host that stops responding never reports the end,
    /// and an upstream that hangs gets no further requests because of its
    /// standing.
    void stalled(state::time_point began, double relative,
                 state::time_point now);
    /// Adds requests in flight that another dispatcher placed.
    void adopt(std::uint32_t count, state::time_point now);

    /// Time of the latest success.
    state::time_point last_success() const
    {
        return last_success_;
    }
    state::time_point last_begin() const
    {
        return last_begin_;
    }
    /// Time of the latest failure that is the upstream's own: a server error,
    /// or a loss that several hosts had (lost_hosts).
    state::time_point last_error() const
    {
        return last_error_;
    }
    /// Start of the time during which it has been sound and without a new
    /// request. Only a failure of its own shows that the upstream was not
    /// sound; a late response, or one that a single host lost, may be the fault
    /// of the host. An upstream that got no request from this dispatcher counts
    /// as idle for long: it may have been ready, or without a request, before
    /// this dispatcher knew of it.
    state::time_point idle_since() const
    {
        return std::max(last_begin_, last_error_ + sound_after);
    }

private:
    /// Frees what begin() took for a send.
    void release_slot(const send_context& how);
    /// @param began when the failed request was sent
    void fail(failure_cause cause, state::time_point began,
              state::time_point now);
    void succeed(state::time_point began, double relative,
                 state::time_point now);
    /// Counts a success, or a confirmation, towards the end of a trial.
    void count_trial_pass(state::time_point began);
    /// @param ran the report came with the answer to a request that ran. An
    ///        upstream of the users counts that request as running; otherwise
    ///        each answer would seem to show a request of somebody else, and a
    ///        busy upstream would never get its last slot filled.
    void apply_load_report(const state::occupancy_report& report, bool ran,
                           state::time_point now);
    void record_unreachable(const std::string& host, state::time_point now);
    void record_lost(const std::string& host, state::time_point now);

    state::registered_upstream spec_;
    std::uint64_t order_;
    /// Requests in flight, without stalled ones.
    std::uint32_t in_flight_ = 0;
    /// Trials in progress that are not confirmed; at most one.
    std::uint32_t unconfirmed_trials_ = 0;
    /// Reported load in excess of in_flight_; valid until external_load_until_.
    std::uint32_t external_load_ = 0;
    state::time_point external_load_until_{};
    state::time_point warm_at_{};
    state::time_point last_begin_{};
    /// Failures since the upstream was last in service; 0 while it is in
    /// service.
    std::uint32_t failure_count_ = 0;
    /// Successes and confirmations of the trial in progress.
    std::uint32_t trial_passes_ = 0;
    state::time_point last_success_{};
    state::time_point held_since_{};
    state::time_point hold_until_{};
    state::time_point quick_trial_at_{};
    /// First failure of the current series.
    state::time_point first_failure_{};
    state::time_point last_failure_{};
    failure_cause last_failure_cause_ = failure_cause::none;
    /// Time of the latest failure of its own.
    state::time_point last_error_{};
    /// Hosts that lost a request here since the upstream last responded to a
    /// request sent after a failure; at most lost_hosts.
    std::set<std::string> lost_at_;
    double slowness_ = 1.0;
    state::time_point slowness_at_{};
    /// Until then the upstream wants no requests; max() when it said that it
    /// leaves, as only a new incarnation returns.
    state::time_point quiet_until_{};
    /// Hosts that failed to connect, with the time until which they do not
    /// retry.
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

template <>
struct enum_names<coordination::failure_cause>
{
    static constexpr std::array<std::string_view, 7> value{
        "none",    "server_error", "lost",       "misdirected",
        "expired", "stalled",      "unreachable"};
};

} // namespace oriolegrade::state

#endif
