// HTTP/2 client for calls between own processes: one connection per remote
// endpoint and thread, opened when needed and again after it was lost.

#ifndef ORIOLEGRADE_TRANSPORT_STREAM_CLIENT_HPP
#define ORIOLEGRADE_TRANSPORT_STREAM_CLIENT_HPP

#include <oriolegrade/coordination/answer_limit.hpp>
#include <oriolegrade/state/endpoint.hpp>
#include <oriolegrade/state/enum_names.hpp>
#include <oriolegrade/transport/stream_session.hpp>

#include <boost/asio/io_context.hpp>

#include <array>
#include <optional>
#include <string_view>

namespace oriolegrade::transport {

/// A stream of the client side. Destroying it before the answer is complete
/// resets the stream, which cancels the peer's handler.
class client_stream
{
public:
    explicit client_stream(stream_session::stream_ptr stream)
        : stream_(std::move(stream))
    {}
    ~client_stream();
    client_stream(client_stream&&) = default;
    client_stream& operator=(client_stream&& other) noexcept
    {
        std::swap(stream_, other.stream_);
        std::swap(complete_, other.complete_);
        return *this;
    }

    stream_result<std::size_t> write_some(boost::asio::const_buffer data)
    {
        return stream_->write_some(data);
    }
    stream_result<void> write_all(boost::asio::const_buffer data)
    {
        return stream_->write_all(data);
    }
    void finish()
    {
        stream_->finish();
    }
    /// Waits for the answer's headers and returns its status.
    stream_result<unsigned> status();
    const stream_headers& headers() const
    {
        return stream_->headers();
    }
    /// Waits for bytes of the answer; 0 at its end.
    stream_result<std::size_t> read_some(boost::asio::mutable_buffer out);
    /// Resets the stream.
    void cancel();
    void set_deadline(session_stream::time_point deadline)
    {
        stream_->set_deadline(deadline);
    }
    std::size_t unsent_bytes() const
    {
        return stream_->unsent_bytes();
    }
    std::size_t unread_bytes() const
    {
        return stream_->unread_bytes();
    }

private:
    stream_session::stream_ptr stream_;
    bool complete_ = false;
};

struct stream_reply
{
    unsigned status = 0;
    stream_headers headers;
    std::string body;
};

/// What the time limit of a call covers.
enum class limit_scope : std::uint8_t
{
    whole_answer,
    /// The begin of the answer, and then each further part.
    each_part,
};

/// Calls to one endpoint from one thread.
class stream_client
{
public:
    stream_client(boost::asio::io_context& ioc, state::endpoint peer,
                  std::string fleet_key, const stream_limits& limits);
    ~stream_client();

    /// Opens a stream whose body is written by the caller. The timeout covers
    /// the whole exchange unless the stream gets another deadline.
    stream_result<client_stream> open(std::string_view path,
                                      const stream_headers& headers,
                                      std::chrono::milliseconds timeout);
    /// Sends a body and reads the whole answer.
    stream_result<stream_reply>
    call(std::string_view path, const stream_headers& headers,
         std::string_view body, std::chrono::milliseconds timeout,
         limit_scope scope = limit_scope::whole_answer);
    /// Closes the connection and waits until its fibers have ended.
    void stop();

    bool is_connected() const
    {
        return session_ && session_->is_usable();
    }
    const state::endpoint& peer() const
    {
        return peer_;
    }

private:
    using clock = std::chrono::steady_clock;

    /// Null when the connection could not be opened.
    std::shared_ptr<stream_session> connected(clock::time_point deadline);
    bool connect();
    /// @param parts limit of each part; empty when the stream's own holds
    stream_result<stream_reply>
    read_reply(client_stream& stream,
               const std::optional<coordination::answer_limit>& parts) const;

    boost::asio::io_context& ioc_;
    const state::endpoint peer_;
    const std::string fleet_key_;
    const stream_limits limits_;
    std::shared_ptr<stream_session> session_;
    /// Connections that wait for their last streams after a GOAWAY.
    std::vector<std::shared_ptr<stream_session>> retired_;
    bool connecting_ = false;
    bool stopping_ = false;
    /// After a failed attempt, calls fail at once until this time, so that a
    /// dead peer costs no connection attempt per call.
    clock::time_point retry_at_{};
    std::chrono::milliseconds backoff_;
    fiber_signal connected_;
    fiber_group fibers_;
};

} // namespace oriolegrade::transport

namespace oriolegrade::state {

template <>
struct enum_names<transport::limit_scope>
{
    static constexpr std::array<std::string_view, 2> value{"whole_answer",
                                                           "each_part"};
};

} // namespace oriolegrade::state

#endif
