// What a run of the dispatch model has seen.

#ifndef ORIOLEGRADE_BENCH_COORDINATION_DISPATCH_OUTCOME_HPP
#define ORIOLEGRADE_BENCH_COORDINATION_DISPATCH_OUTCOME_HPP

#include "dispatch_patterns.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <numeric>
#include <vector>

namespace oriolegrade::bench {

/// What became of the callers of one kind.
struct kind_outcome
{
    std::size_t offered = 0;
    std::size_t in_target = 0;
    std::size_t late = 0;
    std::size_t refused = 0;
    std::size_t failed = 0;
    std::size_t left = 0;

    double served_share() const
    {
        return static_cast<double>(in_target + late) /
               static_cast<double>(std::max<std::size_t>(offered, 1));
    }
};

/// Length of a span of time for which callers are counted together.
inline constexpr state::duration span_length = 100ms;

/// Callers that arrived within one span.
struct span_outcome
{
    std::size_t offered = 0;
    std::size_t served = 0;
    /// Refused callers that came back in it.
    std::size_t returned = 0;
};

struct dispatch_outcome
{
    std::array<kind_outcome, request_kinds.size()> kinds;
    std::vector<span_outcome> spans;
    std::vector<kind_outcome> workspaces;
    /// When hosts were there again after the loss of all, from the start.
    state::duration hosts_ready{};
    /// Slot time that the served requests needed.
    state::duration served_work{};
    /// From the first attempt to the start of the work, of served callers.
    std::vector<double> waits_ms;
    /// From an attempt to its refusal.
    std::vector<double> refusals_ms;
    /// Share of the sound upstreams that is held.
    double held_mean = 0;
    double held_max = 0;
    /// From the beginning of a spell to the hold.
    std::vector<double> detections_ms;
    /// Sends of requests that must not repeat, and those of them to an upstream
    /// in its spell.
    std::size_t single_sends = 0;
    std::size_t single_sends_to_failing = 0;

    double in_target_share() const
    {
        double offered = 0;
        double in_target = 0;
        for (const auto& it : kinds) {
            offered += static_cast<double>(it.offered - it.left);
            in_target += static_cast<double>(it.in_target);
        }
        return in_target / std::max(offered, 1.0);
    }
    /// Served of all requests.
    double served_share() const
    {
        kind_outcome all;
        for (const auto& it : kinds) {
            all.offered += it.offered;
            all.in_target += it.in_target;
            all.late += it.late;
        }
        return all.served_share();
    }
    /// Served shares of the workspaces, the least first.
    std::vector<double> workspace_shares() const
    {
        std::vector<double> out;
        for (const auto& it : workspaces) {
            out.push_back(it.served_share());
        }
        std::sort(out.begin(), out.end());
        return out;
    }
    double mean_wait_ms() const
    {
        double sum = 0;
        for (const auto it : waits_ms) {
            sum += it;
        }
        return sum /
               static_cast<double>(std::max<std::size_t>(waits_ms.size(), 1));
    }
    double failing_share() const
    {
        return static_cast<double>(single_sends_to_failing) /
               static_cast<double>(std::max<std::size_t>(single_sends, 1));
    }
};

/// Mean of the first of sorted samples; 0 without samples.
inline double mean_of_first(const std::vector<double>& samples, std::size_t n)
{
    n = std::min(n, samples.size());
    const auto sum = std::accumulate(
        samples.begin(), samples.begin() + static_cast<std::ptrdiff_t>(n), 0.0);
    return sum / static_cast<double>(std::max<std::size_t>(n, 1));
}

/// Value below which the given share of the samples lies; 0 without samples.
inline double percentile(std::vector<double> samples, double share)
{
    if (samples.empty()) {
        return 0;
    }
    std::sort(samples.begin(), samples.end());
    const auto n = static_cast<std::size_t>(
        share * static_cast<double>(samples.size() - 1));
    return samples[n];
}

inline double to_ms(state::duration it)
{
    return std::chrono::duration<double, std::milli>(it).count();
}

} // namespace oriolegrade::bench

#endif
