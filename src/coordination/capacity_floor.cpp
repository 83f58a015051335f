// Limits on the idle time of upstreams, and their places in the floor's sets.

#include <oriolegrade/coordination/capacity_floor.hpp>

#include <vector>

namespace oriolegrade::coordination {

namespace {

/// Largest share of the upstreams that may be idle after failures while the
/// floor is not enforced: half of the three tenths that the users' capacity
/// rule allows. When requests begin to fail, the two seconds of the rule have
/// already begun. A smaller share costs more failed trials in calm times.
constexpr double normal_idle_share = 0.15;
/// Share that the users' capacity rule allows. One upstream of a small service
/// may be idle if that is no more than this share.
constexpr double max_idle_share = 0.3;
/// Idle time after which an upstream is due: floor_window less the time for a
/// first send to be requested and to arrive.
constexpr state::duration normal_idle_time = std::chrono::milliseconds(1400);
/// The same while the floor is enforced: half of floor_window, so that another
/// request arrives in time when the first one was placed for a lost host.
constexpr state::duration floor_idle_time = std::chrono::milliseconds(900);
/// Time after a server error at which an upstream is due: sound_after less the
/// time for a first send to arrive.
constexpr state::duration floor_error_time =
    sound_after - std::chrono::milliseconds(200);

std::size_t part_of(std::size_t n, double share)
{
    return static_cast<std::size_t>(static_cast<double>(n) * share);
}

} // namespace

std::size_t capacity_floor::max_resting() const
{
    if (in_force_) {
        return 0;
    }
    return std::max(part_of(ready_, normal_idle_share),
                    std::min<std::size_t>(1, part_of(ready_, max_idle_share)));
}

state::time_point
capacity_floor::due_time(const upstream_tracker& tracker) const
{
    const auto idle_time = in_force_ ? floor_idle_time : normal_idle_time;
    return std::max(tracker.last_begin() + idle_time,
                    tracker.last_error() + floor_error_time);
}

std::set<floor_key>& capacity_floor::set_of(floor_set set)
{
    switch (set) {
    case floor_set::failed_later:
        return failed_later_;
    case floor_set::failed_due:
        return failed_due_;
    case floor_set::sound:
    case floor_set::none:
        break;
    }
    return sound_;
}

void capacity_floor::erase(upstream_entry& entry)
{
    if (entry.in_floor != floor_set::none) {
        set_of(entry.in_floor).erase(entry.floor_place);
        entry.in_floor = floor_set::none;
    }
}

void capacity_floor::insert(upstream_entry& entry, floor_set set,
                            state::time_point at)
{
    entry.in_floor = set;
    entry.floor_place = {at, entry.tracker.order(), &entry};
    set_of(set).insert(entry.floor_place);
}

void capacity_floor::insert_due(upstream_entry& entry)
{
    const auto& tracker = entry.tracker;
    insert(entry, floor_set::failed_due,
           in_force_ ? tracker.idle_since() : tracker.last_failure());
}

void capacity_floor::update(upstream_entry& entry, bool usable,
                            state::time_point now)
{
    erase(entry);
    if (!usable) {
        return;
    }
    const auto at = due_time(entry.tracker);
    if (entry.tracker.failures() == 0) {
        insert(entry, floor_set::sound, at);
    } else if (at <= now) {
        insert_due(entry);
    } else {
        insert(entry, floor_set::failed_later, at);
    }
}

void capacity_floor::advance(state::time_point now)
{
    while (!failed_later_.empty() && failed_later_.begin()->at <= now) {
        auto& entry = *failed_later_.begin()->entry;
        erase(entry);
        insert_due(entry);
    }
}

void capacity_floor::set_in_force(bool in_force, state::time_point now)
{
    if (in_force == in_force_) {
        return;
    }
    in_force_ = in_force;
    std::vector<upstream_entry*> entries;
    for (const auto* set : {&sound_, &failed_later_, &failed_due_}) {
        for (const auto& it : *set) {
            entries.push_back(it.entry);
        }
    }
    for (auto* it : entries) {
        update(*it, true, now);
    }
}

} // namespace oriolegrade::coordination
