// Slots of the upstream stand-in with a bounded queue in order of arrival.
// For fibers of one thread.

#ifndef ORIOLEGRADE_PROGRAMS_SLOT_GATE_HPP
#define ORIOLEGRADE_PROGRAMS_SLOT_GATE_HPP

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <deque>
#include <mutex>

namespace oriolegrade::programs {

class slot_gate
{
public:
    slot_gate(std::size_t slots, std::size_t queue_limit)
        : slots_(slots)
        , queue_limit_(queue_limit)
    {}

    /// Waits for a slot. False when the queue is full or the time is over.
    bool enter(std::chrono::milliseconds limit)
    {
        if (used_ < slots_) {
            ++used_;
            return true;
        }
        if (queue_.size() >= queue_limit_) {
            return false;
        }
        waiter self;
        queue_.push_back(&self);
        std::unique_lock lock(mutex_);
        self.wake.wait_for(lock, limit, [&] { return self.granted; });
        if (!self.granted) {
            queue_.erase(std::find(queue_.begin(), queue_.end(), &self));
        }
        return self.granted;
    }

    /// Passes the slot to the longest waiting fiber or frees it.
    void leave()
    {
        if (queue_.empty()) {
            --used_;
            return;
        }
        auto* next = queue_.front();
        queue_.pop_front();
        next->granted = true;
        next->wake.notify_one();
    }

    std::size_t used() const
    {
        return used_;
    }
    std::size_t slots() const
    {
        return slots_;
    }
    std::size_t queued() const
    {
        return queue_.size();
    }

private:
    struct waiter
    {
        bool granted = false;
        boost::fibers::condition_variable wake;
    };

    const std::size_t slots_;
    const std::size_t queue_limit_;
    std::size_t used_ = 0;
    std::deque<waiter*> queue_;
    /// Demanded by the condition variable; one thread never contends.
    boost::fibers::mutex mutex_;
};

} // namespace oriolegrade::programs

#endif
