// Limits on the number of idle upstreams and on their idle time.

#include <oriolegrade/coordination/upstream_floor.hpp>

#include <algorithm>
#include <cstddef>
#include <utility>

namespace oriolegrade::coordination {

namespace {

/// Largest share of the upstreams that may be idle because of their server
/// errors; below the three tenths that the users' capacity rule allows.
constexpr double floor_idle_share = 0.2;
/// Largest share of the sound upstreams that may be idle while the floor is not
/// enforced: half of the three tenths that the users' capacity rule allows.
/// When all hosts are lost at once, no dispatcher is left to use idle
/// upstreams, and requests placed for lost hosts count as use here although
/// they never arrive.
constexpr double normal_idle_share = 0.15;
/// Share that the users' capacity rule allows. One upstream of a small service
/// may be idle while the floor is not enforced if that is no more than this
/// share.
constexpr double max_idle_share = 0.3;
/// Idle time after which an upstream is due: floor_window less the time for a
/// first send to be requested and to arrive.
constexpr state::duration floor_idle_time = std::chrono::milliseconds(1400);

std::size_t part_of(std::size_t n, double share)
{
    return static_cast<std::size_t>(static_cast<double>(n) * share);
}

bool is_due_before(const upstream_tracker* a, const upstream_tracker* b)
{
    return std::pair(a->idle_since(), a->order()) <
           std::pair(b->idle_since(), b->order());
}

} // namespace

std::vector<upstream_tracker*>
upstreams_due(const std::vector<upstream_tracker*>& ready, bool in_force,
              state::time_point now)
{
    std::vector<upstream_tracker*> due;
    std::size_t sound = 0;
    std::size_t after_error = 0;
    for (auto* tracker : ready) {
        sound += tracker->is_sound(now) ? 1 : 0;
        if (now - tracker->last_begin() >= floor_idle_time) {
            due.push_back(tracker);
            after_error += tracker->is_sound(now - floor_idle_time) ? 0 : 1;
        }
    }
    const auto normal_idle =
        std::max(part_of(sound, normal_idle_share),
                 std::min<std::size_t>(1, part_of(sound, max_idle_share)));
    const auto allowed_idle =
        in_force
            ? std::min(after_error, part_of(ready.size(), floor_idle_share))
            : after_error + normal_idle;
    if (due.size() <= allowed_idle) {
        return {};
    }
    std::sort(due.begin(), due.end(), is_due_before);
    due.resize(due.size() - allowed_idle);
    return due;
}

} // namespace oriolegrade::coordination
