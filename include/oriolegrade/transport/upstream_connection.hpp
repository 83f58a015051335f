// One HTTP/1.1 connection to an upstream. It carries one request at a time. An
// upstream may answer twice, so an answer belongs to a request by its id, and
// an id that may be sent again is sent on another connection.

#ifndef ORIOLEGRADE_TRANSPORT_UPSTREAM_CONNECTION_HPP
#define ORIOLEGRADE_TRANSPORT_UPSTREAM_CONNECTION_HPP

#include <oriolegrade/protocol/http_head.hpp>
#include <oriolegrade/state/time_type.hpp>
#include <oriolegrade/transport/connection_lease.hpp>
#include <oriolegrade/transport/tcp.hpp>

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

namespace oriolegrade::transport {

/// Answers of one connection that may come once more. With so many it is closed
/// after the last one, so a request reads past less than this before its own
/// answer.
inline constexpr std::size_t max_repeated_answers = 8;

class upstream_connection
{
public:
    upstream_connection(boost::asio::io_context& ioc,
                        const state::endpoint& address);
    ~upstream_connection();

    upstream_connection(const upstream_connection&) = delete;
    upstream_connection& operator=(const upstream_connection&) = delete;

    void connect(state::time_point deadline, error_code& ec);

    /// Prepares the next request; nothing is sent before the first body
    /// write or the end of the body.
    void begin(const protocol::request_head& head, state::time_point deadline);
    /// Sends body bytes, after the head when it is still unsent.
    void write_body(std::string_view bytes, error_code& ec);
    /// Sends what is left of the request.
    void finish_body(error_code& ec);

    /// Reads the head of the final answer; a few interim answers are skipped.
    protocol::answer_head read_head(error_code& ec);
    /// Reads answer bytes; 0 without an error at the end of the answer. An
    /// answer that ends short of its length gives an error.
    std::size_t read_body(std::span<char> buf, error_code& ec);

    /// Prepares to read one more answer, after one that belonged to another
    /// request. False when the connection carries no more answers, or when
    /// the next one cannot be found for certain.
    bool expect_another();

    /// Notes that the present request was answered and may be sent again. A
    /// copy of the answer may come at any later time, where the answer to
    /// another send of the request would be due.
    /// @param request_id empty when the answer repeats no id; a copy cannot be
    ///        told from any answer then, so the connection is not used again
    void note_retryable_answer(std::string_view request_id);
    /// True when a copy of an answer to the request may come.
    bool may_repeat_answer(std::string_view request_id) const;

    /// Changes the deadline of the operations that follow.
    void expires_at(state::time_point deadline);

    /// True when a byte of the current request may have reached the upstream.
    bool request_sent() const;

    /// True when the answer was read to its end and the connection may carry
    /// another request, but for those of may_repeat_answer(). Never after HEAD.
    bool reusable() const;

    /// True when the idle connection is open and has no unread bytes.
    bool idle_open();

    /// Closes the connection; the operation that waits on it fails.
    void cancel();

    const state::endpoint& address() const
    {
        return address_;
    }
    /// Tells the connections of the process apart in its log.
    std::uint64_t number() const
    {
        return number_;
    }

    /// Time since when the connection is idle; kept by the pool.
    state::time_point idle_since{};

    /// Idle time after which the upstream said that it closes the connection;
    /// max() when it said nothing.
    state::duration peer_idle_limit = state::duration::max();

    /// Counts the connection against the upstream's budget; kept by the
    /// pool.
    connection_lease lease;
    /// Connections that the process may keep open to the upstream.
    std::uint32_t max_connections = 1;

private:
    struct exchange;

    /// Sends what is unsent of the head, and bytes of the body behind it.
    template <class Buffers>
    void write(const Buffers& body, error_code& ec);

    /// Hashes of the ids of note_retryable_answer(). Two ids with one hash cost
    /// a new connection.
    std::vector<std::size_t> retryable_ids_;

    state::endpoint address_;
    const std::uint64_t number_;
    tcp_stream stream_;
    std::unique_ptr<exchange> exchange_;
};

} // namespace oriolegrade::transport

#endif
