// Moves upstreams between the ordered sets of the index.

#include <oriolegrade/coordination/upstream_index.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <utility>

namespace oriolegrade::coordination {

namespace {

constexpr double cold_cost = 0.4;
/// Relative latency up to which an upstream is not considered slow; smaller
/// differences are noise.
constexpr double slowness_tolerance = 1.25;
constexpr double max_slowness_cost = 3.0;

upstream_use use_of(const upstream_tracker& tracker, state::time_point now)
{
    switch (tracker.standing(now)) {
    case upstream_standing::in_service:
        return upstream_use::in_service;
    case upstream_standing::on_trial:
        return tracker.canary_wait_is_over(now) ? upstream_use::long_on_trial
                                                : upstream_use::on_trial;
    case upstream_standing::held:
        break;
    }
    return tracker.quick_trial_due(now) ? upstream_use::quick_trial
                                        : upstream_use::held;
}

use_key key_of(upstream_entry& entry, upstream_use use, state::time_point now)
{
    const auto& tracker = entry.tracker;
    if (use == upstream_use::held || use == upstream_use::quick_trial) {
        return {0, tracker.last_failure(), tracker.order(), &entry};
    }
    return {upstream_index::load_cost(tracker, now), tracker.last_begin(),
            tracker.order(), &entry};
}

} // namespace

double upstream_index::load_cost(const upstream_tracker& tracker,
                                 state::time_point now)
{
    double sum =
        static_cast<double>(tracker.occupied(now)) / tracker.spec().slots;
    if (tracker.is_cold(now)) {
        sum += cold_cost;
    }
    const auto slow = tracker.slowness(now) - slowness_tolerance;
    return sum + std::clamp(slow, 0.0, max_slowness_cost);
}

void upstream_index::set(const std::vector<state::registered_upstream>& list,
                         std::uint64_t seed, state::time_point now)
{
    std::set<std::string> listed;
    for (const auto& it : list) {
        listed.insert(it.id);
        const auto found = entries_.find(it.id);
        if (found != entries_.end()) {
            found->second.tracker.update(it, now);
            continue;
        }
        const auto order =
            XXH3_64bits_withSeed(it.id.data(), it.id.size(), seed);
        entries_.try_emplace(it.id, upstream_tracker(it, order, now));
    }
    ready_.clear();
    for (auto it = entries_.begin(); it != entries_.end();) {
        auto& entry = it->second;
        if (!listed.contains(it->first)) {
            forget(entry);
            it = entries_.erase(it);
            continue;
        }
        if (entry.tracker.is_listed()) {
            ready_.push_back(&entry);
        }
        refresh(entry, now);
        ++it;
    }
    floor_.set_ready(ready_.size());
}

void upstream_index::advance(state::time_point now)
{
    while (!timers_.empty() && timers_.begin()->first <= now) {
        refresh(*timers_.begin()->second, now);
    }
    floor_.advance(now);
}

std::size_t upstream_index::available() const
{
    std::size_t n = 0;
    for (const auto& it : counts_) {
        n += it.upstreams;
    }
    return n;
}

upstream_entry* upstream_index::find(const std::string& id)
{
    const auto it = entries_.find(id);
    return it == entries_.end() ? nullptr : &it->second;
}

const upstream_tracker* upstream_index::find(const std::string& id) const
{
    const auto it = entries_.find(id);
    return it == entries_.end() ? nullptr : &it->second.tracker;
}

std::vector<upstream_entry*> upstream_index::take_changed()
{
    for (auto* it : changed_) {
        it->changed = false;
    }
    return std::exchange(changed_, {});
}

void upstream_index::refresh(upstream_entry& entry, state::time_point now)
{
    const auto& tracker = entry.tracker;
    count(entry, now);
    remove_from_pool(entry);
    const bool usable = tracker.is_ready(now) && tracker.has_room(now);
    if (usable) {
        put_in_pool(entry, now);
    }
    floor_.update(entry, usable, now);
    schedule(entry, tracker.next_change(now));
}

void upstream_index::count(upstream_entry& entry, state::time_point now)
{
    const auto& tracker = entry.tracker;
    const auto standing = tracker.standing(now);
    uncount(entry);
    if (tracker.is_ready(now)) {
        auto& it = counts_[state::index_of(standing)];
        ++it.upstreams;
        it.slots += tracker.spec().slots;
        entry.counted.emplace(standing, tracker.spec().slots);
    }
    if (standing != entry.reported && !entry.changed) {
        entry.changed = true;
        changed_.push_back(&entry);
    }
}

void upstream_index::uncount(upstream_entry& entry)
{
    if (entry.counted) {
        auto& it = counts_[state::index_of(entry.counted->first)];
        --it.upstreams;
        it.slots -= entry.counted->second;
        entry.counted.reset();
    }
}

void upstream_index::put_in_pool(upstream_entry& entry, state::time_point now)
{
    const auto use = use_of(entry.tracker, now);
    entry.pool = {use, entry.tracker.spec().data_centre,
                  key_of(entry, use, now)};
    pools_[state::index_of(use)][entry.pool->data_centre].insert(
        entry.pool->key);
    ++sizes_[state::index_of(use)];
}

void upstream_index::remove_from_pool(upstream_entry& entry)
{
    if (!entry.pool) {
        return;
    }
    const auto use = state::index_of(entry.pool->use);
    auto& pools = pools_[use];
    const auto it = pools.find(entry.pool->data_centre);
    it->second.erase(entry.pool->key);
    if (it->second.empty()) {
        pools.erase(it);
    }
    --sizes_[use];
    entry.pool.reset();
}

void upstream_index::schedule(upstream_entry& entry, state::time_point at)
{
    if (entry.timer == at) {
        return;
    }
    timers_.erase({entry.timer, &entry});
    entry.timer = at;
    if (at != state::time_point::max()) {
        timers_.emplace(at, &entry);
    }
}

void upstream_index::forget(upstream_entry& entry)
{
    uncount(entry);
    remove_from_pool(entry);
    floor_.erase(entry);
    schedule(entry, state::time_point::max());
    std::erase(changed_, &entry);
}

} // namespace oriolegrade::coordination
