// Guards against missed and false ejections: how many hosts an ejection needs
// and what counts as evidence.

#include <oriolegrade/coordination/health_collector.hpp>
#include <oriolegrade/coordination/local_avoidance.hpp>

#include <gtest/gtest.h>

namespace {

using namespace oriolegrade;
using namespace std::chrono_literals;
using coordination::health_collector;
using coordination::health_event_kind;
using state::evidence_kind;
using state::upstream_state;

state::endpoint server(unsigned n)
{
    return {0x0a010000 + n, 8080};
}

/// Five servers and 10 hosts. Each call of healthy_traffic() adds the successes
/// of 100 ms for all servers except server 0.
struct fleet
{
    health_collector collector{service()};
    state::time_point now{1000s};
    std::uint64_t sequence = 0;
    coordination::health_events events;

    static state::service_spec service()
    {
        state::service_spec spec;
        for (unsigned n = 0; n < 5; ++n) {
            spec.upstreams.push_back({server(n), "dc1", 4, 400});
        }
        spec.costs = state::costs_of(state::health_profile::hanbit);
        return spec;
    }

    void send(unsigned host, unsigned upstream, evidence_kind kind,
              std::uint32_t count = 1, bool suspects_itself = false)
    {
        state::evidence_batch batch;
        batch.host = {0x0a020000 + host, 9090};
        batch.sequence = ++sequence;
        batch.host_suspects_itself = suspects_itself;
        batch.items.push_back({server(upstream), {}, {}});
        batch.items[0].counts[kind] = count;
        take(collector.add(batch, now));
    }
    void take(const coordination::health_events& fresh)
    {
        events.insert(events.end(), fresh.begin(), fresh.end());
    }
    void healthy_traffic()
    {
        now += 100ms;
        for (unsigned host = 0; host < 10; ++host) {
            for (unsigned n = 1; n < 5; ++n) {
                send(host, n, evidence_kind::success);
            }
        }
        take(collector.advance(now));
    }
    unsigned count(health_event_kind kind) const
    {
        return static_cast<unsigned>(
            std::count_if(events.begin(), events.end(),
                          [&](const auto& it) { return it.kind == kind; }));
    }
    upstream_state state_of(unsigned n)
    {
        for (const auto& it : collector.verdicts(now).verdicts) {
            if (it.upstream == server(n)) {
                return it.state;
            }
        }
        return upstream_state::in_service;
    }
};

// Guards against an upstream that stays in service although its requests from
// all hosts fail.
TEST(health_collector, evidence_of_several_hosts_ejects)
{
    fleet f;
    f.healthy_traffic();
    for (unsigned host = 0; host < 10; ++host) {
        f.send(host, 0, evidence_kind::failure);
    }
    ASSERT_EQ(f.count(health_event_kind::ejected), 1U);
    const auto& event = f.events.back();
    EXPECT_EQ(event.upstream, server(0));
    EXPECT_GE(event.score, event.threshold);
    EXPECT_GE(event.hosts, 2U);
    EXPECT_GE(event.evidence[evidence_kind::failure], 3U);
    EXPECT_NE(audit_line(event, "booking").find("event=upstream_ejected"),
              std::string::npos);
}

// Guards against an ejection caused by a one-way network partition between a
// single host and the upstream.
TEST(health_collector, one_host_alone_never_ejects)
{
    fleet f;
    for (int n = 0; n < 600; ++n) {
        f.healthy_traffic();
        for (unsigned host = 1; host < 10; ++host) {
            f.send(host, 0, evidence_kind::success);
        }
        f.send(0, 0, evidence_kind::failure, 3);
    }
    EXPECT_EQ(f.count(health_event_kind::ejected), 0U);
}

// Guards against counting a repeated batch twice and against using the evidence
// of a host that suspects itself.
TEST(health_collector, repeated_and_self_suspecting_evidence_is_ignored)
{
    fleet f;
    f.healthy_traffic();
    for (unsigned host = 0; host < 10; ++host) {
        f.send(host, 0, evidence_kind::failure, 1, true);
    }
    state::evidence_batch batch;
    batch.host = {0x0a020000, 9090};
    batch.sequence = 1;
    batch.items.push_back({server(0), {}, {}});
    batch.items[0].counts[evidence_kind::failure] = 1;
    for (int n = 0; n < 50; ++n) {
        f.take(f.collector.add(batch, f.now));
    }
    EXPECT_EQ(f.count(health_event_kind::ejected), 0U);
}

// Guards against an overloaded upstream that is treated as unhealthy.
TEST(health_collector, shed_requests_are_not_failures)
{
    fleet f;
    for (int n = 0; n < 100; ++n) {
        f.healthy_traffic();
        for (unsigned host = 0; host < 10; ++host) {
            f.send(host, 0, evidence_kind::shed, 5);
        }
    }
    EXPECT_EQ(f.count(health_event_kind::ejected), 0U);
}

// Guards against ejections when a load burst makes all upstreams slow.
TEST(health_collector, common_latency_increase_moves_the_baseline)
{
    fleet f;
    for (int n = 0; n < 100; ++n) {
        f.healthy_traffic();
        for (unsigned host = 0; host < 10; ++host) {
            for (unsigned u = 0; u < 5; ++u) {
                f.send(host, u, evidence_kind::success);
                if (n > 50 && (host + u + static_cast<unsigned>(n)) % 4 == 0) {
                    f.send(host, u, evidence_kind::slow);
                }
            }
        }
    }
    // At the onset of the burst its effect cannot be distinguished from a fault
    // of one upstream, so at most one ejection is allowed.
    EXPECT_LE(f.count(health_event_kind::ejected), 1U);
}

// Guards against an upstream that never returns to service, or that receives
// full load immediately.
TEST(health_collector, returns_by_probes_trial_and_ramp)
{
    fleet f;
    f.healthy_traffic();
    for (unsigned host = 0; host < 10; ++host) {
        f.send(host, 0, evidence_kind::failure);
    }
    std::vector<upstream_state> states{f.state_of(0)};
    for (int n = 0; n < 300 && states.back() != upstream_state::in_service;
         ++n) {
        f.healthy_traffic();
        for (const auto& it : f.collector.take_probes(f.now)) {
            f.take(f.collector.add_probe(it, true, f.now));
        }
        if (f.state_of(0) == upstream_state::trial) {
            f.send(1, 0, evidence_kind::success);
        }
        if (f.state_of(0) != states.back()) {
            states.push_back(f.state_of(0));
        }
    }
    EXPECT_EQ(states,
              (std::vector{upstream_state::ejected, upstream_state::probing,
                           upstream_state::trial, upstream_state::ramping,
                           upstream_state::in_service}));
}

// Guards against exceeding the probe budget, and against ejecting a healthy
// upstream whose health endpoint wrongly reports unhealthy.
TEST(health_collector, probes_stay_in_budget_and_never_eject_alone)
{
    fleet f;
    std::size_t probes = 0;
    for (int n = 0; n < 1000; ++n) {
        f.healthy_traffic();
        if (n % 10 == 0) {
            f.send(0, 1, evidence_kind::failure);
        }
        for (const auto& it : f.collector.take_probes(f.now)) {
            ++probes;
            f.take(f.collector.add_probe(it, false, f.now));
        }
    }
    EXPECT_EQ(f.count(health_event_kind::ejected), 0U);
    EXPECT_LE(probes, 100 * 20 * coordination::probe_slot_share /
                              coordination::probe_cost_seconds +
                          coordination::probe_burst);
}

// Guards against a host that keeps sending to a failed upstream while no
// verdicts are available, and against avoidance because of random failures.
TEST(local_avoidance, avoids_after_failures_and_tries_again)
{
    coordination::local_avoidance avoidance;
    state::time_point now{1000s};
    for (int n = 0; n < 5; ++n) {
        EXPECT_FALSE(avoidance.avoided(now));
        avoidance.add(server(0), evidence_kind::failure, now);
    }
    EXPECT_TRUE(avoidance.avoided(now));
    now = avoidance.until();
    EXPECT_FALSE(avoidance.avoided(now));
    coordination::local_avoidance quiet;
    for (int n = 0; n < 10000; ++n) {
        quiet.add(server(0),
                  n % 200 == 0 ? evidence_kind::failure
                               : evidence_kind::success,
                  now);
    }
    EXPECT_FALSE(quiet.avoided(now));
}

// Guards against placing the collectors of most services on one host.
TEST(health_collector, collectors_spread_over_hosts)
{
    std::vector<state::endpoint> hosts;
    for (unsigned n = 0; n < 41; ++n) {
        hosts.push_back({0x0a020000 + n, 9090});
    }
    std::vector<unsigned> load(hosts.size());
    for (int n = 0; n < 490; ++n) {
        const auto it =
            coordination::collector_of("service" + std::to_string(n), 1, hosts);
        ++load[it->address - 0x0a020000];
    }
    EXPECT_LE(*std::max_element(load.begin(), load.end()), 30U);
    EXPECT_FALSE(coordination::collector_of("any", 1, {}));
}

} // namespace
