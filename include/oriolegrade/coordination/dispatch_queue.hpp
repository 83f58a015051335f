// The queue of one service at its dispatcher: which request runs next, at
// which upstream, and which is turned away. Takes time as an argument and
// does no I/O.
//
// Load patterns that the rules answer:
//  - Many hosts with few requests each before servers of few slots: one exact
//    count of the work in flight, so that no request waits at a server while
//    another server has a free slot.
//  - A burst above capacity: the most urgent first; a request that cannot be
//    answered in time is refused at once, not when its time is over.
//  - Servers that fail for some seconds while they look healthy: one failure
//    protects the requests of all hosts.
//  - Requests that must not repeat before servers that fail for seconds: a
//    suspected server is tried when its slots are needed, not because time has
//    passed.
//  - Many requests that are not served, or may not be: the floor. Every server
//    that is sound again gets a request within two seconds.

#ifndef ORIOLEGRADE_COORDINATION_DISPATCH_QUEUE_HPP
#define ORIOLEGRADE_COORDINATION_DISPATCH_QUEUE_HPP

#include <oriolegrade/coordination/dispatch_summary.hpp>
#include <oriolegrade/coordination/recent_share.hpp>
#include <oriolegrade/coordination/route_latency.hpp>
#include <oriolegrade/coordination/unserved_estimate.hpp>
#include <oriolegrade/coordination/upstream_track.hpp>
#include <oriolegrade/coordination/window_budget.hpp>
#include <oriolegrade/state/dispatch_type.hpp>

#include <cstdint>
#include <map>
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
    /// Orders upstreams that look alike; differs between hosts. Queues that
    /// begin at the same moment know the same, and without it all would choose
    /// the same upstreams.
    std::uint64_t seed = 0;
};

/// An upstream whose standing changed, with what decided it.
struct standing_change
{
    std::string upstream;
    upstream_standing before = upstream_standing::in_service;
    upstream_standing after = upstream_standing::in_service;
    /// Failures since it was in service.
    std::uint32_t failures = 0;
    double slowness = 1.0;
};

class dispatch_queue
{
public:
    /// Names a request for its whole life at the dispatcher; never reused.
    using ticket = std::uint64_t;

    struct answer
    {
        ticket number = 0;
        state::place_answer what;
    };

    explicit dispatch_queue(const dispatch_options& options);

    /// Takes the upstreams in force. Requests in flight at one that is gone
    /// are still reported.
    void set_upstreams(const std::vector<state::registered_upstream>& list,
                       state::time_point now);
    void set_max_connections(std::uint32_t n)
    {
        options_.max_connections = n;
    }
    /// Part of the budget of extra sends that this queue may use up. Hosts
    /// bound what all dispatchers together allow (host_budget).
    void set_budget_share(double share)
    {
        budget_share_ = share;
    }

    /// @return the answer, or nothing when the request waits in line; then
    ///         settle() answers it
    std::optional<state::place_answer> ask(ticket number,
                                           const state::place_request& request,
                                           state::time_point now);

    /// Ends a request that was placed, or takes a waiting one out of line.
    void report(ticket number, const state::send_report& report,
                state::time_point now);

    /// Ends a request whose host is gone.
    void lose(ticket number, state::time_point now);

    /// Work in flight that a host sent before this dispatcher took over.
    void adopt(const std::string& upstream, std::uint32_t count,
               state::time_point now);

    /// Answers for requests in line that are due: places, and refusals of
    /// those whose time is over. Call from time to time.
    std::vector<answer> settle(state::time_point now);

    /// Places that have become free. Call after every change; cheap also with
    /// a long line.
    std::vector<answer> fill(state::time_point now);

    /// Changes of standings since the last call, for the log.
    std::vector<standing_change> take_changes(state::time_point now);

    dispatch_summary summary(state::time_point now) const;

    std::size_t waiting() const
    {
        return line_.size();
    }
    std::size_t in_flight() const
    {
        return flights_.size();
    }
    const upstream_track* find(const std::string& upstream) const;

private:
    /// Order of the line: most urgent rank first, then the request that loses
    /// its worth first, then the oldest.
    struct line_key
    {
        std::uint32_t rank;
        state::time_point due;
        ticket number;

        auto operator<=>(const line_key&) const = default;
    };
    struct waiter
    {
        state::place_request request;
        state::time_point since;
        state::time_point deadline;
        state::time_point target;
    };
    struct flight
    {
        std::string upstream;
        std::string host;
        std::string route;
        state::time_point began;
        bool stalled = false;
        /// A trial that has neither ended nor been vouched for.
        bool open_trial = false;
        state::send_kind kind = state::send_kind::first;
        bool repeatable = false;
        /// Counted as not served, for its age.
        bool overdue = false;

