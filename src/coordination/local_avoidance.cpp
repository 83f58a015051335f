// Avoidance of one upstream by one host.

#include <oriolegrade/coordination/local_avoidance.hpp>

#include <algorithm>
#include <array>

namespace oriolegrade::coordination {

namespace {

using namespace std::chrono_literals;

/// Five failures among about 20 requests. Four occur by chance at a background
/// rate of 0.5%: once in about 7 upstream-hours at 60 requests/s.
constexpr double avoid_threshold = 13.0;
/// One host knows no peers' rate of late answers, so it assumes more of them
/// than the collector does.
constexpr double assumed_slow_rate = 0.03;
constexpr state::duration first_avoidance = 1s;
constexpr unsigned max_doublings = 4;
/// A quiet period after which earlier avoidances are forgotten.
constexpr state::duration quiet_period = 60s;

constexpr peer_baseline usual{min_error_rate, assumed_slow_rate};

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
        weights{derive_weights(health_signal::errors, usual),
                derive_weights(health_signal::latency, usual)};
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
    until_ = now + first_avoidance * (1U << std::min(repeats_, max_doublings));
    ++repeats_;
    test_.reset();
    test_.add(avoid_threshold / 2);
    return event;
}

} // namespace oriolegrade::coordination
