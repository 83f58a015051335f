// Order of the requests of one connection.

#include <oriolegrade/coordination/read_ahead.hpp>

#include <algorithm>
#include <cassert>

namespace oriolegrade::coordination {

read_ahead_schedule::read_ahead_schedule(std::uint32_t most_requests)
    : most_requests_(std::max<std::uint32_t>(most_requests, 1))
{}

bool read_ahead_schedule::may_read(bool stopping) const
{
    if (last_ || exclusive_ || unanswered() >= most_requests_) {
        return false;
    }
    return !stopping || unanswered() == 0;
}

read_ahead_schedule::position read_ahead_schedule::add(run_order order,
                                                       bool last)
{
    const auto it = next_++;
    if (order == run_order::exclusive) {
        exclusive_ = it;
    }
    if (last) {
        last_ = it;
    }
    return it;
}

bool read_ahead_schedule::may_start(position it, run_order order,
                                    bool memory) const
{
    if (is_first(it)) {
        return true;
    }
    const bool behind_exclusive = exclusive_ && *exclusive_ < it;
    return order == run_order::concurrent && memory && !behind_exclusive;
}

bool read_ahead_schedule::keeps_connection(position it, bool wanted,
                                           bool stopping)
{
    const bool nothing_behind = it + 1 == next_;
    if (last_ == it || !wanted || (stopping && nothing_behind)) {
        last_ = it;
        return false;
    }
    return true;
}

void read_ahead_schedule::answered(position it)
{
    assert(is_first(it));
    if (exclusive_ == it) {
        exclusive_.reset();
    }
    first_ = it + 1;
}

bool held_answers::take(std::uint64_t bytes)
{
    auto used = used_.load(std::memory_order_relaxed);
    do {
        if (bytes > limit_ || used > limit_ - bytes) {
            return false;
        }
    } while (!used_.compare_exchange_weak(used, used + bytes,
                                          std::memory_order_relaxed));
    return true;
}

void held_answers::give(std::uint64_t bytes)
{
    used_.fetch_sub(bytes, std::memory_order_relaxed);
}

bool held_share::take(std::uint64_t bytes)
{
    assert(taken_ == 0);
    if (!all_.take(bytes)) {
        return false;
    }
    taken_ = bytes;
    return true;
}

void held_share::shrink(std::uint64_t bytes)
{
    if (bytes < taken_) {
        all_.give(taken_ - bytes);
        taken_ = bytes;
    }
}

} // namespace oriolegrade::coordination
