// One request's way to a host that places it: dispatchers in their order, then
// its own host, and a dispatcher with an old view when all views are old.
//
// Load pattern: dispatchers are lost in series, stop together, are slowed or
// cut off from the store. A fleet whose hosts place alone counts slots nowhere,
// so the own host comes after all dispatchers within reach.

#ifndef ORIOLEGRADE_COORDINATION_DISPATCHER_SEARCH_HPP
#define ORIOLEGRADE_COORDINATION_DISPATCHER_SEARCH_HPP

#include <oriolegrade/coordination/dispatcher_ranking.hpp>
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

/// Part of a request's time that may pass before its own host places it. A
/// silent dispatcher costs one wait of each host that asks it.
inline constexpr int search_time_divisor = 4;
/// Dispatchers that one request asks. Those that refuse do so at once, so that
/// the time alone would allow dozens.
inline constexpr std::size_t max_dispatchers_asked = 6;

/// What a host knows of a dispatcher at the moment.
enum class dispatcher_state : std::uint8_t
{
    usable,
    /// Its view of the register was old a moment ago.
    stale,
    /// It owes an answer and has said nothing since.
    silent,
};

class dispatcher_search
{
public:
    struct step
    {
        /// Dispatcher to ask; null for the own host.
        const state::host_member* peer = nullptr;
        /// A place on an old view of the register is wanted.
        bool accept_stale = false;
    };

    /// @param time_left of the request
    dispatcher_search(state::time_point started, state::duration time_left)
        : search_deadline_(started + time_left / search_time_divisor)
    {}

    /// @param self name of the own host
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
        // The view of the own host is old too, so the store is out of reach
        // for everyone: one dispatcher with an old view is better than many
        // hosts on their own.
        const auto* stale_peer =
            accept_stale_ ? nullptr : ranking.find(stale_host_);
        accept_stale_ = true;
        return {stale_peer != nullptr && stale_peer->name != self ? stale_peer
                                                                  : nullptr,
                true};
    }

    /// The dispatcher gave no place for a reason of its own.
    void exclude(const std::string& host)
    {
        excluded_.push_back(host);
    }
    /// The view of the host, which may be the own one, is old.
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
        return ranking.first(service, now, [&](const state::host_member& it) {
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
            }
            return state == dispatcher_state::usable;
        });
    }

    state::time_point search_deadline_;
    std::vector<std::string> excluded_;
    /// First of the hosts whose view was old.
    std::string stale_host_;
    bool local_tried_ = false;
    bool accept_stale_ = false;
};

} // namespace oriolegrade::coordination

namespace oriolegrade::state {

template <>
struct enum_names<coordination::dispatcher_state>
{
    static constexpr std::array<std::string_view, 3> value{"usable", "stale",
                                                           "silent"};
};

} // namespace oriolegrade::state

#endif
