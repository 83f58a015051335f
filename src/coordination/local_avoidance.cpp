// Avoidance of one upstream by one host.

#include <oriolegrade/coordination/local_avoidance.hpp>

#include <algorithm>

namespace oriolegrade::coordination {

namespace {

using namespace std::chrono_literals;

/// Four failures in a row at the background rate of 0.5%. Three would occur
/// by chance every few hours on a busy host.
constexpr double avoid_threshold = 10.0;
constexpr state::duration first_avoidance = 1s;
constexpr unsigned max_doublings = 4;
/// A quiet period after which earlier avoidances are forgotten.
constexpr state::duration quiet_period = 60s;

} // namespace

std::optional<health_event>
local_avoidance::add(const state::endpoint& upstream, state::evidence_kind kind,
                     state::time_point now)
{
    state::evidence_counts counts;
    ++counts[kind];
    const peer_baseline usual{least_error_rate, least_slow_rate};
    const auto signal = kind == state::evidence_kind::slow
                            ? health_signal::latency
                            : health_signal::errors;
    test_.add(log_likelihood_ratio(signal, counts, usual));
    if (test_.score() < avoid_threshold || avoided(now)) {
        return std::nullopt;
    }
    if (now - until_ > quiet_period) {
        repeats_ = 0;
    }
    health_event event{health_event_kind::avoided,
                       now,
                       upstream,
                       test_.score(),
                       avoid_threshold,
                       1,
                       repeats_,
                       counts};
    until_ = now + first_avoidance * (1U << std::min(repeats_, max_doublings));
    ++repeats_;
    test_.reset();
    test_.add(avoid_threshold / 2);
    return event;
}

} // namespace oriolegrade::coordination
