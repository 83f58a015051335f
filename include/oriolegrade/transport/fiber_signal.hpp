// Waiting between fibers of one thread.

#ifndef ORIOLEGRADE_TRANSPORT_FIBER_SIGNAL_HPP
#define ORIOLEGRADE_TRANSPORT_FIBER_SIGNAL_HPP

#include <oriolegrade/transport/fiber_scheduler.hpp>
#include <oriolegrade/transport/task_fault.hpp>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <mutex>

namespace oriolegrade::transport {

/// Wakes fibers that wait for a condition over plain variables. All users
/// live on one thread, so the variables need no lock of their own.
class fiber_signal
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    template <class Predicate>
    void wait(Predicate ready)
    {
        std::unique_lock lock(mutex_);
        condition_.wait(lock, ready);
    }

    /// False when the time is over and the condition does not hold.
    template <class Predicate>
    bool wait_until(time_point deadline, Predicate ready)
    {
        if (deadline == time_point::max()) {
            wait(ready);
            return true;
        }
        std::unique_lock lock(mutex_);
        return condition_.wait_until(lock, deadline, ready);
    }

    void notify()
    {
        condition_.notify_all();
    }

private:
    /// Demanded by the condition variable; never contended.
    boost::fibers::mutex mutex_;
    boost::fibers::condition_variable condition_;
};

/// Counts fibers, so that their owner can wait for their end.
class fiber_group
{
public:
    template <class Body>
    void spawn(Body body)
    {
        spawn_fiber([this, body = std::move(body)]() mutable {
            run_step("fiber", [&body] {
                // Destroys what the body holds before the fiber counts as
                // ended.
                auto own = std::move(body);
                own();
            });
            --running_;
            ended_.notify();
        });
        // After the only step that can throw; the fiber has not begun.
        ++running_;
    }

    std::size_t running() const
    {
        return running_;
    }

    /// Waits until all fibers have ended.
    void join()
    {
        ended_.wait([this] { return running_ == 0; });
    }

private:
    std::size_t running_ = 0;
    fiber_signal ended_;
};

} // namespace oriolegrade::transport

#endif
