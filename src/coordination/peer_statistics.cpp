// Computation of the baseline of a service.

#include <oriolegrade/coordination/peer_statistics.hpp>

#include <algorithm>
#include <cmath>

namespace oriolegrade::coordination {

namespace {

/// Upstreams with fewer recent requests are excluded from the baseline.
constexpr double min_requests = 5.0;

struct sample
{
    double bad;
    double requests;
};

double lower_half_rate(std::vector<sample>& samples)
{
    if (samples.size() < 2) {
        return 0;
    }
    const auto half = static_cast<std::ptrdiff_t>((samples.size() + 1) / 2);
    std::nth_element(samples.begin(), samples.begin() + half - 1, samples.end(),
                     [](const sample& a, const sample& b) {
                         return a.bad * b.requests < b.bad * a.requests;
                     });
    sample sum{0, 0};
    for (auto it = samples.begin(); it != samples.begin() + half; ++it) {
        sum.bad += it->bad;
        sum.requests += it->requests;
    }
    // Reduced by two standard errors, so that random errors among few requests
    // do not mask a failing upstream.
    return std::max(0.0, sum.bad - 2 * std::sqrt(sum.bad)) / sum.requests;
}

} // namespace

void signal_counts::add(const state::evidence_counts& counts)
{
    using state::evidence_kind;
    errors += counts[evidence_kind::failure];
    errors += counts[evidence_kind::connect_failure];
    slow += counts[evidence_kind::slow];
    requests += static_cast<double>(counts.non_shed());
}

void signal_counts::scale(double factor)
{
    errors *= factor;
    slow *= factor;
    requests *= factor;
}

double decay_factor(state::duration passed, double seconds)
{
    const double age = std::chrono::duration<double>(passed).count();
    return age > 0 ? std::exp(-age / seconds) : 1.0;
}

void recent_counts::add(const state::evidence_counts& counts,
                        state::time_point now)
{
    counts_ = at(now);
    last_ = std::max(last_, now);
    counts_.add(counts);
}

signal_counts recent_counts::at(state::time_point now) const
{
    auto counts = counts_;
    counts.scale(decay_factor(now - last_, baseline_seconds));
    return counts;
}

peer_baseline baseline_of(const std::vector<signal_counts>& upstreams)
{
    std::vector<sample> errors;
    std::vector<sample> slow;
    errors.reserve(upstreams.size());
    slow.reserve(upstreams.size());
    for (const auto& it : upstreams) {
        if (it.requests >= min_requests) {
            errors.push_back({it.errors, it.requests});
            slow.push_back({it.slow, it.requests});
        }
    }
    return {lower_half_rate(errors), lower_half_rate(slow)};
}

} // namespace oriolegrade::coordination
