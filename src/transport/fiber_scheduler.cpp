// Scheduling algorithm that waits in the io_context. Handlers run only on
// the dispatcher fiber: any other fiber that is about to suspend may hold
// the spinlock of its wait queue, and a handler would deadlock on it.

#include <oriolegrade/transport/fiber_scheduler.hpp>

#include "fiber_stacks.hpp"

#include <oriolegrade/transport/task_fault.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/fiber/scheduler.hpp>

#include <atomic>
#include <chrono>
#include <memory>

namespace oriolegrade::transport {

namespace {

namespace asio = boost::asio;
namespace fibers = boost::fibers;

class reactor_algorithm final : public fibers::algo::algorithm
{
public:
    explicit reactor_algorithm(std::shared_ptr<asio::io_context> ioc)
        : ioc_(std::move(ioc))
        , work_(ioc_->get_executor())
        , timer_(*ioc_)
    {}

    void awakened(fibers::context* ctx) noexcept override
    {
        ctx->ready_link(ready_);
    }

    fibers::context* pick_next() noexcept override
    {
        const auto* active = fibers::context::active();
        if (active->is_context(fibers::type::dispatcher_context)) {
            ioc_->poll();
        }
        if (ready_.empty()) {
            return nullptr;
        }
        fibers::context* ctx = &ready_.front();
        ready_.pop_front();
        return ctx;
    }

    bool has_ready_fibers() const noexcept override
    {
        return !ready_.empty();
    }

    void suspend_until(
        const std::chrono::steady_clock::time_point& limit) noexcept override
    {
        // A new expiry cancels the wait before, whose handler then ends
        // run_one at once. Arming on every call would do so each time, and
        // spin until the limit. An earlier expiry is left to pass instead.
        if (limit < armed_until_) {
            arm(limit);
        }
        // The scheduler looks at its remote queue again before it sleeps.
        if (!notified_.exchange(false, std::memory_order_acquire)) {
            ioc_->run_one();
        }
    }

    void notify() noexcept override
    {
        notified_.store(true, std::memory_order_release);
        asio::post(*ioc_, [] {});
    }

private:
    using time_point = std::chrono::steady_clock::time_point;

    void arm(const time_point& limit)
    {
        armed_until_ = limit;
        timer_.expires_at(limit);
        timer_.async_wait([this](const boost::system::error_code& ec) {
            // A cancelled wait was replaced, or this object is gone.
            if (!ec) {
                armed_until_ = time_point::max();
            }
        });
    }

    /// Owned by the scheduler, which the thread destroys last.
    std::shared_ptr<asio::io_context> ioc_;
    /// Keeps run_one from returning at once when nothing is outstanding.
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    asio::steady_timer timer_;
    /// Expiry of the wait under way; max() without one.
    time_point armed_until_ = time_point::max();
    /// Set by another thread that wakes a fiber of this one. The poll of
    /// pick_next consumes the handler that notify() posts, after the scheduler
    /// has looked at its remote queue.
    std::atomic<bool> notified_ = false;
    fibers::scheduler::ready_queue_type ready_;
};

} // namespace

void run_fibers(const std::function<void(asio::io_context&)>& main)
{
    auto ioc = std::make_shared<asio::io_context>(1);
    fibers::use_scheduling_algorithm<reactor_algorithm>(ioc);
    main(*ioc);
}

void spawn_fiber(std::function<void()> body)
{
    fibers::fiber(fibers::launch::post, std::allocator_arg,
                  thread_stack_allocator(),
                  [body = std::move(body)] { run_step("fiber", body); })
        .detach();
}

} // namespace oriolegrade::transport
