// Avoidance of one upstream by one host.

#include <oriolegrade/coordination/local_avoidance.hpp>

#include <algorithm>
#include <array>

namespace oriolegrade::coordination {

namespace {

using namespace std::chrono_literals;

/// Reached by five failures among about 20 requests. At a background error rate
/// of 0.5% and 60 requests/s, four occur by chance about once in 7
/// upstream-hours.
constexpr double avoid_threshold = 13.0;
/// One host does not know its peers' rate of slow answers, so it assumes a
/// higher rate than the collector does.
constexpr double assumed_slow_rate = 0.03;
constexpr state::duration initial_avoidance = 1s;
constexpr unsigned max_doublings = 4;
/// Time without avoidance after which the next one starts at its initial
/// length.
constexpr state::duration quiet_period = 60s;

constexpr peer_baseline assumed_baseline{min_error_rate, assumed_slow_rate};

} // namespace

std::optional<health_event>
local_avoidance::add(const state::endpoint& upstream, state::evidence_kind kind,
                     state::time_point now)
{
    state::evidence_counts counts;
    ++counts[kind];
    const auto signal = kind == state::evidence_kind::slow
                            ? health_signal::latency
                            : health_signal::errors;
    static const std::array<request_weights, state::enum_size<health_signal>>
        weights{derive_weights(health_signal::errors, assumed_baseline),
                derive_weights(health_signal::latency, assumed_baseline)};
    test_.add(
        log_likelihood_ratio(signal, counts, weights[state::index_of(signal)]));
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
    until_ =
        now + initial_avoidance * (1U << std::min(repeats_, max_doublings));
    ++repeats_;
    test_.reset();
    test_.add(avoid_threshold / 2);
    return event;
}

} // namespace oriolegrade::coordination
