// Dispatcher of one service: joins the parts that decide which request is sent
// next, to which upstream, and which requests are refused. Time is passed as an
// argument; nothing here does I/O.
//
//  - waiting_line: the order of requests that wait
//  - workspace_shares: whose requests are next when the service is full
//  - place_admission: who is refused, and when to return
//  - upstream_index, upstream_choice: which upstream gets a request
//  - upstream_tracker: the standing of one upstream
//  - capacity_floor, unserved_estimate: upstreams that must get a request
//  - extra_sends: repeats, hedges and trials
//  - learned_latencies: how long answers usually take
//
// Each part names its load patterns. One queue sees all requests of a service
// through its dispatcher, or those of one host alone when no dispatcher
// answers; the parts are the same.

#ifndef ORIOLEGRADE_COORDINATION_DISPATCH_QUEUE_HPP
#define ORIOLEGRADE_COORDINATION_DISPATCH_QUEUE_HPP

#include <oriolegrade/coordination/dispatch_summary.hpp>
#include <oriolegrade/coordination/extra_sends.hpp>
#include <oriolegrade/coordination/learned_latencies.hpp>
#include <oriolegrade/coordination/place_admission.hpp>
#include <oriolegrade/coordination/recent_share.hpp>
#include <oriolegrade/coordination/unserved_estimate.hpp>
#include <oriolegrade/coordination/upstream_choice.hpp>
#include <oriolegrade/coordination/upstream_index.hpp>
#include <oriolegrade/coordination/waiting_line.hpp>
#include <oriolegrade/coordination/window_budget.hpp>
#include <oriolegrade/state/dispatch_type.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace oriolegrade::coordination {

struct dispatch_options
{
    window_budget_options budget;
    /// Connections that an upstream accepts from all hosts together.
    std::uint32_t max_connections = 1;
    /// Breaks ties between upstreams of equal cost; differs between hosts.
    /// Queues that start at the same moment have the same information, and with
    /// one seed they would all choose the same upstreams.
    std::uint64_t seed = 0;
};

/// A change of an upstream's standing and the values that caused it.
struct standing_change
{
    std::string upstream;
    upstream_standing before = upstream_standing::in_service;
    upstream_standing after = upstream_standing::in_service;
    /// Failures since the upstream was last in service.
    std::uint32_t failures = 0;
    /// Evidence of the last failure.
    failure_cause cause = failure_cause::none;
    double slowness = 1.0;
};

class dispatch_queue
{
public:
    /// Identifies a request for as long as the dispatcher knows it; never
    /// reused.
    using request_id = std::uint64_t;

    struct answer
    {
        request_id number = 0;
        state::place_answer decision;
    };

    explicit dispatch_queue(const dispatch_options& options);

    /// Replaces the list of upstreams. Requests in flight at a removed upstream
    /// are still reported.
    void set_upstreams(const std::vector<state::registered_upstream>& list,
                       state::time_point now);
    void set_max_connections(std::uint32_t n)
    {
        options_.max_connections = n;
    }
    /// Share of the budget of extra sends that this queue may use. The total
    /// over all dispatchers is limited by the hosts (host_budget).
    void set_budget_share(double share)
    {
        extra_.set_share(share);
    }

    /// Places, refuses or queues a request.
    /// @return the decision, or nothing when the request is queued; poll() or
    ///         place_waiting() then decides
    std::optional<state::place_answer>
    request_place(request_id number, const state::place_request& request,
                  state::time_point now);

    /// Ends a request that was placed, or removes a waiting one from the queue.
    void report(request_id number, const state::send_report& report,
                state::time_point now);

    /// Removes a request whose place was never used. Nothing is learned from
    /// it: a dispatcher that decides too late would otherwise count its
    /// upstreams as used and its requests as unserved.
    /// @param wish what the upstream had said to the host of the request
    void take_back(request_id number, state::time_point now,
                   const state::upstream_wish& wish = {});

    /// Ends a request whose host has failed or left.
    void report_host_lost(request_id number, state::time_point now);

