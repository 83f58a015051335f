// Cells of the detection experiment: many seeded runs of one service, load,
// fault and policy, and their percentiles.

#ifndef ORIOLEGRADE_BENCH_DETECTION_EXPERIMENT_HPP
#define ORIOLEGRADE_BENCH_DETECTION_EXPERIMENT_HPP

#include "baseline_policies.hpp"
#include "fleet_model.hpp"
#include "healthy_hours.hpp"
#include "oriole_policy.hpp"

#include <algorithm>
#include <atomic>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

namespace oriolegrade::detection {

/// Sum of the runs of a cell.
struct cell_result
{
    /// Sorted by finish(); a run without detection counts as infinite.
    std::vector<double> detection_seconds;
    run_result sum;
    std::uint64_t undetected = 0;

    void add(const run_result& r)
    {
        undetected += r.detected ? 0 : 1;
        detection_seconds.push_back(r.detected ? r.detection_seconds
                                               : HUGE_VAL);
        sum.sent_to_bad += r.sent_to_bad;
        sum.sent_after_fault += r.sent_after_fault;
        sum.requests += r.requests;
        sum.lost += r.lost;
        sum.healthy_hours += r.healthy_hours;
        sum.false_ejections += r.false_ejections;
        sum.false_fleet_ejections += r.false_fleet_ejections;
        sum.least_capacity_share =
            std::min(sum.least_capacity_share, r.least_capacity_share);
        sum.floor_violations += r.floor_violations;
        sum.probes += r.probes;
    }
    void add(const cell_result& other)
    {
        auto r = other.sum;
        r.detected = true;
        add(r);
        detection_seconds.pop_back();
        undetected += other.undetected;
        detection_seconds.insert(detection_seconds.end(),
                                 other.detection_seconds.begin(),
                                 other.detection_seconds.end());
    }
    void finish()
    {
        std::sort(detection_seconds.begin(), detection_seconds.end());
    }
    /// Smallest time that at least `share` of the runs did not exceed.
    double percentile(double share) const
    {
        const auto n = static_cast<double>(detection_seconds.size());
        const auto rank = static_cast<std::size_t>(std::ceil(share * n));
        return detection_seconds[std::max<std::size_t>(rank, 1) - 1];
    }
};

template <class Policy>
cell_result run_cell(const service_model& service, load_level load,
                     fault_kind fault, unsigned runs)
{
    cell_result result;
    for (unsigned n = 0; n < runs; ++n) {
        const std::uint64_t seed =
            n * 7919ULL + static_cast<std::uint64_t>(load) * 104729 +
            static_cast<std::uint64_t>(fault) * 1299709 + service.servers;
        const auto model =
            std::make_unique<fleet_model<Policy>>(service, load, fault, seed);
        result.add(model->run());
    }
    result.finish();
    return result;
}

inline cell_result run_cell(policy_kind policy, const service_model& service,
                            load_level load, fault_kind fault, unsigned runs)
{
    switch (policy) {
    case policy_kind::oriolegrade:
        return run_cell<oriole_policy>(service, load, fault, runs);
    case policy_kind::consecutive:
        return run_cell<consecutive_policy>(service, load, fault, runs);
    case policy_kind::outlier:
        return run_cell<outlier_policy>(service, load, fault, runs);
    case policy_kind::none:
        break;
    }
    return run_cell<no_ejection_policy>(service, load, fault, runs);
}

/// Runs independent jobs on three threads. Each job writes only its own
/// result, so the outcome does not depend on the order.
inline void run_jobs(const std::vector<std::function<void()>>& jobs)
{
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> threads;
    for (int n = 0; n < 3; ++n) {
        threads.emplace_back([&] {
            for (auto i = next++; i < jobs.size(); i = next++) {
                jobs[i]();
            }
        });
    }
    for (auto& it : threads) {
        it.join();
    }
}

/// One cell over all services of a deployment.
inline cell_result run_deployment(policy_kind policy,
                                  state::health_profile profile,
                                  load_level load, fault_kind fault,
                                  unsigned runs_a_service)
{
    std::vector<cell_result> parts(service_models.size());
    std::vector<std::function<void()>> jobs;
    for (std::size_t n = 0; n < service_models.size(); ++n) {
        if (service_models[n].profile == profile) {
            jobs.emplace_back([&, n] {
                parts[n] = run_cell(policy, service_models[n], load, fault,
                                    runs_a_service);
            });
        }
    }
    run_jobs(jobs);
    cell_result all;
    for (const auto& it : parts) {
        all.add(it);
    }
    all.finish();
    return all;
}

/// Healthy hours over all services of a deployment, in equal parts.
inline healthy_result run_healthy(state::health_profile profile,
                                  load_level load, double upstream_hours,
                                  bool cut_host)
{
    constexpr unsigned parts_a_service = 3;
    std::vector<healthy_result> parts(service_models.size() * parts_a_service);
    std::vector<std::function<void()>> jobs;
    for (std::size_t n = 0; n < parts.size(); ++n) {
        const auto& service = service_models[n / parts_a_service];
        if (service.profile == profile) {
            jobs.emplace_back([&, n] {
                healthy_service model(service, load, n + 1, cut_host);
                parts[n] = model.run(upstream_hours / 4 / parts_a_service /
                                     service.servers);
            });
        }
    }
    run_jobs(jobs);
    healthy_result all;
    for (const auto& it : parts) {
        all.upstream_hours += it.upstream_hours;
        all.ejections += it.ejections;
    }
    return all;
}

} // namespace oriolegrade::detection

#endif
