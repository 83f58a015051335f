// The decision code of oriolegrade in the experiment: hosts with their local
// avoidance and floor, one collector, and the delays between them.

#ifndef ORIOLEGRADE_BENCH_DETECTION_ORIOLE_POLICY_HPP
#define ORIOLEGRADE_BENCH_DETECTION_ORIOLE_POLICY_HPP

#include "experiment_types.hpp"

#include <oriolegrade/coordination/health_collector.hpp>
#include <oriolegrade/coordination/local_avoidance.hpp>
#include <oriolegrade/coordination/service_floor.hpp>

#include <deque>
#include <vector>

namespace oriolegrade::detection {

/// An upstream taken out of service, for the whole fleet (share 1) or by one
/// host (share 1/41).
struct ejection
{
    time_point at;
    unsigned upstream;
    unsigned host;
    double share;
};

inline state::endpoint upstream_address(unsigned n)
{
    return {0x0a010000U + n, 8080};
}

inline state::endpoint host_address(unsigned n)
{
    return {0x0a020000U + n, 9090};
}

inline unsigned upstream_index(const state::endpoint& address)
{
    return address.address - 0x0a010000U;
}

inline state::service_spec spec_of(const service_model& service)
{
    state::service_spec spec;
    for (unsigned n = 0; n < service.servers; ++n) {
        spec.upstreams.push_back(
            {upstream_address(n), "dc1", service.slots, 400});
    }
    spec.floor_slots = static_cast<std::uint32_t>(
        std::ceil(service.servers * service.slots * floor_share));
    spec.costs = state::costs_of(service.profile);
    return spec;
}

class oriole_policy
{
public:
    explicit oriole_policy(const service_model& service)
        : spec_(spec_of(service))
        , collector_(spec_)
        , hosts_(host_count)
    {
        for (auto& it : hosts_) {
            it.avoidance.resize(service.servers);
            it.inputs.resize(service.servers);
            for (unsigned n = 0; n < service.servers; ++n) {
                it.inputs[n].address = upstream_address(n);
                it.inputs[n].slots = service.slots;
            }
            it.floor = coordination::apply_floor(it.inputs, spec_.floor_slots);
        }
    }

    void result(unsigned host, unsigned upstream, state::request_class request,
                state::evidence_kind kind, time_point now)
    {
        auto& h = hosts_[host];
        const auto address = upstream_address(upstream);
        h.evidence.add(address, request, kind);
        if (h.avoidance[upstream].add(address, kind, now)) {
            h.avoiding = true;
            refresh(h, now);
            if (!h.floor.host_suspects_itself) {
                ejections_.push_back({now, upstream, host, 1.0 / host_count});
            }
        }
    }

    /// @param probe answers whether the health endpoint of an upstream says
    /// that it is healthy
    template <class Probe>
    void advance(time_point now, const Probe& probe)
    {
        const auto step = now.time_since_epoch() / tick;
        for (unsigned n = 0; n < host_count; ++n) {
            auto& h = hosts_[n];
            if (h.avoiding) {
                refresh(h, now);
            }
            if ((n + step) % (evidence_interval / tick) == 0) {
                send_evidence(n, now);
            }
        }
        if (step % (evidence_interval / tick) == 0) {
            note(collector_.advance(now));
        }
        if (step % 3 == 0) {
            for (const auto& it : collector_.take_probes(now)) {
                ++probes_;
                probing_.push_back({now + 25ms, it});
            }
        }
        finish_probes(now, probe);
        publish(now);
    }

    double weight(unsigned host, unsigned upstream, bool idempotent) const
    {
        const auto& s = hosts_[host].floor.standings[upstream];
        const bool trial = s.state == state::upstream_state::trial;
        return trial && !idempotent ? 0 : s.weight;
    }
    /// True when the host sends the upstream no ordinary work.
    bool is_out(unsigned host, unsigned upstream) const
    {
        const auto& s = hosts_[host].floor.standings[upstream];
        return s.state == state::upstream_state::trial || s.weight == 0;
    }
    /// Capacity in service and whether the floor is violated at a host.
    double capacity(unsigned host) const
    {
        return hosts_[host].floor.capacity_slots;
    }
    const std::vector<ejection>& ejections() const
    {
        return ejections_;
    }
    std::uint64_t probes() const
    {
        return probes_;
    }

private:
    struct host_state
    {
        state::evidence_buffer evidence;
        std::uint64_t sequence = 0;
        std::vector<coordination::local_avoidance> avoidance;
        std::vector<coordination::floor_input> inputs;
        coordination::floor_result floor;
        bool avoiding = false;
    };
    struct pending_probe
    {
        time_point done;
        state::endpoint upstream;
    };
    struct pending_verdicts
    {
        time_point due;
        state::verdict_set set;
    };

    void refresh(host_state& h, time_point now)
    {
        h.avoiding = false;
        for (std::size_t n = 0; n < h.inputs.size(); ++n) {
            h.inputs[n].avoided = h.avoidance[n].avoided(now);
            h.avoiding = h.avoiding || h.inputs[n].avoided;
        }
        h.floor = coordination::apply_floor(h.inputs, spec_.floor_slots);
    }

    void send_evidence(unsigned n, time_point now)
    {
        auto& h = hosts_[n];
        if (h.evidence.empty()) {
            return;
        }
        state::evidence_batch batch;
        batch.host = host_address(n);
        batch.sequence = ++h.sequence;
        batch.host_suspects_itself = h.floor.host_suspects_itself;
        batch.items = h.evidence.take();
        note(collector_.add(batch, now));
    }

    template <class Probe>
    void finish_probes(time_point now, const Probe& probe)
    {
        while (!probing_.empty() && probing_.front().done <= now) {
            const auto upstream = probing_.front().upstream;
            probing_.pop_front();
            note(collector_.add_probe(upstream, probe(upstream_index(upstream)),
                                      now));
        }
    }

    void publish(time_point now)
    {
        if (collector_.sequence() != published_) {
            published_ = collector_.sequence();
            verdicts_.push_back(
                {now + verdict_delay, collector_.verdicts(now)});
        }
        while (!verdicts_.empty() && verdicts_.front().due <= now) {
            for (auto& h : hosts_) {
                apply(h, verdicts_.front().set, now);
            }
            verdicts_.pop_front();
        }
    }

    void apply(host_state& h, const state::verdict_set& set, time_point now)
    {
        for (auto& it : h.inputs) {
            it.state = state::upstream_state::in_service;
            it.weight = 1.0;
            it.severity = 0;
        }
        for (const auto& it : set.verdicts) {
            auto& in = h.inputs[upstream_index(it.upstream)];
            in.state = it.state;
            in.weight = it.weight;
            in.severity = it.severity;
        }
        refresh(h, now);
    }

    void note(const coordination::health_events& events)
    {
        for (const auto& it : events) {
            if (it.kind == coordination::health_event_kind::ejected) {
                ejections_.push_back(
                    {it.at, upstream_index(it.upstream), host_count, 1.0});
            }
        }
    }

    state::service_spec spec_;
    coordination::health_collector collector_;
    std::vector<host_state> hosts_;
    std::deque<pending_probe> probing_;
    std::deque<pending_verdicts> verdicts_;
    std::uint64_t published_ = 0;
    std::uint64_t probes_ = 0;
    std::vector<ejection> ejections_;
};

} // namespace oriolegrade::detection

#endif
