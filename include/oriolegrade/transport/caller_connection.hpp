// One caller's connection: the requests in progress on it, the order of their
// answers, and its end. Used by the fibers of one thread.

#ifndef ORIOLEGRADE_TRANSPORT_CALLER_CONNECTION_HPP
#define ORIOLEGRADE_TRANSPORT_CALLER_CONNECTION_HPP

#include <oriolegrade/coordination/read_ahead.hpp>
#include <oriolegrade/transport/caller_input.hpp>
#include <oriolegrade/transport/fiber_signal.hpp>
#include <oriolegrade/transport/tcp.hpp>

#include <atomic>
#include <functional>
#include <list>

namespace oriolegrade::transport {

class caller_connection
{
public:
    using position = coordination::read_ahead_schedule::position;

    /// @param stopping true while the host stops
    /// @param on_input called in the reactor when bytes have arrived
    caller_connection(tcp_stream stream,
                      const coordination::read_ahead_limits& limits,
                      coordination::memory_budget& memory,
                      const std::atomic<bool>& stopping,
                      std::function<void()> on_input);

    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;

    tcp_stream& stream()
    {
        return stream_;
    }
    caller_input& input()
    {
        return input_;
    }

    /// Calls a function when the request need not go on, because its caller
    /// left or will send it again.
    class cancel_guard
    {
    public:
        cancel_guard(caller_connection& connection,
                     std::function<void()> cancel);
        ~cancel_guard();
        cancel_guard(const cancel_guard&) = delete;
        cancel_guard& operator=(const cancel_guard&) = delete;

    private:
        caller_connection& connection_;
        std::list<std::function<void()>>::iterator it_;
    };

    bool may_read() const
    {
        return !ended_ && !input_.ended() && schedule_.may_read(stopping_);
    }
    position add(coordination::run_order order, bool last)
    {
        return schedule_.add(order, last);
    }
    bool is_first(position it) const
    {
        return schedule_.is_first(it);
    }
    std::size_t unanswered() const
    {
        return schedule_.unanswered();
    }
    bool may_start(position it, coordination::run_order order,
                   bool memory) const
    {
        return schedule_.may_start(it, order, memory);
    }

    /// Waits until all requests before this one have been answered.
    /// @return false when the connection ended before
    bool await_turn(position it);
    /// See coordination::read_ahead_schedule.
    bool keeps_connection(position it, bool wanted)
    {
        return schedule_.keeps_connection(it, wanted, stopping_);
    }
    void answered(position it);

    /// Ends the connection after the last answer that it carries. Requests
    /// behind it are cancelled.
    void end();
    /// As end(), and shows the caller that the answer is incomplete, even when
    /// it has no length.
    void reset();
    bool ended() const
    {
        return ended_;
    }
    /// An answer closed the connection, while its caller had not left.
    bool ended_by_answer() const
    {
        return ended_ && !caller_left_;
    }
    /// Nobody waits for further answers.
    bool is_abandoned() const
    {
        return ended_ || input_.ended();
    }

    /// Marks the time in which the connection waits for a request and none is
    /// in progress.
    void set_idle(bool idle)
    {
        idle_ = idle;
    }
    /// Closes the connection unless a request is in progress or has begun to
    /// arrive.
    void close_if_idle();

    /// Closes the connection and waits for the end of reading. Call once, after
    /// end().
    /// @param linger requests may come that the caller sent ahead; then the
    ///        connection is closed by half and read until the caller closes
    ///        too, or has had time to. A request at a closed socket would reset
    ///        the connection and destroy the answers on their way.
    void close(bool linger);

private:
    /// Waits until the caller closes its side. The time begins anew while the
    /// caller has not received all answers, up to a bound.
    void linger_for_caller();
    void on_event();
    void cancel_all();

    tcp_stream stream_;
    const std::atomic<bool>& stopping_;
    std::function<void()> on_input_;
    caller_input input_;
    coordination::read_ahead_schedule schedule_;
    fiber_signal turn_;
    std::list<std::function<void()>> cancels_;
    bool ended_ = false;
    /// The caller had left when the connection ended.
    bool caller_left_ = false;
    bool idle_ = false;
};

} // namespace oriolegrade::transport

#endif
