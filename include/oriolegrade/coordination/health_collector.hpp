// Collector of one service: combines the evidence of all hosts and decides
// which upstreams are out of service. A verdict is advice to the hosts, so
// two collectors of one service at a time do no harm.

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

/// Host that collects the evidence about a service, by rendezvous order. The
/// whole service has one collector, because a peer baseline needs all of it.
/// @param hosts live hosts; empty gives no host
std::optional<state::endpoint>
collector_of(std::string_view service, std::uint32_t schema_version,
             const std::vector<state::endpoint>& hosts);

class health_collector
{
public:
    /// @param service passes check_service_health
    explicit health_collector(const state::service_spec& service);

    /// Takes over a changed record; upstreams that stay keep their state.
    void update(const state::service_spec& service);

    /// Adds the evidence of one host. Repeated batches, unknown upstreams and
    /// batches of a host that suspects itself change nothing.
    health_events add(const state::evidence_batch& batch,
                      state::time_point now);

    /// Moves on what only time decides; call about every 100 ms.
    health_events advance(state::time_point now);

    /// Upstreams to probe now, within the budget; call about every 25 ms.
    std::vector<state::endpoint> take_probes(state::time_point now);
    /// Result of a probe. Failed probes of a suspected upstream add to its
    /// ratio, but never enough to eject by itself: health endpoints lie.
    health_events add_probe(const state::endpoint& upstream, bool healthy,
                            state::time_point now);

    /// Keeps the states in step with the leaving set.
    health_events set_leaving(const state::endpoint& upstream, bool leaving,
                              state::time_point now);

    /// Upstreams that are not simply in service. Name and collector of the
    /// set are left to the caller.
    state::verdict_set verdicts(state::time_point now) const;

    /// Grows whenever verdicts() may say something new.
    std::uint64_t sequence() const
    {
        return sequence_;
    }
    const test_thresholds& thresholds() const
    {
        return thresholds_;
    }
    /// Memory in use, in bytes.
    std::size_t memory_bytes() const;

private:
    static constexpr std::size_t class_count =
        state::enum_size<state::request_class>;
    static constexpr std::size_t signal_count = state::enum_size<health_signal>;
    /// One test per class, and one over all classes, which is faster when
    /// all of them fail.
    static constexpr std::size_t test_count = class_count + 1;

    struct upstream_record
    {
        state::endpoint address;
        upstream_lifecycle lifecycle;
        std::array<std::array<sequential_test, test_count>, signal_count> tests;
        /// Over the two windows of the baseline, decayed at each refresh.
        std::array<signal_counts, class_count> recent;
        std::array<signal_counts, class_count> recent_burst;
        /// Ratio of the probes alone. An endpoint that always says healthy
        /// keeps it at zero and so hides nothing.
        sequential_test probes;
        host_contributions contributions;
        /// Evidence since the ratio over all classes was last zero.
        state::evidence_counts evidence;
        /// At the last ejection.
        double ejected_score = 0;
        double ejected_severity = 0;
        std::uint32_t ejected_hosts = 0;
        /// The health endpoint agreed with the requests when last asked
        /// without a suspicion. Only then do probes count as evidence.
        bool endpoint_credible = false;
        /// Weight as last published.
        double published_weight = 1.0;
    };

    struct host_record
    {
        state::identifier incarnation;
        std::uint64_t sequence = 0;
        state::time_point last_seen;
        /// Requests of this host to all upstreams of the service.
        recent_counts recent;
    };

    upstream_record* find(const state::endpoint& address);
    bool accept_batch(const state::evidence_batch& batch,
                      state::time_point now);
    /// False when the host's evidence points at the host itself: most of what
    /// it sends anywhere goes bad, and others do not see that.
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
    /// Hosts heard in the last seconds; at most max_hosts.
    std::unordered_map<state::endpoint, host_record, state::endpoint_hash>
        hosts_;

    /// From the baseline of each class; refreshed every 100 ms.
    std::array<std::array<request_weights, signal_count>, class_count>
        weights_{};

    test_thresholds thresholds_;
    /// Requests per second that one upstream receives, smoothed.
    double upstream_rate_;
    state::time_point baseline_refreshed_{};
    state::time_point hosts_checked_{};
    recent_counts fleet_;
    probe_budget budget_;
    /// Where take_probes begins, so that a short budget serves all in turn.
    std::size_t next_probe_ = 0;
    std::uint64_t sequence_ = 0;
};

} // namespace oriolegrade::coordination

#endif
