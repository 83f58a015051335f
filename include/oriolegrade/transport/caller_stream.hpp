// A caller's connection as source of a request body and as sink of an
// answer.

#ifndef ORIOLEGRADE_TRANSPORT_CALLER_STREAM_HPP
#define ORIOLEGRADE_TRANSPORT_CALLER_STREAM_HPP

#include <oriolegrade/protocol/http_head.hpp>
#include <oriolegrade/state/reply_reason.hpp>
#include <oriolegrade/state/time_type.hpp>
#include <oriolegrade/transport/tcp.hpp>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>

#include <cstdint>
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

/// Reads requests from a connection, one after the other.
class caller_request
{
public:
    caller_request(tcp_stream& stream, boost::beast::flat_buffer& buffer,
                   const caller_io_limits& limits);

    /// Waits for the first byte of a request on an idle connection.
    void wait_for_request(error_code& ec);

    /// Reads the head of a request.
    /// @return the head; on error `ec` is set and reply_for() tells whether
    ///         the caller gets a reply
    protocol::request_head read_head(error_code& ec);

    /// Refuses bodies above the limit: read_some() fails with
    /// boost::beast::http::error::body_limit.
    void set_body_limit(std::uint64_t bytes);

    /// Body bytes; 0 without an error at the end. Answers `Expect:
    /// 100-continue` before the first read.
    std::size_t read_some(std::span<char> buf, error_code& ec);

    /// True when the request was read to its end.
    bool done() const;
    bool keep_alive() const;
    unsigned version() const;
    bool is_head() const;

private:
    void send_continue(error_code& ec);

    tcp_stream& stream_;
    boost::beast::flat_buffer& buffer_;
    const caller_io_limits& limits_;
    boost::beast::http::request_parser<boost::beast::http::buffer_body> parser_;
    bool continue_expected_ = false;
};

/// Writes one answer. Until finish() the caller can tell that the answer is
/// incomplete.
class caller_answer
{
public:
    /// @param keep_alive the connection serves another request afterwards
    caller_answer(tcp_stream& stream, const caller_io_limits& limits,
                  unsigned version, bool is_head, bool keep_alive);

    /// Adds a field to the head that start() gets, unless it has one.
    void add_field(protocol::header_field field, std::string_view value);

    void start(const protocol::answer_head& head, error_code& ec);
    void write(std::string_view bytes, error_code& ec);
    void finish(error_code& ec);

    bool started() const
    {
        return serializer_.has_value();
    }
    bool finished() const
    {
        return finished_;
    }

private:
    void flush(error_code& ec);

    tcp_stream& stream_;
    const caller_io_limits& limits_;
    unsigned version_;
    bool is_head_;
    bool keep_alive_;
    bool finished_ = false;
    protocol::http_fields added_;
    /// Body bytes that the head promises and that are not written yet; empty
    /// for a chunked answer.
    std::optional<std::uint64_t> remaining_;
    boost::beast::http::response<boost::beast::http::buffer_body> message_;
    std::optional<boost::beast::http::response_serializer<
        boost::beast::http::buffer_body>>
        serializer_;
};

/// Reply for an error of caller_request::read_head(), if there is one.
std::optional<state::reply_reason> reply_for(const error_code& ec);

} // namespace oriolegrade::transport

#endif
