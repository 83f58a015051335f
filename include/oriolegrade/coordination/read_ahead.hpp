// Decisions about requests that a caller sends before the earlier ones on its
// connection have been answered (HTTP/1.1 pipelining): which are read, which
// may run beside others, and what becomes of those behind an answer that closes
// the connection. Does no I/O.
//
// Load pattern: callers send many short reads ahead over one connection. A
// short one must not wait until a slow one before it has run. A caller that
// sends ahead without end, or does not read its answers, must not use up the
// memory of the host.

#ifndef ORIOLEGRADE_COORDINATION_READ_AHEAD_HPP
#define ORIOLEGRADE_COORDINATION_READ_AHEAD_HPP

#include <oriolegrade/state/enum_names.hpp>

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace oriolegrade::coordination {

struct read_ahead_limits
{
    /// Requests of one connection that were read and are not answered; at
    /// least 1, which reads nothing ahead.
    std::uint32_t requests = 8;
    /// Bytes of one connection that were received and not read as requests.
    std::size_t bytes = 64 * 1024;
    /// Answer bytes of all connections of a process that wait for their turn.
    std::uint64_t held_bytes = 8 * 1024 * 1024;
};

/// How a request runs beside others of its connection.
enum class run_order : std::uint8_t
{
    /// May run beside others: it may run twice and has no body.
    concurrent,
    /// Runs when all before it have been answered, and nothing behind it starts
    /// before its end: whatever is behind an answer that closes the connection
    /// is sent again by its caller.
    exclusive,
};

/// Requests of one connection, in the order in which they were read.
class read_ahead_schedule
{
public:
    using position = std::uint64_t;

    explicit read_ahead_schedule(std::uint32_t most_requests);

    /// True when the head of another request may be read.
    /// @param stopping the host stops; it answers what it has read
    bool may_read(bool stopping) const;

    /// A request was read.
    /// @param last its caller sends nothing behind it
    position add(run_order order, bool last);

    /// True when all requests before it have been answered.
    bool is_first(position it) const
    {
        return it == first_;
    }
    /// @param memory room for its answer until its turn, if it is not the first
    bool may_start(position it, run_order order, bool memory) const;

    /// Decides at the begin of an answer whether it closes the connection.
    /// @param wanted the caller and the answer allow the connection to go on
    bool keeps_connection(position it, bool wanted, bool stopping);

    /// The first request was answered. Those behind it are not, when its answer
    /// closes the connection.
    void answered(position it);

    /// Requests that were read and are not answered.
    std::size_t unanswered() const
    {
        return static_cast<std::size_t>(next_ - first_);
    }

private:
    std::uint64_t most_requests_;
    /// Oldest request without an answer; at most next_.
    position first_ = 0;
    position next_ = 0;
    /// Request that nothing may start beside, until it is answered.
    std::optional<position> exclusive_;
    /// Request whose answer closes the connection.
    std::optional<position> last_;
};

/// Memory of a process for answers that wait for their turn. Used by all worker
/// threads.
class held_answers
{
public:
    explicit held_answers(std::uint64_t limit)
        : limit_(limit)
    {}

    /// False when the limit would be exceeded; nothing is taken then.
    bool take(std::uint64_t bytes);
    void give(std::uint64_t bytes);

    std::uint64_t used() const
    {
        return used_.load(std::memory_order_relaxed);
    }

private:
    const std::uint64_t limit_;
    std::atomic<std::uint64_t> used_{0};
};

/// Part of held_answers that one request has taken.
class held_share
{
public:
    explicit held_share(held_answers& all)
        : all_(all)
    {}
    ~held_share()
    {
        shrink(0);
    }
    held_share(const held_share&) = delete;
    held_share& operator=(const held_share&) = delete;

    /// Takes bytes, once.
    bool take(std::uint64_t bytes);
    /// Gives back what exceeds the bytes.
    void shrink(std::uint64_t bytes);

private:
    held_answers& all_;
    std::uint64_t taken_ = 0;
};

} // namespace oriolegrade::coordination

namespace oriolegrade::state {

template <>
struct enum_names<coordination::run_order>
{
    static constexpr std::array<std::string_view, 2> value{"concurrent",
                                                           "exclusive"};
};

} // namespace oriolegrade::state

#endif
