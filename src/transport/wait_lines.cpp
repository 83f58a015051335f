// Waiting for room at upstreams.

#include <oriolegrade/transport/wait_lines.hpp>

#include <algorithm>
#include <iterator>

namespace oriolegrade::transport {

namespace {

bool has_room(const state::pick_table& table)
{
    return std::any_of(table.candidates.begin(), table.candidates.end(),
                       [](const state::pick_candidate& it) {
                           return it.weight > 0 && !it.trial &&
                                  it.load->in_flight() < it.load->limit();
                       });
}

} // namespace

bool wait_lines::wait(const request& it)
{
    const auto drop = [](waiter* gone, coordination::queue_refusal) {
        gone->dropped = true;
        gone->signal.notify();
    };
    waiter own;
    auto& mine = lines_[it.table->controls];
    mine.table = it.table;
    const auto pushed =
        mine.queue.push(&own, it.order, it.deadline, it.since, drop);
    if (!pushed) {
        if (mine.queue.size() == 0) {
            lines_.erase(it.table->controls);
        }
        return false;
    }
    filled_.notify();
    own.signal.wait([&] { return own.woken || own.dropped; });
    return own.woken;
}

void wait_lines::wake_next(line& it, state::time_point now)
{
    const auto next =
        it.queue.pop(now, [](waiter* gone, coordination::queue_refusal) {
            gone->dropped = true;
            gone->signal.notify();
        });
    if (next) {
        (*next)->woken = true;
        (*next)->signal.notify();
    }
}

void wait_lines::place_free(const service_table& table, state::time_point now)
{
    const auto found = lines_.find(table.controls);
    if (found == lines_.end()) {
        return;
    }
    wake_next(found->second, now);
    if (found->second.queue.size() == 0) {
        lines_.erase(found);
    }
}

void wait_lines::tick(state::time_point now)
{
    for (auto it = lines_.begin(); it != lines_.end();) {
        auto& line = it->second;
        line.queue.expire(now, [](waiter* gone, coordination::queue_refusal) {
            gone->dropped = true;
            gone->signal.notify();
        });
        if (has_room(*line.table->picks)) {
            wake_next(line, now);
        }
        it = line.queue.size() == 0 ? lines_.erase(it) : std::next(it);
    }
}

} // namespace oriolegrade::transport
