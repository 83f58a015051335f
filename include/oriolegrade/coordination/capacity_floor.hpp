// Capacity floor of a dispatcher: selects the upstream that must get the next
// request, so that sound capacity is in use whenever many requests may fail.
//
// Load patterns: upstreams that fail for some seconds and stay idle long after
// they have recovered, and the simultaneous loss of many hosts.
//
// Only an upstream with evidence of its own against it may stay idle, and a
// limit on the number of idle upstreams holds for these alone. Part of a
// service may have a fault that the dispatcher does not see; a number counted
// from all upstreams may then cover most of the rest.

#ifndef ORIOLEGRADE_COORDINATION_CAPACITY_FLOOR_HPP
#define ORIOLEGRADE_COORDINATION_CAPACITY_FLOOR_HPP

#include <oriolegrade/coordination/upstream_entry.hpp>
#include <oriolegrade/state/time_type.hpp>

#include <algorithm>
#include <cstddef>
#include <set>
#include <utility>

namespace oriolegrade::coordination {

/// Share of a service's requests, presumed unserved, above which the floor is
/// enforced. The users' capacity rule applies from a tenth; the rest is a
/// margin for errors of the estimate. Trials of failing upstreams alone reach a
/// lower share, and the floor would keep itself in force.
inline constexpr double floor_unserved_share = 0.07;

/// Time before a failed upstream is due in which a request that may repeat is
/// sent there. Such requests arrive several times a second even at small
/// services.
inline constexpr state::duration due_soon_time = std::chrono::milliseconds(900);

class capacity_floor
{
public:
    /// @param n number of upstreams that accept requests
    void set_ready(std::size_t n)
    {
        ready_ = n;
    }
    /// @param in_force more than floor_unserved_share is presumed unserved;
    ///        otherwise some upstreams that failed may stay idle
    void set_in_force(bool in_force, state::time_point now);

    /// Takes over a change of an upstream.
    /// @param usable it accepts requests and has a free slot
    void update(upstream_entry& entry, bool usable, state::time_point now);
    void erase(upstream_entry& entry);
    /// Looks at the upstreams whose time has come.
    void advance(state::time_point now);

    /// True when some upstream must get a request, whatever that is.
    bool is_any_due(state::time_point now) const
    {
        return due_failed() > 0 || is_sound_due(now);
    }

    /// Upstream that must get the next request; null when there is none.
    /// @param usable takes an upstream: the request may be sent there
    template <class Usable>
    upstream_entry* find_due(Usable usable, state::time_point now) const
    {
        upstream_entry* best = nullptr;
        for (auto it = sound_.begin(); it != sound_.end() && it->at <= now;
             ++it) {
            if (usable(*it->entry)) {
                best = it->entry;
                break;
            }
        }
        auto left = due_failed();
        for (auto it = failed_due_.begin(); left > 0; ++it, --left) {
            auto* entry = it->entry;
            if ((best == nullptr || is_idle_longer(*entry, *best)) &&
                usable(*entry)) {
                best = entry;
                if (in_force_) {
                    break;
                }
            }
        }
        return best;
    }

    /// Failed upstream that will be due soon, for a request whose failure a
    /// repeat can hide; null when there is none.
    template <class Usable>
    upstream_entry* find_due_soon(Usable usable, state::time_point now) const
    {
        for (auto it = failed_later_.begin();
             it != failed_later_.end() && it->at <= now + due_soon_time; ++it) {
            if (usable(*it->entry)) {
                return it->entry;
            }
        }
        return nullptr;
    }

private:
    /// Longest idle first.
    static bool is_idle_longer(const upstream_entry& a, const upstream_entry& b)
    {
        return std::pair(a.tracker.idle_since(), a.tracker.order()) <
               std::pair(b.tracker.idle_since(), b.tracker.order());
    }

    bool is_sound_due(state::time_point now) const
    {
        return !sound_.empty() && sound_.begin()->at <= now;
    }
    /// Number of failed upstreams that must get a request: the first ones of
    /// failed_due_.
    std::size_t due_failed() const
    {
        return failed_due_.size() - std::min(failed_due_.size(), max_resting());
    }
    /// Number of upstreams that may be idle after failures.
    std::size_t max_resting() const;
    /// Time at which the upstream must get a request.
    state::time_point due_time(const upstream_tracker& tracker) const;
    std::set<floor_key>& set_of(floor_set set);
    void insert(upstream_entry& entry, floor_set set, state::time_point at);
    void insert_due(upstream_entry& entry);

    bool in_force_ = false;
    std::size_t ready_ = 0;
    /// By the time at which they are due.
    std::set<floor_key> sound_;
    std::set<floor_key> failed_later_;
    /// By their last failure: those that failed last may rest. While the floor
    /// is in force none may, and the longest idle comes first.
    std::set<floor_key> failed_due_;
};

} // namespace oriolegrade::coordination

#endif
