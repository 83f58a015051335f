// Bytes that a caller sends, received while earlier requests run. Because the
// connection is read all the time, a caller that leaves is noticed at once.

#ifndef ORIOLEGRADE_TRANSPORT_CALLER_INPUT_HPP
#define ORIOLEGRADE_TRANSPORT_CALLER_INPUT_HPP

#include <oriolegrade/coordination/memory_budget.hpp>
#include <oriolegrade/state/time_type.hpp>
#include <oriolegrade/transport/fiber_signal.hpp>
#include <oriolegrade/transport/tcp.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <string_view>

namespace oriolegrade::transport {

class caller_input
{
public:
    /// @param limit bytes that are kept unread; the connection is not read
    ///        beyond it, so that the caller's sends block
    /// @param memory what more than the first bytes are taken from; while it is
    ///        short, the connection is not read beyond them
    /// @param on_event called in the reactor after bytes have arrived or the
    ///        connection has ended
    caller_input(tcp_stream& stream, std::size_t limit,
                 coordination::memory_budget& memory,
                 std::function<void()> on_event);

    caller_input(const caller_input&) = delete;
    caller_input& operator=(const caller_input&) = delete;

    /// Begins to read.
    void start();
    /// Ends reading and waits until no handler is pending. The connection must
    /// be closed.
    void join();
    /// Wakes all fibers in wait_more(), which then fail.
    void cancel();

    /// Received bytes that were not consumed.
    std::string_view bytes() const;
    void consume(std::size_t n);
    /// Frees memory that an idle connection does not need.
    void trim();
    /// Bytes of memory in use for what was received.
    std::size_t capacity() const
    {
        return buffer_.capacity();
    }
    /// Raises the limit, for heads that may be longer.
    void allow(std::size_t limit);

    /// Waits until more than `known` bytes are there.
    /// @param ec the connection's error, boost::beast::error::timeout at the
    ///        deadline, or operation_aborted after cancel()
    void wait_more(std::size_t known, state::time_point deadline,
                   error_code& ec);

    /// Drops what arrives until the caller closes its side, or the deadline.
    /// Works after cancel().
    void discard(state::time_point deadline);

    /// When the last consumed byte had arrived, or shortly before.
    state::time_point arrival() const
    {
        return arrival_;
    }
    /// The caller closed the connection, or it broke.
    bool ended() const
    {
        return static_cast<bool>(end_);
    }

private:
    /// Time of arrival of the bytes before `end`, counted from the start.
    struct arrival_mark
    {
        std::uint64_t end;
        state::time_point at;
    };

    /// Runs a step of a handler. An exception that left it would end the
    /// process; instead the connection counts as broken.
    template <std::invocable Step>
    void run_in_reactor(Step step);
    void wait_readable();
    void receive();
    void watch_closed();
    void finish(const error_code& ec);
    void note_arrival(std::size_t n);
    /// Gets memory for the bytes; false when there is none.
    bool reserve(std::size_t bytes);
    /// Gives back what the buffer no longer uses.
    void release_memory();

    tcp_stream& stream_;
    std::size_t limit_;
    coordination::memory_share memory_;
    /// The connection is not read for want of memory.
    bool starved_ = false;
    std::function<void()> on_event_;
    boost::beast::flat_buffer buffer_;
    /// Wakes up at an interval while the connection is not read.
    boost::asio::steady_timer timer_;
    fiber_signal changed_;
    /// Handlers in the reactor that refer to this object.
    int pending_ = 0;
    bool cancelled_ = false;
    /// Why nothing more will arrive.
    error_code end_;
    std::uint64_t received_ = 0;
    std::uint64_t consumed_ = 0;
    /// In the order of arrival; at most max_marks.
    std::deque<arrival_mark> marks_;
    state::time_point arrival_{};
};

} // namespace oriolegrade::transport

#endif
