// A caller's connection as source of a request body and as sink of an
// answer.

#ifndef ORIOLEGRADE_TRANSPORT_CALLER_STREAM_HPP
#define ORIOLEGRADE_TRANSPORT_CALLER_STREAM_HPP

#include <oriolegrade/coordination/read_ahead.hpp>
#include <oriolegrade/protocol/http_head.hpp>
#include <oriolegrade/protocol/request_parser.hpp>
#include <oriolegrade/state/reply_reason.hpp>
#include <oriolegrade/state/time_type.hpp>
#include <oriolegrade/transport/caller_connection.hpp>
#include <oriolegrade/transport/tcp.hpp>

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/serializer.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string_view>

namespace oriolegrade::transport {

/// Time limits of a caller's connection.
struct caller_io_limits
{
    std::uint32_t max_head_bytes = 16 * 1024;
    /// Wait for the next request on an idle connection.
    state::duration idle = std::chrono::seconds(60);
    /// Time for one head, or for progress of a body.
    state::duration progress = std::chrono::seconds(20);
};

/// Reads one request from a connection.
class caller_request
{
public:
    caller_request(caller_connection& connection,
                   const caller_io_limits& limits);

    /// Waits for the first byte of a request on an idle connection, which empty
    /// lines do not end.
    void wait_for_request(error_code& ec);

    /// Reads the head of a request.
    /// @return the head; on error `ec` is set and reply_for() tells whether
    ///         the caller gets a reply
    protocol::request_head read_head(error_code& ec);

    /// Reply for an error of read_head(), if there is one.
    std::optional<state::reply_reason> reply_for(const error_code& ec) const;

    /// Why the host answers the request itself; empty when it may be forwarded.
    /// To be called after read_head().
    std::optional<state::reply_reason> refusal() const
    {
        return refusal_;
    }

    /// Refuses bodies above the limit: read_some() fails with
    /// boost::beast::http::error::body_limit.
    void set_body_limit(std::uint64_t bytes);

    /// Body bytes; 0 without an error at the end. Answers `Expect:
    /// 100-continue` before the first read.
    std::size_t read_some(std::span<char> buf, error_code& ec);

    /// Nobody waits for the answer any more.
    bool is_abandoned() const
    {
        return connection_.is_abandoned();
    }

    /// When the last byte of the head had arrived.
    state::time_point arrival() const
    {
        return arrival_;
    }

    /// True when the request was read to its end.
    bool done() const
    {
        return parser_.done();
    }
    bool keep_alive() const
    {
        return parser_.keep_alive();
    }
    unsigned version() const
    {
        return parser_.version();
    }
    bool is_head() const
    {
        return parser_.is_head_method();
    }

private:
    void send_continue(error_code& ec);

    caller_connection& connection_;
    const caller_io_limits& limits_;
    protocol::request_parser parser_;
    state::time_point arrival_{};
    bool continue_expected_ = false;
    std::optional<state::reply_reason> refusal_;
};

/// Writes one answer when it is its turn. Until finish() the caller can tell
/// that the answer is incomplete.
class caller_answer
{
public:
    /// @param at place of the request on its connection
    /// @param held memory that the answer may use until its turn
    caller_answer(caller_connection& connection, caller_connection::position at,
                  const caller_request& request, const caller_io_limits& limits,
                  coordination::held_share& held);

    /// Adds a field to the head that start() gets, unless it has one.
    void add_field(protocol::header_field field, std::string_view value);

    /// Waits for the turn of the answer.
    /// @param ec operation_aborted when the connection ended before;
    ///        already_started for a second answer, of which nothing is written
    void start(const protocol::answer_head& head, error_code& ec);
    /// Writes bytes of the body; drops them when the answer must not have one.
    void write(std::string_view bytes, error_code& ec);
    void finish(error_code& ec);

    bool started() const
    {
        return serializer_.has_value();
    }
    /// When the answer started; empty before.
    std::optional<state::time_point> began() const
    {
        return began_;
    }
    bool finished() const
    {
        return finished_;
    }
    /// The caller sees when the connection ends before the answer does: it has
    /// a length or chunks, and the caller still takes it.
    bool shows_its_end() const
    {
        return is_framed_ && !is_abandoned();
    }
    /// The connection may carry another request after this answer.
    bool keeps_connection() const
    {
        return keep_alive_;
    }

    /// Waits for the turn of the answer before it is started.
    /// @return false when the connection ended before
    bool await_turn();
    /// Requests in front of this one when it was read.
    std::size_t read_behind() const
    {
        return read_behind_;
    }
    /// Time for which a complete answer waited for its turn.
    state::duration turn_wait() const
    {
        return turn_wait_;
    }
    /// An answer before this one closed the connection, or nobody waits for
    /// answers on it any more.
    bool is_abandoned() const
    {
        return connection_.is_abandoned();
    }
    /// The caller has not left, but an answer before this one closed the
    /// connection: the caller sends the request again.
    bool is_dropped() const
    {
        return connection_.ended_by_answer() && !has_turn_;
    }
    /// Calls a function when the request need not go on, while the guard
    /// lives.
    void on_cancel(std::function<void()> cancel,
                   std::optional<caller_connection::cancel_guard>& guard)
    {
        guard.emplace(connection_, std::move(cancel));
    }
    /// Address of the caller's side of the connection.
    boost::asio::ip::tcp::endpoint peer(error_code& ec)
    {
        return connection_.stream().socket().remote_endpoint(ec);
    }

private:
    void flush(error_code& ec);

    caller_connection& connection_;
    caller_connection::position at_;
    const caller_request& request_;
    const caller_io_limits& limits_;
    coordination::held_share& held_;
    std::size_t read_behind_;
    state::duration turn_wait_{};
    std::optional<state::time_point> began_;
    bool keep_alive_;
    /// All answers before this one have been written.
    bool has_turn_ = false;
    bool finished_ = false;
    /// The answer has a body by its method and status.
    bool has_body_ = true;
    /// Its head has been started, and it does not end with the connection.
    bool is_framed_ = false;
    protocol::http_fields added_;
    /// Body bytes that the head promises and that are not written yet; empty
    /// for a chunked answer.
    std::optional<std::uint64_t> remaining_;
    boost::beast::http::response<boost::beast::http::buffer_body> message_;
    std::optional<boost::beast::http::response_serializer<
        boost::beast::http::buffer_body>>
        serializer_;
};

} // namespace oriolegrade::transport

#endif