        send_attributes attributes() const
        {
            return {kind, repeatable, overdue};
        }
    };

    /// The upstreams with a free slot, looked up once for many requests: a
    /// line of hundreds before a hundred upstreams is looked through after
    /// every answer.
    struct survey
    {
        /// In service, on trial, or held and due for a trial.
        std::vector<upstream_track*> usable;
        /// Held, for requests that have nothing to lose.
        std::vector<upstream_track*> held;
        /// Those that the floor demands a request for, the longest due first.
        std::vector<upstream_track*> due;
        /// Suspected upstreams are to be tried without need.
        bool few_in_service = false;

        bool is_full() const
        {
            return usable.empty() && held.empty() && due.empty();
        }
    };

    survey look_around(state::time_point now);
    upstream_track* choose(const waiter& it, survey& found,
                           state::time_point now);
    /// Cost of the standing of an upstream.
    /// @param canary the request may try a suspected upstream first
    static double tier(const upstream_track& track, bool canary,
                       bool few_in_service, state::time_point now);
    /// Takes out of a survey what a request that was placed has used up.
    static void forget_full(survey& found, upstream_track& track,
                            state::time_point now);
    bool is_last_chance(const waiter& it, state::time_point now) const;
    bool can_be_in_time(const waiter& it, state::time_point now) const;
    /// Takes from the budget of extra sends when the request needs it.
    state::place_answer place_or_refuse(ticket number, const waiter& it,
                                        upstream_track& track,
                                        state::time_point now);
    void refuse_hopeless(std::vector<answer>& out, state::time_point now);
    void fill_places(bool in_time, survey& found, std::vector<answer>& out,
                     state::time_point now);
    std::map<line_key, waiter>::iterator
    leave_line(std::map<line_key, waiter>::iterator it);
    bool may_use(const upstream_track& track, const waiter& it,
                 state::time_point now) const;
    /// Lower is better.
    double cost(const upstream_track& track, const waiter& it,
                state::time_point now) const;
    state::place start(ticket number, const waiter& it, upstream_track& track,
                       state::time_point now);
    std::optional<state::duration> hedge_delay(const waiter& it,
                                               const upstream_track& track,
                                               state::time_point now);
    /// Time until a place is likely for a request of this rank.
    state::duration expected_wait(std::uint32_t rank,
                                  state::time_point now) const;
    state::turn_away refuse(state::turn_away_reason reason, ticket number,
                            std::uint32_t rank, state::time_point now) const;
    /// The same; counts the request as not served.
    state::turn_away refuse_request(state::turn_away_reason reason,
                                    ticket number,
                                    const state::place_request& request,
                                    state::time_point now);
    /// True when an answer can no longer arrive before the deadline.
    bool is_hopeless(const waiter& it, state::duration wait,
                     state::time_point now) const;
    /// True when the request may go to the upstream, now or later.
    static bool is_candidate(const upstream_track& track,
                             const state::place_request& request,
                             state::time_point now);
    /// True when the request may go to some upstream, now or later.
    bool any_candidate(const state::place_request& request,
                       state::time_point now) const;
    /// Judges requests in flight by their age.
    void judge_flights(state::time_point now);
    /// Ends the oldest holds when too many upstreams are held.
    void limit_holds(state::time_point now);
    state::duration usual_latency(const std::string& route) const;
    /// Of all routes together.
    state::duration usual_latency() const;
    /// Latency record of a route; null when there are too many.
    route_latency* latency_of(const std::string& route);
    void learn_latency(const std::string& route,
                       const state::send_report& report);

    dispatch_options options_;
    double budget_share_ = 0.9;
    window_budget budget_;
    std::map<std::string, upstream_track> upstreams_;
    /// Standings that take_changes() told last.
    std::map<std::string, upstream_standing> told_;
    std::unordered_map<ticket, flight> flights_;
    std::map<line_key, waiter> line_;
    std::unordered_map<ticket, line_key> line_keys_;
    /// Requests in line of each rank.
    std::map<std::uint32_t, std::size_t> line_ranks_;
    std::unordered_map<std::string, route_latency> latencies_;
    route_latency all_routes_;
    unserved_estimate unserved_;
    /// Sends that were cancelled; for the summary.
    recent_share cancelled_;
    /// Usual time until an upstream answers with a fault.
    route_latency faults_;
};

} // namespace oriolegrade::coordination

#endif
