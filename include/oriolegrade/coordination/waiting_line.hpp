// Requests that wait for a slot of a service, in the order in which they are
// placed: the most urgent rank first, within a rank the workspace that was
// given least of what is due to it, and within a workspace those that can still
// meet their target, by the time at which they have to be answered.
//
// Load patterns:
//  - A burst above capacity with hundreds of waiting requests. An answer frees
//    one slot, so the next request must be found without a walk through those
//    that cannot meet their target any more. As the latency of a route decides
//    which can, the requests of each route are kept apart.
//  - One workspace fills the line while the requests of others come one by one
//    (workspace_shares). Thousands of workspaces may wait, so those of a rank
//    are kept in their order.
//
// Requests of all workspaces that can meet their target come before those of
// any that cannot. A late answer is worth less, so a slot that is spent on one
// while others wait in time serves nobody better; and as the tag of a workspace
// whose requests became late stays where it is, its next request in time comes
// first.

#ifndef ORIOLEGRADE_COORDINATION_WAITING_LINE_HPP
#define ORIOLEGRADE_COORDINATION_WAITING_LINE_HPP

#include <oriolegrade/coordination/workspace_shares.hpp>
#include <oriolegrade/state/dispatch_type.hpp>
#include <oriolegrade/state/enum_names.hpp>
#include <oriolegrade/state/time_type.hpp>

#include <algorithm>
#include <array>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace oriolegrade::coordination {

struct waiting_request
{
    state::place_request request;
    state::time_point deadline;
    /// Time at which the answer earns its full worth.
    state::time_point target;
};

/// What becomes of a request that was visited.
enum class visit_result : std::uint8_t
{
    keep,
    remove,
    /// Keeps it and ends the visit.
    stop,
    /// Removes it and ends the visit.
    remove_and_stop,
};

/// Requests of a rank that are visited.
enum class line_part : std::uint8_t
{
    /// Those that can meet their target when they are placed now.
    in_time,
    late,
    all,
};

class waiting_line
{
public:
    using request_id = std::uint64_t;

    void push(request_id number, waiting_request it);
    /// @return false when the request is not in the line
    bool remove(request_id number);

    /// Counts a request that a workspace asks to place, in line or not.
    void note_asked(const std::string& workspace, state::time_point now)
    {
        shares_.asked(workspace, now);
    }
    /// Counts a request that is sent to an upstream, from the line or not. May
    /// be called during a visit.
    void note_placed(const std::string& workspace);

    std::size_t size() const
    {
        return places_.size();
    }
    bool empty() const
    {
        return places_.empty();
    }
    /// Number of requests that are as urgent as the rank, or more.
    std::size_t count_up_to(std::uint32_t rank) const;
    /// Number of requests that are placed before one more of the workspace, by
    /// its share of the service; at most count_up_to().
    std::size_t count_ahead(std::uint32_t rank,
                            const std::string& workspace) const;
    /// True when a request of the rank, workspace and target comes before all
    /// in the line.
    bool is_first(std::uint32_t rank, state::time_point target,
                  const std::string& workspace = {}) const;

    /// Visits requests in their order. Workspaces alternate as if each request
    /// that is kept were placed.
    /// @param usual latency of a route
    /// @param visit takes the number and the request
    template <class Usual, class Visit>
    requires std::regular_invocable<Usual, const std::string&> &&
        std::invocable<Visit, request_id, const waiting_request&>
    void visit(line_part part, state::time_point now, Usual usual, Visit visit)
    {
        for (auto rank = ranks_.begin(); rank != ranks_.end();) {
            const bool goes_on =
                visit_rank(rank->second, part, now, usual, visit);
            rank =
                rank->second.size == 0 ? ranks_.erase(rank) : std::next(rank);
            if (!goes_on) {
                return;
            }
        }
    }

private:
    /// Requests of one route: the earliest target first, then the oldest.
    using route_key = std::pair<state::time_point, request_id>;
    using route_line = std::map<route_key, waiting_request>;

    /// Requests of one workspace in a rank.
    struct workspace_line
    {
        /// No route without requests.
        std::map<std::string, route_line> routes;
        std::size_t size = 0;
        /// The same in all ranks.
        workspace_shares::tag tag = 0;
        /// Share that was due to it when its last request came.
        double weight = 0;
        /// None of its requests can meet its target. A route that became faster
        /// is noticed by the next visit of those that are late.
        bool is_late = false;
        /// Last visit that came to it.
        std::uint64_t visit = 0;
    };
    using workspace_lines = std::unordered_map<std::string, workspace_line>;
    /// Name and line; stays where it is while it is in the map.
    using workspace_entry = workspace_lines::value_type;

    /// The name breaks ties.
    using order_key = std::pair<workspace_shares::tag, std::string_view>;
    using workspace_order = std::map<order_key, workspace_entry*>;

    struct rank_line
    {
        /// None without requests.
        workspace_lines workspaces;
        /// Each workspace is in one of them, by is_late: a visit of those in
        /// time does not walk through workspaces that have none.
        workspace_order in_time;
        workspace_order late;
        std::size_t size = 0;
        /// Sum over the workspaces.
        double weight = 0;

        workspace_order& order_of(const workspace_line& it)
        {
            return it.is_late ? late : in_time;
        }
    };

    struct place
    {
        std::uint32_t rank;
        std::string workspace;
        std::string route;
        state::time_point target;
    };

    /// Part of the line of one route that has not been visited.
    struct cursor
    {
        route_line* line;
        route_line::iterator it;
        route_line::iterator end;
    };

