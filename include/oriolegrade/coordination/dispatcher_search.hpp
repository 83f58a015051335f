// Selects the host that places a request: the dispatchers in their order, then
// the local host, and a dispatcher with a stale view when all views are stale.
//
// Load pattern: dispatchers fail one after another, stop together, are slow or
// lose the store. When each host places its own requests, no host counts all
// the slots in use, so the local host comes after all reachable dispatchers.

#ifndef ORIOLEGRADE_COORDINATION_DISPATCHER_SEARCH_HPP
#define ORIOLEGRADE_COORDINATION_DISPATCHER_SEARCH_HPP

#include <oriolegrade/coordination/dispatcher_ranking.hpp>
#include <oriolegrade/coordination/placement_counters.hpp>
#include <oriolegrade/state/enum_names.hpp>
#include <oriolegrade/state/host_member.hpp>
#include <oriolegrade/state/time_type.hpp>

#include <algorithm>
#include <array>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace oriolegrade::coordination {

/// Dispatchers are asked for at most the request's remaining time divided by
/// this value; then the local host places the request. A silent dispatcher
/// costs each host that asks it one wait.
inline constexpr int search_time_divisor = 4;
/// Maximum number of dispatchers that one request asks. Refusals are immediate,
/// so the time limit alone would allow dozens.
inline constexpr std::size_t max_dispatchers_asked = 6;

/// State of a dispatcher as seen by one host.
enum class dispatcher_state : std::uint8_t
{
    usable,
    /// It recently reported a stale view of the register.
    stale,
    /// An answer is outstanding and nothing has been received since.
    silent,
    /// It answers, but often too late: asked after all others.
    late,
};

class dispatcher_search
{
public:
    struct step
    {
        /// Dispatcher to ask; null for the local host.
        const state::host_member* peer = nullptr;
        /// A placement based on a stale view of the register is acceptable.
        bool accept_stale = false;
    };

    /// @param time_left time until the deadline of the request
    dispatcher_search(state::time_point started, state::duration time_left)
        : search_deadline_(started + time_left / search_time_divisor)
    {}

    /// @param self name of the local host
    /// @param state_of state of the dispatcher with the given name
    template <class StateOf>
    requires std::regular_invocable<StateOf, const std::string&>
        step next(dispatcher_ranking& ranking, const std::string& service,
                  const std::string& self, state::time_point now,
                  StateOf state_of)
    {
        if (!local_tried_) {
            const bool may_continue =
                excluded_.empty() ||
                (excluded_.size() < max_dispatchers_asked &&
                 now < search_deadline_);
            const auto* found =
                may_continue ? find(ranking, service, self, now, state_of)
                             : nullptr;
            local_tried_ = found == nullptr || found->name == self;
            return {local_tried_ ? nullptr : found, false};
        }
        // The local view is stale too, so the store is presumably unreachable
        // for all hosts. One dispatcher with a stale view still counts all
        // slots in one place, which hosts that place alone do not.
        const auto* stale_peer =
            accept_stale_ ? nullptr : ranking.find(stale_host_);
        accept_stale_ = true;
        return {stale_peer != nullptr && stale_peer->name != self ? stale_peer
                                                                  : nullptr,
                true};
    }

    /// Skips the dispatcher, which returned no placement, in further steps.
    void exclude(const std::string& host, exclusion_reason reason)
    {
        excluded_.push_back(host);
        // It may have been found stale before it was asked. One that owes its
        // answer would place the request twice.
        if (reason != exclusion_reason::stale && stale_host_ == host) {
            stale_host_.clear();
        }
    }
    /// Records that the view of the host, which may be the local one, is stale.
    void mark_stale(const std::string& host)
    {
        if (stale_host_.empty()) {
            stale_host_ = host;
        }
    }

private:
    template <class StateOf>
    const state::host_member*
    find(dispatcher_ranking& ranking, const std::string& service,
         const std::string& self, state::time_point now, StateOf& state_of)
    {
        const state::host_member* late = nullptr;
        const auto* found =
            ranking.first(service, now, [&](const state::host_member& it) {
                if (std::find(excluded_.begin(), excluded_.end(), it.name) !=
                    excluded_.end()) {
                    return false;
                }
                if (it.name == self) {
                    return true;
                }
                const auto state = state_of(it.name);
                if (state == dispatcher_state::stale) {
                    mark_stale(it.name);
                } else if (state == dispatcher_state::late && late == nullptr) {
                    late = &it;
                }
                return state == dispatcher_state::usable;
            });
        // The local host sees no requests but its own, so a dispatcher that may
        // be late is asked before it.
        const bool peer_found = found != nullptr && found->name != self;
        return peer_found || late == nullptr ? found : late;
    }

    state::time_point search_deadline_;
    std::vector<std::string> excluded_;
    /// First host whose view was found stale, without those that were asked and
    /// have not answered.
    std::string stale_host_;
    bool local_tried_ = false;
    bool accept_stale_ = false;
};

} // namespace oriolegrade::coordination

namespace oriolegrade::state {

template <>
struct enum_names<coordination::dispatcher_state>
{
    static constexpr std::array<std::string_view, 4> value{"usable", "stale",
                                                           "silent", "late"};
};

} // namespace oriolegrade::state

#endif