    /// Adds requests in flight that a host sent before this dispatcher took
    /// over.
    void adopt(const std::string& upstream, std::uint32_t count,
               state::time_point now);

    /// Checks the age of requests in flight, refuses waiting requests that can
    /// no longer be answered in time, and places others. To be called
    /// periodically.
    std::vector<answer> poll(state::time_point now);

    /// Places waiting requests on free slots. To be called after every change;
    /// cheap also with a long queue.
    std::vector<answer> place_waiting(state::time_point now);

    /// Changes of standings since the last call, for the log.
    std::vector<standing_change> take_changes(state::time_point now);

    dispatch_summary summary(state::time_point now) const;

    std::size_t waiting() const
    {
        return line_.size();
    }
    std::size_t in_flight() const
    {
        return active_sends_.size();
    }
    const upstream_tracker* find(const std::string& upstream) const;

private:
    struct active_send
    {
        std::string upstream;
        std::string host;
        std::string route;
        state::time_point began;
        bool stalled = false;
        /// A trial that has neither ended nor been confirmed.
        bool unconfirmed_trial = false;
        state::send_kind kind = state::send_kind::first;
        bool repeatable = false;
        /// Already counted as unserved because of its age.
        bool overdue = false;
        /// Last send to the upstream before this one.
        state::time_point previous_begin = {};
        /// Incarnation of the upstream.
        std::uint64_t born = 0;

        send_attributes attributes() const
        {
            return {kind, repeatable, overdue};
        }
    };

    /// Brings the index up to the time, and the floor in force or out of it.
    void advance(state::time_point now);
    /// Upstream for a request; null when it has to wait.
    /// @param held a held one is good enough for a request that can expect
    ///        nothing better
    upstream_entry* choose(const waiting_request& it, bool held,
                           state::time_point now);
    bool takes_any_upstream(const waiting_request& it,
                            state::time_point now) const;
    bool can_meet_target(const waiting_request& it,
                         state::time_point now) const;
    /// Charges the budget of extra sends unless this is the first send of the
    /// request.
    state::place_answer place_or_refuse(request_id number,
                                        const waiting_request& it,
                                        upstream_entry& entry,
                                        state::time_point now);
    /// Refuses waiting requests that cannot be answered in time any more.
    void refuse_unplaceable(std::vector<answer>& out, state::time_point now);
    /// Places waiting requests while there are upstreams.
    /// @param held held upstreams count
    void place_part(line_part part, bool held, std::vector<answer>& out,
                    state::time_point now);
    state::place start(request_id number, const waiting_request& it,
                       upstream_entry& entry, state::time_point now);
    std::optional<state::duration> hedge_delay(const waiting_request& it,
                                               const upstream_tracker& tracker,
                                               state::time_point now);
    service_capacity capacity() const;
    /// Expected time until a request is placed that is not in line yet.
    state::duration expected_wait(const state::place_request& request) const;
    /// Refuses a request and counts it as unserved.
    state::place_refusal refuse(state::place_refusal_reason reason,
                                request_id number,
                                const state::place_request& request,
                                state::time_point now);
    static void note_wish(upstream_tracker& tracker, const active_send& send,
                          const state::upstream_wish& wish,
                          state::time_point now);
    /// Time until the first upstream that wants no requests takes some again;
    /// 0 when there is none.
    state::duration quiet_time(state::time_point now) const;
    /// True when the request may be sent to some upstream, now or later.
    bool any_candidate(const state::place_request& request,
                       state::time_point now) const;
    /// Confirms trials and detects stalled requests by their age.
    void check_active_sends(state::time_point now);
    /// Ends the oldest holds when too many upstreams are held.
    void limit_holds(state::time_point now);

    dispatch_options options_;
    upstream_index upstreams_;
    waiting_line line_;
    place_admission admission_;
    extra_sends extra_;
    learned_latencies latencies_;
    unserved_estimate unserved_;
    /// Cancelled sends; for the summary.
    recent_share cancelled_;
    std::unordered_map<request_id, active_send> active_sends_;
};

} // namespace oriolegrade::coordination

#endif
