// A value that another thread or fiber delivers to a waiting fiber.

#ifndef ORIOLEGRADE_TRANSPORT_FIBER_RESULT_HPP
#define ORIOLEGRADE_TRANSPORT_FIBER_RESULT_HPP

#include <oriolegrade/state/time_type.hpp>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <memory>
#include <mutex>
#include <optional>

namespace oriolegrade::transport {

/// Shared by the waiting fiber and the callback that delivers. The callback
/// may come after the fiber gave up.
template <class Value>
class fiber_result
{
public:
    /// Delivers the value. Only the first call counts.
    void set(Value value)
    {
        {
            const std::lock_guard lock(mutex_);
            if (!value_) {
                value_ = std::move(value);
            }
        }
        set_.notify_all();
    }

    /// Waits for the value; empty when it is not there at the deadline.
    std::optional<Value> wait_until(state::time_point deadline)
    {
        std::unique_lock lock(mutex_);
        set_.wait_until(lock, deadline, [this] { return value_.has_value(); });
        return value_;
    }

private:
    boost::fibers::mutex mutex_;
    boost::fibers::condition_variable set_;
    std::optional<Value> value_;
};

} // namespace oriolegrade::transport

#endif
