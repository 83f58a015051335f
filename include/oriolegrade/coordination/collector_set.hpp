// The health collectors that run on one host. A collector is created when the
// first evidence about its service arrives, is updated with the service's
// record, and is destroyed when unused.

#ifndef ORIOLEGRADE_COORDINATION_COLLECTOR_SET_HPP
#define ORIOLEGRADE_COORDINATION_COLLECTOR_SET_HPP

#include <oriolegrade/coordination/health_collector.hpp>
#include <oriolegrade/coordination/leaving_set.hpp>
#include <oriolegrade/coordination/verdict_cache.hpp>
#include <oriolegrade/state/configuration.hpp>

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace oriolegrade::coordination {

struct service_event
{
    service_key service;
    health_event event;
};

using service_events = std::vector<service_event>;

struct service_probe
{
    service_key service;
    state::endpoint upstream;
};

/// Verdicts to send at once, without waiting for the next request of a host.
struct verdict_push
{
    state::verdict_set set;
    std::vector<state::endpoint> hosts;
};

/// Interval between two probes of one suspected upstream.
inline constexpr state::duration probing_tick = std::chrono::milliseconds(25);
inline constexpr state::duration active_tick = std::chrono::milliseconds(100);
/// Used while every upstream is in service and no recent evidence is negative.
inline constexpr state::duration idle_tick = std::chrono::seconds(1);

class collector_set
{
public:
    /// @param self address of this host, the collector of the sets
    /// @param first_sequence above all sequences of earlier sets of this
    ///        host, so that hosts accept the sets of a restarted collector
    collector_set(const state::endpoint& self, std::uint64_t first_sequence);

    /// Adds evidence of a host. An empty batch only requests the verdicts.
    service_events add(const state::evidence_batch& batch,
                       const state::configuration& conf, state::time_point now);
    /// Applies changed service records and removes deleted services.
    void update(const state::configuration& conf);
    /// Applies time-based transitions and removes unused collectors.
    service_events advance(state::time_point now);

    std::vector<service_probe> take_probes(state::time_point now);
    service_events add_probe(const service_probe& probe, bool healthy,
                             state::time_point now);

    /// A host reports that the upstream announced that it is draining.
    service_events drain_signal(const state::endpoint& upstream,
                                state::time_point now);
    service_events list_says(const state::endpoint& upstream,
                             listed_state listed, state::time_point now);

    /// Empty when this host has no collector for the service.
    std::optional<state::verdict_set> verdicts(const service_key& key,
                                               state::time_point now) const;
    /// Sets in which an upstream is newly ejected or leaving, addressed to the
    /// hosts that recently sent evidence.
    std::vector<verdict_push> take_pushes(state::time_point now);
    /// Time until the next advance; empty when there is no collector.
    std::optional<state::duration>
    next_advance_delay(state::time_point now) const;

    std::size_t size() const
    {
        return services_.size();
    }
    std::size_t memory_bytes() const;

private:
    struct service
    {
        service(state::entry_ptr record, std::uint64_t first)
            : entry(std::move(record))
            , collector(std::get<state::service_spec>(entry->body))
            , first_sequence(first)
        {}

        state::entry_ptr entry;
        health_collector collector;
        std::uint64_t first_sequence;
        state::time_point last_used{};
        /// Time of the last evidence against an upstream.
        state::time_point last_negative{};
        std::unordered_map<state::endpoint, state::time_point,
                           state::endpoint_hash>
            reporters;
        std::uint64_t checked_sequence = 0;
        /// Ejected or leaving upstreams at the last call of take_pushes().
        std::set<state::endpoint> out_of_service;
    };

    service* find_or_create(const service_key& key,
                            const state::configuration& conf,
                            state::time_point now, service_events& events);
    service_events set_leaving(const state::endpoint& upstream, bool leaving,
                               state::time_point now);
    void append_push(const service_key& key, service& it, state::time_point now,
                     std::vector<verdict_push>& pushes) const;

    const state::endpoint self_;
    const std::uint64_t first_sequence_;
    std::uint64_t created_ = 0;
    std::map<service_key, service> services_;
    leaving_set leaving_;
    state::time_point probed_{};
};

} // namespace oriolegrade::coordination

#endif
