// Queue of requests waiting for an upstream; one per worker thread. It orders
// and drops waiters; the caller suspends and wakes them.

#ifndef ORIOLEGRADE_COORDINATION_REQUEST_QUEUE_HPP
#define ORIOLEGRADE_COORDINATION_REQUEST_QUEUE_HPP

#include <oriolegrade/state/enum_names.hpp>
#include <oriolegrade/state/request_class.hpp>
#include <oriolegrade/state/result.hpp>
#include <oriolegrade/state/time_type.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

namespace oriolegrade::coordination {

enum class queue_refusal : std::uint8_t
{
    /// The queue is full of requests of the same or a higher priority.
    full,
    /// Dropped to make room for a request of a higher priority.
    displaced,
    /// Waited for max_wait, or for overload_wait under overload.
    waited_too_long,
    deadline_passed,
};

struct request_queue_options
{
    std::size_t capacity = 256;
    state::duration max_wait = std::chrono::milliseconds(500);
    /// The queue is overloaded when it has not been empty for this long.
    state::duration overload_after = std::chrono::milliseconds(100);
    /// Longest wait under overload. Most callers of requests that waited longer
    /// have gone, and serving those would delay requests that can still be
    /// answered in time.
    state::duration overload_wait = std::chrono::milliseconds(100);
};

/// Bounded queue, highest priority first. Within a priority the oldest request
/// is served first, under overload the newest.
/// @tparam Waiter movable; a fiber's wake-up handle, or a number in tests
template <class Waiter>
class request_queue
{
public:
    explicit request_queue(const request_queue_options& options = {})
        : options_(options)
    {}

    /// Queues a waiter. Calls `drop(Waiter, queue_refusal)` for a waiter of
    /// lower priority that is displaced.
    template <class Drop>
    state::result<void, queue_refusal>
    push(Waiter waiter, state::priority order, state::time_point deadline,
         state::time_point now, Drop drop)
    {
        if (deadline <= now) {
            return queue_refusal::deadline_passed;
        }
        if (size_ >= options_.capacity && !make_room(order, drop)) {
            return queue_refusal::full;
        }
        if (size_ == 0) {
            busy_since_ = now;
        }
        levels_[state::index_of(order)].push_back(
            {std::move(waiter), now, deadline});
        ++size_;
        return state::outcome::success();
    }

    /// Removes and returns the next waiter. Calls `drop` for those that waited
    /// too long.
    template <class Drop>
    std::optional<Waiter> pop(state::time_point now, Drop drop)
    {
        expire(now, drop);
        const bool newest = overloaded(now);
        for (auto level = levels_.rbegin(); level != levels_.rend(); ++level) {
            if (level->empty()) {
                continue;
            }
            auto it = newest ? std::prev(level->end()) : level->begin();
            Waiter out = std::move(it->waiter);
            level->erase(it);
            --size_;
            return out;
        }
        return std::nullopt;
    }

    /// Drops waiters that have passed their deadline or waited too long. To be
    /// called from a timer as well as by pop().
    template <class Drop>
    void expire(state::time_point now, Drop drop)
    {
        const auto wait_limit =
            overloaded(now) ? options_.overload_wait : options_.max_wait;
        for (auto& level : levels_) {
            for (auto it = level.begin(); it != level.end();) {
                const bool late = it->deadline <= now;
                if (!late && now - it->since < wait_limit) {
                    ++it;
                    continue;
                }
                Waiter dropped = std::move(it->waiter);
                it = level.erase(it);
                --size_;
                drop(std::move(dropped), late ? queue_refusal::deadline_passed
                                              : queue_refusal::waited_too_long);
            }
        }
    }

    bool overloaded(state::time_point now) const
    {
        return size_ > 0 && now - busy_since_ >= options_.overload_after;
    }

    std::size_t size() const
    {
        return size_;
    }

private:
    struct item
    {
        Waiter waiter;
        state::time_point since;
        state::time_point deadline;
    };

    template <class Drop>
    bool make_room(state::priority order, Drop drop)
    {
        for (std::size_t i = 0; i < state::index_of(order); ++i) {
            if (!levels_[i].empty()) {
                Waiter dropped = std::move(levels_[i].front().waiter);
                levels_[i].pop_front();
                --size_;
                drop(std::move(dropped), queue_refusal::displaced);
                return true;
            }
        }
        return false;
    }

    request_queue_options options_;
    std::array<std::deque<item>, state::enum_size<state::priority>> levels_;
    std::size_t size_ = 0;
    /// Time of the last push to an empty queue.
    state::time_point busy_since_{};
};

} // namespace oriolegrade::coordination

namespace oriolegrade::state {

template <>
struct enum_names<coordination::queue_refusal>
{
    static constexpr std::array<std::string_view, 4> value{
        "full", "displaced", "waited_too_long", "deadline_passed"};
};

} // namespace oriolegrade::state

#endif
