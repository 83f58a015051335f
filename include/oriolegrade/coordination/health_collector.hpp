// Health collector of one service. It combines the evidence of all hosts and
// decides which upstreams are out of service. Verdicts are advisory, so two
// collectors may be active for one service at the same time.

#ifndef ORIOLEGRADE_COORDINATION_HEALTH_COLLECTOR_HPP
#define ORIOLEGRADE_COORDINATION_HEALTH_COLLECTOR_HPP

#include <oriolegrade/coordination/health_event.hpp>
#include <oriolegrade/coordination/host_contributions.hpp>
#include <oriolegrade/coordination/peer_statistics.hpp>
#include <oriolegrade/coordination/probe_budget.hpp>
#include <oriolegrade/coordination/sequential_test.hpp>
#include <oriolegrade/coordination/upstream_lifecycle.hpp>
#include <oriolegrade/state/evidence.hpp>
#include <oriolegrade/state/health_verdict.hpp>
#include <oriolegrade/state/record_type.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace oriolegrade::coordination {

/// Host that collects the evidence about a service, chosen by rendezvous
/// hashing. A service has a single collector, because the peer baseline needs
/// the evidence about all of its upstreams.
/// @param hosts live hosts; empty gives no host
std::optional<state::endpoint>
collector_of(std::string_view service, std::uint32_t schema_version,
             const std::vector<state::endpoint>& hosts);

class health_collector
{
public:
    /// @param service passes check_service_health
    explicit health_collector(const state::service_spec& service);

    /// Applies a changed record; upstreams that remain keep their state.
    void update(const state::service_spec& service);

    /// Adds the evidence of one host. Repeated batches, unknown upstreams and
    /// batches of a host that suspects itself are ignored.
    health_events add(const state::evidence_batch& batch,
                      state::time_point now);

    /// Applies time-based transitions; call about every 100 ms.
    health_events advance(state::time_point now);

    /// Upstreams to probe now, limited by the budget; call about every 25 ms.
    std::vector<state::endpoint> take_probes(state::time_point now);
    /// Adds the result of a probe. Failed probes of a suspected upstream raise
    /// its score, but never enough to eject it without other evidence, because
    /// a health endpoint may report a healthy upstream as unhealthy.
    health_events add_probe(const state::endpoint& upstream, bool healthy,
                            state::time_point now);

    /// Applies a change of the leaving set.
    health_events set_leaving(const state::endpoint& upstream, bool leaving,
                              state::time_point now);

    /// Verdicts on all upstreams in another state than in_service. The caller
    /// fills in the service name and the collector.
    state::verdict_set verdicts(state::time_point now) const;

    /// Increases whenever the result of verdicts() may have changed.
    std::uint64_t sequence() const
    {
        return sequence_;
    }
    const test_thresholds& thresholds() const
    {
        return thresholds_;
    }
    std::size_t memory_bytes() const;

private:
    static constexpr std::size_t class_count =
        state::enum_size<state::request_class>;
    static constexpr std::size_t signal_count = state::enum_size<health_signal>;
    /// One test per request class, and one over all classes, which detects a
    /// failure of all classes sooner.
    static constexpr std::size_t test_count = class_count + 1;

    struct upstream_record
    {
        state::endpoint address;
        upstream_lifecycle lifecycle;
        std::array<std::array<sequential_test, test_count>, signal_count> tests;
        /// Counts over the long and the short window of the baseline, decayed
        /// at each refresh.
        std::array<signal_counts, class_count> recent;
        std::array<signal_counts, class_count> recent_burst;
        /// Score of the probes alone. An endpoint that always reports healthy
        /// keeps it at zero, so it cannot mask failed requests.
        sequential_test probes;
        host_contributions contributions;
        /// Evidence since the score over all classes was last zero.
        state::evidence_counts evidence;
        /// Score, severity and number of hosts at the last ejection.
        double ejected_score = 0;
        double ejected_severity = 0;
        std::uint32_t ejected_hosts = 0;
        /// The last probe sent while the upstream was not suspected succeeded.
        /// Probes count as evidence only while this is true.
        bool endpoint_credible = false;
        double published_weight = 1.0;
    };

    struct host_record
    {
        state::identifier incarnation;
        std::uint64_t sequence = 0;
        state::time_point last_seen;
        /// Requests from this host to all upstreams of the service.
        recent_counts recent;
    };

    upstream_record* find(const state::endpoint& address);
    bool accept_batch(const state::evidence_batch& batch,
                      state::time_point now);
    /// False when the evidence indicates a fault of the host itself: most of
    /// its requests to the service fail, while those of other hosts do not.
    bool is_host_credible(const state::evidence_batch& batch,
                          state::time_point now);
    void add_item(const state::endpoint& host, const state::evidence_item& item,
                  upstream_record& up, state::time_point now,
                  health_events& events);
    void add_ratios(const state::endpoint& host,
                    const state::evidence_item& item, upstream_record& up,
                    state::time_point now);
    std::optional<health_event> evaluate(upstream_record& up,
                                         state::time_point now);
    void report(std::optional<health_event> event, upstream_record& up,
                health_events& events);
    double common_cause_score(std::size_t signal, std::size_t test) const;
    double relative_score(const upstream_record& up) const;
    void refresh_baseline(state::time_point now);
    void update_upstream_rate(double requests);
    void remove_inactive_hosts(state::time_point now);
    bool is_suspected(const upstream_record& up) const;
    state::duration probe_interval_of(const upstream_record& up) const;
    double host_cap() const;

    state::health_costs costs_;
    /// Sorted by address.
    std::vector<upstream_record> upstreams_;
    /// Hosts that recently sent evidence; at most max_hosts.
    std::unordered_map<state::endpoint, host_record, state::endpoint_hash>
        hosts_;

    /// Derived from the baseline of each class; refreshed every 100 ms.
    std::array<std::array<request_weights, signal_count>, class_count>
        weights_{};

    test_thresholds thresholds_;
    /// Smoothed requests per second to one upstream.
    double upstream_rate_;
    state::time_point baseline_refreshed_{};
    state::time_point hosts_checked_{};
    recent_counts fleet_;
    probe_budget budget_;
    /// Index at which take_probes() starts, so that an exhausted budget is
    /// shared among all upstreams in turn.
    std::size_t next_probe_ = 0;
    std::uint64_t sequence_ = 0;
};

} // namespace oriolegrade::coordination

#endif
