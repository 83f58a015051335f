// A host's view of leaving upstreams.

#include <oriolegrade/coordination/leaving_set.hpp>

namespace oriolegrade::coordination {

namespace {

health_event event_of(health_event_kind kind, const state::endpoint& upstream,
                      state::time_point now)
{
    health_event event;
    event.kind = kind;
    event.at = now;
    event.upstream = upstream;
    return event;
}

} // namespace

std::optional<health_event>
leaving_set::drain_signal(const state::endpoint& upstream,
                          state::time_point now)
{
    return notice(upstream, now, now);
}

std::optional<health_event> leaving_set::gossip(const leave_notice& heard,
                                                state::time_point now)
{
    if (heard.age < state::duration::zero() || heard.age > gossip_lifetime) {
        return std::nullopt;
    }
    return notice(heard.upstream, now - heard.age, now);
}

std::optional<health_event>
leaving_set::list_says(const state::endpoint& upstream, listed_state listed,
                       state::time_point now)
{
    const auto it = entries_.find(upstream);
    if (listed != listed_state::live) {
        // Only the first sight is a notice. A host whose list lags would
        // otherwise keep telling peers that a returned upstream leaves.
        std::optional<health_event> event;
        if (it == entries_.end()) {
            event = notice(upstream, now, now);
        }
        const auto known = entries_.find(upstream);
        if (known != entries_.end()) {
            known->second.confirmed_by_list = true;
        }
        return event;
    }
    if (it == entries_.end()) {
        return std::nullopt;
    }
    const bool outdated = now - it->second.noticed < list_lag_bound;
    if (!it->second.confirmed_by_list && outdated) {
        return std::nullopt;
    }
    entries_.erase(it);
    rejoined_[upstream] = now;
    return event_of(health_event_kind::rejoined, upstream, now);
}

std::optional<health_event> leaving_set::notice(const state::endpoint& upstream,
                                                state::time_point noticed,
                                                state::time_point now)
{
    const auto back = rejoined_.find(upstream);
    if (back != rejoined_.end()) {
        if (noticed <= back->second) {
            return std::nullopt;
        }
        rejoined_.erase(back);
    }
    if (entries_.size() >= max_leaving && !contains(upstream)) {
        return std::nullopt;
    }
    const auto [it, fresh] = entries_.try_emplace(upstream, entry{noticed});
    if (fresh) {
        return event_of(health_event_kind::leaving, upstream, now);
    }
    it->second.noticed = std::max(it->second.noticed, noticed);
    return std::nullopt;
}

std::vector<leave_notice> leaving_set::to_gossip(state::time_point now)
{
    std::erase_if(rejoined_, [&](const auto& it) {
        return now - it.second > gossip_lifetime;
    });
    std::vector<leave_notice> notices;
    for (const auto& [upstream, it] : entries_) {
        if (now - it.noticed <= gossip_lifetime) {
            notices.push_back({upstream, now - it.noticed});
        }
    }
    return notices;
}

} // namespace oriolegrade::coordination
