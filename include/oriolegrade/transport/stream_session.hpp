// One HTTP/2 connection over nghttp2 and its streams. A session lives on one
// thread; any number of that thread's fibers may use it.

#ifndef ORIOLEGRADE_TRANSPORT_STREAM_SESSION_HPP
#define ORIOLEGRADE_TRANSPORT_STREAM_SESSION_HPP

#include <oriolegrade/transport/fiber_signal.hpp>
#include <oriolegrade/transport/stream_types.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

struct nghttp2_session;
struct nghttp2_session_callbacks;

namespace oriolegrade::transport {

class stream_session;
struct stream_callbacks;

/// One stream. Both directions carry bytes with backpressure: a writer waits
/// while its unsent bytes reach the limit, and a sender's window opens only
/// as far as the receiver has read.
class session_stream
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    session_stream(std::shared_ptr<stream_session> session, bool is_client);

    /// Later waits fail with `timed_out` after this time and reset the stream.
    void set_deadline(time_point deadline)
    {
        deadline_ = deadline;
    }

    /// Waits for bytes. 0 means that the peer finished its body.
    stream_result<std::size_t> read_some(boost::asio::mutable_buffer out);
    /// Waits for space and takes as many bytes as fit.
    stream_result<std::size_t> write_some(boost::asio::const_buffer data);
    stream_result<void> write_all(boost::asio::const_buffer data);
    /// Ends this side's body.
    void finish();
    /// Resets the stream with an error code of HTTP/2.
    void reset(std::uint32_t code);
    /// Waits for the peer's header block.
    stream_result<void> wait_headers();
    /// Headers of the peer, with the pseudo headers.
    const stream_headers& headers() const
    {
        return received_;
    }
    /// Called once when the stream ends before both sides have finished. The
    /// callback must not wait.
    void on_cancel(std::function<void()> callback);

    bool is_closed() const
    {
        return closed_;
    }
    std::uint32_t id() const
    {
        return static_cast<std::uint32_t>(id_);
    }
    /// Bytes written and not yet taken by the connection.
    std::size_t unsent_bytes() const
    {
        return output_.size() - output_begin_;
    }
    std::size_t unread_bytes() const
    {
        return input_.size() - input_begin_;
    }
    /// Sends the header block of an answer.
    stream_result<void> respond(unsigned status, const stream_headers& headers,
                                bool with_body);

private:
    friend class stream_session;
    friend struct stream_callbacks;

    stream_error error() const;
    stream_error expire();
    bool is_failed() const
    {
        return closed_ && !(input_ended_ && failure_ == std::nullopt);
    }
    void close(stream_failure failure, std::uint32_t code);
    std::size_t take_output(std::uint8_t* out, std::size_t limit);

    std::shared_ptr<stream_session> session_;
    const bool is_client_;
    std::int32_t id_ = 0;
    time_point deadline_ = time_point::max();
    stream_headers received_;
    std::size_t received_bytes_ = 0;
    bool headers_complete_ = false;
    std::string input_;
    std::size_t input_begin_ = 0;
    bool input_ended_ = false;
    std::string output_;
    std::size_t output_begin_ = 0;
    bool output_ended_ = false;
    /// nghttp2 asked for bytes when there were none.
    bool output_deferred_ = false;
    /// The header block may have left this process.
    bool headers_sent_ = false;
    bool responded_ = false;
    bool closed_ = false;
    std::optional<stream_failure> failure_;
    std::uint32_t code_ = 0;
    std::function<void()> cancelled_;
    fiber_signal changed_;
};

class stream_session : public std::enable_shared_from_this<stream_session>
{
public:
    using stream_ptr = std::shared_ptr<session_stream>;
    using request_handler = std::function<void(stream_ptr)>;

    /// Takes a connected socket. An empty handler makes it the client side.
    stream_session(boost::beast::tcp_stream socket, const stream_limits& limits,
                   request_handler on_request);
    ~stream_session();

    stream_session(const stream_session&) = delete;
    stream_session& operator=(const stream_session&) = delete;

    /// Starts the fibers that serve the connection.
    void start(fiber_group& group);
    /// Opens a stream of the client side; waits for capacity.
    stream_result<stream_ptr> open(std::string_view path,
                                   const stream_headers& headers,
                                   bool with_body,
                                   session_stream::time_point deadline);
    /// Asks the peer to open no more streams here. Those that it opens before
    /// it has heard this are served. A client closes the connection after its
    /// last stream; a server waits for that.
    void shut_down();
    /// Refuses all streams that have not reached the application yet.
    void refuse_new_streams();
    /// Ends the connection and all streams at once.
    void close();
    /// True when new streams can be opened.
    bool is_usable() const
    {
        return !closed_ && !draining_;
    }
    bool is_closed() const
    {
        return closed_;
    }
    std::size_t stream_count() const
    {
        return streams_.size();
    }
    const stream_limits& limits() const
    {
        return limits_;
    }

private:
    friend class session_stream;
    friend struct stream_callbacks;

    using clock = std::chrono::steady_clock;

    bool is_client() const
    {
        return !on_request_;
    }
    void submit_settings();
    void read_loop();
    void write_loop();
    void watch_loop();
    /// False when the connection is dead or idle for too long.
    bool check_liveness();
    bool fill_output(std::string& out);
    void schedule_write();
    stream_ptr find(std::int32_t id);
    void erase(std::int32_t id, stream_failure failure, std::uint32_t code);

    boost::beast::tcp_stream socket_;
    const stream_limits limits_;
    const request_handler on_request_;
    nghttp2_session* session_ = nullptr;
    std::unordered_map<std::int32_t, stream_ptr> streams_;
    bool closed_ = false;
    /// One side said that it is going away.
    bool draining_ = false;
    /// Streams that arrive now are refused.
    bool refusing_ = false;
    bool write_pending_ = false;
    bool ping_pending_ = false;
    clock::time_point last_received_ = clock::now();
    clock::time_point last_stream_ = clock::now();
    clock::time_point last_check_ = clock::now();
    fiber_signal writable_;
    fiber_signal ended_;
    fiber_signal capacity_;
};

} // namespace oriolegrade::transport

#endif
