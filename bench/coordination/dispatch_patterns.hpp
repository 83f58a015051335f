// Load patterns of the dispatch experiment, and the service that they meet.

#ifndef ORIOLEGRADE_BENCH_COORDINATION_DISPATCH_PATTERNS_HPP
#define ORIOLEGRADE_BENCH_COORDINATION_DISPATCH_PATTERNS_HPP

#include <oriolegrade/state/dispatch_type.hpp>
#include <oriolegrade/state/enum_names.hpp>
#include <oriolegrade/state/time_type.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace oriolegrade::bench {

using namespace std::chrono_literals;

enum class load_pattern : std::uint8_t
{
    /// Half of the capacity, no faults.
    calm,
    /// Nine tenths of the capacity.
    near_capacity,
    /// 1.7 times the capacity for three seconds.
    burst,
    /// 1.2 times the capacity for five seconds; a third of the callers return
    /// at once, up to three times.
    eager_callers,
    /// A third of the callers leave at half of their target.
    leaving_callers,
    /// Half of the upstreams are replaced, one each 250 ms, by cold ones.
    release,
    /// A sixth of the upstreams takes five times as long.
    slow_upstreams,
    /// Three tenths of the upstreams fail most requests for nine seconds, then
    /// others do.
    failing_spells,
    /// The same, with connections that end without an answer.
    reset_spells,
    /// Three answers in a hundred are lost after the work was done.
    lost_answers,
    /// All hosts end at once; all callers are back within a second.
    hosts_lost,
    /// The dispatcher ends, and another host takes over.
    dispatcher_lost,
};

/// What requests of one kind need; figures of status reads and bookings on the
/// users' grown site of Hanbit.
struct request_kind
{
    std::string_view name;
    std::uint32_t rank;
    double share;
    bool repeatable;
    state::duration work;
    state::duration target;
    state::duration time_limit;
};

inline constexpr std::array<request_kind, 2> request_kinds{
    {{"reads", 0, 0.4, true, 98ms, 500ms, 1200ms},
     {"bookings", 1, 0.6, false, 250ms, 1000ms, 2500ms}}};

inline constexpr std::uint32_t slots_per_upstream = 3;

/// Mean work of a request.
inline state::duration mean_work()
{
    double sum = 0;
    for (const auto& it : request_kinds) {
        sum += it.share * static_cast<double>(it.work.count());
    }
    return state::duration(static_cast<std::int64_t>(sum));
}

/// What a pattern does to the service.
struct pattern_effects
{
    /// Arrivals as a share of the capacity.
    double load = 0.6;
    /// The same within the surge.
    double surge_load = 0;
    state::duration surge{};
    double eager_share = 0;
    double leaving_share = 0;
    double replaced_share = 0;
    double slow_share = 0;
    double spell_share = 0;
    state::send_result spell_result = state::send_result::server_error;
    double lost_answer_share = 0;
    bool loses_hosts = false;
    bool loses_dispatcher = false;
};

constexpr pattern_effects effects_of(load_pattern pattern)
{
    pattern_effects out;
    switch (pattern) {
    case load_pattern::calm:
        out.load = 0.5;
        break;
    case load_pattern::near_capacity:
        out.load = 0.9;
        break;
    case load_pattern::burst:
        out.surge_load = 1.7;
        out.surge = 3s;
        break;
    case load_pattern::eager_callers:
        out.surge_load = 1.2;
        out.surge = 5s;
        out.eager_share = 1.0 / 3;
        break;
    case load_pattern::leaving_callers:
        out.load = 0.9;
        out.leaving_share = 1.0 / 3;
        break;
    case load_pattern::release:
        out.replaced_share = 0.5;
        break;
    case load_pattern::slow_upstreams:
        out.slow_share = 1.0 / 6;
        break;
    case load_pattern::failing_spells:
        out.spell_share = 0.3;
        break;
    case load_pattern::reset_spells:
        out.spell_share = 0.3;
        out.spell_result = state::send_result::lost;
        break;
    case load_pattern::lost_answers:
        out.lost_answer_share = 0.03;
        break;
    case load_pattern::hosts_lost:
        out.loses_hosts = true;
        break;
    case load_pattern::dispatcher_lost:
        out.loses_dispatcher = true;
        break;
    }
    return out;
}

} // namespace oriolegrade::bench

namespace oriolegrade::state {

template <>
struct enum_names<bench::load_pattern>
{
    static constexpr std::array<std::string_view, 12> value{
        "calm",           "near_capacity",   "burst",
        "eager_callers",  "leaving_callers", "release",
        "slow_upstreams", "failing_spells",  "reset_spells",
        "lost_answers",   "hosts_lost",      "dispatcher_lost"};
};

} // namespace oriolegrade::state

#endif
