// Baseline of a service.

#include <oriolegrade/coordination/peer_statistics.hpp>

#include <algorithm>
#include <cmath>

namespace oriolegrade::coordination {

namespace {

/// Upstreams with fewer recent requests say nothing about a usual rate.
constexpr double least_judged = 5.0;

struct sample
{
    double bad;
    double judged;
};

double better_half_rate(std::vector<sample>& samples)
{
    if (samples.size() < 2) {
        return 0;
    }
    std::sort(samples.begin(), samples.end(),
              [](const sample& a, const sample& b) {
                  return a.bad * b.judged < b.bad * a.judged;
              });
    sample sum{0, 0};
    for (std::size_t n = 0; n < (samples.size() + 1) / 2; ++n) {
        sum.bad += samples[n].bad;
        sum.judged += samples[n].judged;
    }
    // One standard error less, so that chance among few requests does not
    // hide a failing upstream.
    return std::max(0.0, sum.bad - std::sqrt(sum.bad)) / sum.judged;
}

} // namespace

void recent_counts::add(const state::evidence_counts& counts,
                        state::time_point now)
{
    counts_ = at(now);
    last_ = now;
    using state::evidence_kind;
    counts_.errors += counts[evidence_kind::failure];
    counts_.errors += counts[evidence_kind::connect_failure];
    counts_.slow += counts[evidence_kind::slow];
    counts_.judged += static_cast<double>(counts.judged());
}

recent_counts::view recent_counts::at(state::time_point now) const
{
    const double age = std::chrono::duration<double>(now - last_).count();
    if (age <= 0) {
        return counts_;
    }
    const double factor = std::exp(-age / seconds_);
    return {counts_.errors * factor, counts_.slow * factor,
            counts_.judged * factor};
}

peer_baseline baseline_of(const std::vector<recent_counts::view>& upstreams)
{
    std::vector<sample> errors;
    std::vector<sample> slow;
    errors.reserve(upstreams.size());
    slow.reserve(upstreams.size());
    for (const auto& it : upstreams) {
        if (it.judged >= least_judged) {
            errors.push_back({it.errors, it.judged});
            slow.push_back({it.slow, it.judged});
        }
    }
    return {better_half_rate(errors), better_half_rate(slow)};
}

} // namespace oriolegrade::coordination
