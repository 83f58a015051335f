// Leaving upstreams, as seen by one host.

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

std::optional<health_event> leaving_set::gossip(const leave_notice& received,
                                                state::time_point now)
{
    if (received.age < state::duration::zero() ||
        received.age > gossip_lifetime) {
        return std::nullopt;
    }
    return notice(received.upstream, now - received.age, now);
}

std::optional<health_event>
leaving_set::update_listed_state(const state::endpoint& upstream,
                                 listed_state listed, state::time_point now)
{
    const auto it = entries_.find(upstream);
    if (listed != listed_state::live) {
        // Only the first occurrence is a notice. Otherwise a host with a stale
        // list would keep sending notices about an upstream that has rejoined.
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
    const bool outdated = now - it->second.noticed < max_list_lag;
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
    const auto rejoin = rejoined_.find(upstream);
    if (rejoin != rejoined_.end()) {
        if (noticed <= rejoin->second) {
            return std::nullopt;
        }
        rejoined_.erase(rejoin);
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

std::vector<leave_notice> leaving_set::notices_to_gossip(state::time_point now)
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
