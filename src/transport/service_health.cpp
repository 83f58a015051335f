// Standings of one service on this host.

#include <oriolegrade/transport/service_health.hpp>

#include <algorithm>
#include <utility>

namespace oriolegrade::transport {

namespace {

using coordination::health_event;
using coordination::health_event_kind;
using state::evidence_kind;

/// Orders the events of one collection so that successes do not hide
/// failures of the same 100 ms.
constexpr std::array<evidence_kind, 5> counting_order{
    evidence_kind::success, evidence_kind::shed, evidence_kind::slow,
    evidence_kind::failure, evidence_kind::connect_failure};

} // namespace

void service_health::add(const std::vector<state::evidence_item>& items,
                         state::time_point now)
{
    for (const auto& it : items) {
        auto& avoidance = upstreams_[it.upstream].avoidance;
        for (const auto kind : counting_order) {
            for (std::uint32_t n = 0; n < it.counts[kind]; ++n) {
                if (auto event = avoidance.add(it.upstream, kind, now)) {
                    event->evidence = it.counts;
                    events_.push_back(*event);
                    dirty_ = true;
                }
            }
        }
    }
}

void service_health::set_verdicts(state::verdict_set verdicts)
{
    if (verdicts.collector == verdicts_.collector &&
        verdicts.sequence < verdicts_.sequence) {
        return;
    }
    verdicts_ = std::move(verdicts);
    dirty_ = true;
}

bool service_health::is_avoided(const state::endpoint& address,
                                state::time_point now)
{
    const auto found = upstreams_.find(address);
    if (found == upstreams_.end()) {
        return false;
    }
    auto& it = found->second;
    const bool avoided = it.avoidance.avoided(now);
    if (it.was_avoided && !avoided) {
        health_event event;
        event.kind = health_event_kind::avoidance_ended;
        event.at = now;
        event.upstream = address;
        event.score = it.avoidance.score();
        events_.push_back(event);
    }
    it.was_avoided = avoided;
    return avoided;
}

coordination::floor_input
service_health::input_of(const state::upstream_spec& spec,
                         const coordination::leaving_set& leaving,
                         state::time_point now)
{
    coordination::floor_input out;
    out.address = spec.address;
    out.slots = spec.slots;
    out.avoided = is_avoided(spec.address, now);
    const auto verdict = std::find_if(
        verdicts_.verdicts.begin(), verdicts_.verdicts.end(),
        [&](const auto& it) { return it.upstream == spec.address; });
    if (verdict != verdicts_.verdicts.end()) {
        out.state = verdict->state;
        out.weight = verdict->weight;
        out.severity = verdict->severity;
    }
    if (leaving.contains(spec.address)) {
        out.state = state::upstream_state::leaving;
    }
    return out;
}

bool service_health::judge(const state::service_spec& spec,
                           const coordination::leaving_set& leaving,
                           state::time_point now)
{
    std::vector<coordination::floor_input> inputs;
    inputs.reserve(spec.upstreams.size());
    for (const auto& it : spec.upstreams) {
        inputs.push_back(input_of(it, leaving, now));
    }
    any_avoided_ = std::any_of(inputs.begin(), inputs.end(),
                               [](const auto& it) { return it.avoided; });
    dirty_ = false;
    std::erase_if(upstreams_, [&](const auto& known) {
        return std::none_of(inputs.begin(), inputs.end(), [&](const auto& it) {
            return it.address == known.first;
        });
    });
    auto fresh = coordination::apply_floor(inputs, spec.floor_slots);
    const auto events = coordination::floor_events(floor_, fresh, now);
    events_.insert(events_.end(), events.begin(), events.end());
    const bool changed = fresh.standings != floor_.standings;
    floor_ = std::move(fresh);
    return changed;
}

coordination::health_events service_health::take_events()
{
    return std::exchange(events_, {});
}

} // namespace oriolegrade::transport