    /// A workspace whose requests are being visited.
    struct open_workspace
    {
        workspace_entry* line;
        std::vector<cursor> cursors;
        /// Tag, had the requests that were kept been placed.
        workspace_shares::tag tag;
        /// What a placed request adds to the tag.
        workspace_shares::tag step;
        /// What those that were kept would have added.
        workspace_shares::tag kept = 0;

        order_key key() const
        {
            return {tag, line->first};
        }
        /// For a heap with the least key on top.
        static bool comes_later(const open_workspace& a,
                                const open_workspace& b)
        {
            return b.key() < a.key();
        }
    };

    /// Progress of a visit through the workspaces of an order. It keeps a copy
    /// of the last key and no iterator, as workspaces move or leave the line
    /// while they are visited.
    struct order_walk
    {
        workspace_order* list;
        /// It has come to all; a visit adds none.
        bool done = false;
        bool began = false;
        workspace_shares::tag last_tag = 0;
        std::string last_name = {};

        void pass(const order_key& key)
        {
            began = true;
            last_tag = key.first;
            last_name = key.second;
        }
        workspace_order::iterator next(std::uint64_t visit)
        {
            auto it = began ? list->upper_bound({last_tag, last_name})
                            : list->begin();
            while (it != list->end() && it->second->second.visit == visit) {
                ++it;
            }
            done = it == list->end();
            return it;
        }
    };

    /// What a visit has come to in a rank.
    struct rank_visit
    {
        rank_line* rank;
        line_part part;
        std::uint64_t number;
        /// The second is not used by a visit of those in time.
        std::array<order_walk, 2> walks;
        /// A heap, see comes_later().
        std::vector<open_workspace>& open;

        bool is_all_open() const
        {
            return walks[0].done && walks[1].done;
        }
    };

    template <class Usual>
    static std::vector<cursor> cursors_of(workspace_line& from, line_part part,
                                          state::time_point now, Usual& usual)
    {
        std::vector<cursor> out;
        for (auto& [route, line] : from.routes) {
            const auto split = part == line_part::all
                                   ? line.end()
                                   : line.lower_bound({now + usual(route), 0});
            const auto begin =
                part == line_part::in_time ? split : line.begin();
            const auto end = part == line_part::in_time ? line.end() : split;
            if (begin != end) {
                out.push_back({&line, begin, end});
            }
        }
        return out;
    }

    /// False when the visit was ended.
    template <class Usual, class Visit>
    bool visit_rank(rank_line& rank, line_part part, state::time_point now,
                    Usual& usual, Visit& visit)
    {
        rank_visit state{
            &rank,
            part,
            ++visits_,
            {{{&rank.in_time}, {&rank.late, part == line_part::in_time}}},
            open_};
        open_.clear();
        while (true) {
            while (!state.is_all_open()) {
                auto* next = next_unopened(state);
                if (next == nullptr) {
                    break;
                }
                open(state, *next, cursors_of(next->second, part, now, usual));
            }
            if (state.open.empty()) {
                return true;
            }
            auto& heap = state.open;
            std::pop_heap(heap.begin(), heap.end(),
                          open_workspace::comes_later);
            auto& first = heap.back();
            const auto it = first_cursor(first);
            const auto& request = *it->it;
            const auto result = visit(request.first.second, request.second);
            if (result == visit_result::stop) {
                return false;
            }
            step(state, first, it, result);
            if (result == visit_result::remove_and_stop) {
                return false;
            }
        }
    }

    static std::vector<cursor>::iterator first_cursor(open_workspace& from)
    {
        return std::min_element(from.cursors.begin(), from.cursors.end(),
                                [](const cursor& a, const cursor& b) {
                                    return a.it->first < b.it->first;
                                });
    }

    /// Workspace to open before the next request is visited; null for none.
    static workspace_entry* next_unopened(rank_visit& state);
    /// @param cursors of its requests that the visit is for
    static void open(rank_visit& state, workspace_entry& it,
                     std::vector<cursor> cursors);
    /// Goes on after a request, at the end of the heap, was visited.
    void step(rank_visit& state, open_workspace& at,
              std::vector<cursor>::iterator it, visit_result result);

    /// Moves a workspace within the order, or between both.
    static void move(rank_line& rank, workspace_entry& it,
                     workspace_shares::tag tag, bool is_late);
    static void erase(rank_line& rank, workspace_entry& it);
    /// Tag of a workspace, whether it waits or not.
    workspace_shares::tag tag_of(const std::string& workspace) const;

    /// No rank without requests.
    std::map<std::uint32_t, rank_line> ranks_;
    std::unordered_map<request_id, place> places_;
    workspace_shares shares_;
    std::uint64_t visits_ = 0;
    /// Of the visit in progress; kept for its memory. A visit starts no other.
    std::vector<open_workspace> open_;
    /// Of the request that is counted as placed; kept for its memory.
    std::vector<std::pair<rank_line*, workspace_entry*>> placed_;
};

} // namespace oriolegrade::coordination

namespace oriolegrade::state {

template <>
struct enum_names<coordination::visit_result>
{
    static constexpr std::array<std::string_view, 4> value{
        "keep", "remove", "stop", "remove_and_stop"};
};

template <>
struct enum_names<coordination::line_part>
{
    static constexpr std::array<std::string_view, 3> value{"in_time", "late",
                                                           "all"};
};

} // namespace oriolegrade::state

#endif
