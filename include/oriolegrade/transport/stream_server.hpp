// HTTP/2 server for calls between own processes: one fiber per stream.

#ifndef ORIOLEGRADE_TRANSPORT_STREAM_SERVER_HPP
#define ORIOLEGRADE_TRANSPORT_STREAM_SERVER_HPP

#include <oriolegrade/transport/stream_session.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <concepts>
#include <set>

namespace oriolegrade::transport {

/// A request and its answer, as the handler fiber sees them.
class server_stream
{
public:
    explicit server_stream(session_stream& stream)
        : stream_(stream)
    {}

    std::string_view path() const
    {
        return header(":path");
    }
    std::string_view header(std::string_view name) const
    {
        return find_header(stream_.headers(), name);
    }
    const stream_headers& headers() const
    {
        return stream_.headers();
    }
    /// Waits for bytes of the request; 0 at its end.
    stream_result<std::size_t> read_some(boost::asio::mutable_buffer out)
    {
        return stream_.read_some(out);
    }
    /// Reads the rest of the request; fails with `too_large` beyond the limit.
    stream_result<std::string> read_all(std::size_t limit);
    /// Starts the answer; its body follows by write_some.
    stream_result<void> respond(unsigned status,
                                const stream_headers& headers = {})
    {
        return stream_.respond(status, headers, true);
    }
    /// Sends a whole answer.
    stream_result<void> reply(unsigned status, std::string_view body,
                              const stream_headers& headers = {});
    stream_result<std::size_t> write_some(boost::asio::const_buffer data)
    {
        return stream_.write_some(data);
    }
    stream_result<void> write_all(boost::asio::const_buffer data)
    {
        return stream_.write_all(data);
    }
    /// Ends the answer. A handler that returns without it resets the stream,
    /// so that the peer never takes a partial answer for a whole one.
    void finish();
    /// Tells the peer that the request was not and will not be processed.
    void refuse();
    /// Waits fail with `timed_out` after this time.
    void set_deadline(session_stream::time_point deadline)
    {
        stream_.set_deadline(deadline);
    }
    /// Called when the peer resets the stream or the connection is lost.
    void on_cancel(std::function<void()> callback)
    {
        stream_.on_cancel(std::move(callback));
    }
    bool is_cancelled() const
    {
        return stream_.is_closed();
    }
    std::size_t unsent_bytes() const
    {
        return stream_.unsent_bytes();
    }
    bool is_finished() const
    {
        return finished_;
    }

private:
    session_stream& stream_;
    bool finished_ = false;
};

template <class Handler>
concept stream_handler = std::invocable<Handler&, server_stream&>;

/// Accept loop and connections of one thread.
class stream_server
{
public:
    /// @param fleet_key streams whose header differs are answered with 403
    ///        and never reach the handler
    template <stream_handler Handler>
    stream_server(boost::asio::ip::tcp::acceptor acceptor,
                  std::string fleet_key, const stream_limits& limits,
                  Handler handler)
        : stream_server(std::move(acceptor), std::move(fleet_key), limits,
                        std::function<void(server_stream&)>(std::move(handler)),
                        0)
    {}
    ~stream_server();

    /// Closes connections from other addresses at once. Call before start.
    /// @param is_admitted gets the peer's IPv4 address in host byte order
    template <std::predicate<std::uint32_t> Filter>
    void admit_only(Filter is_admitted)
    {
        is_admitted_ = std::move(is_admitted);
    }
    /// Starts the accept loop.
    void start();
    /// Stops accepting and sends GOAWAY. Streams in flight, and those opened
    /// before the peer heard of it, may finish until the limit; then they are
    /// cut. Returns when all fibers have ended.
    void stop(std::chrono::milliseconds limit);

    state::result<std::uint16_t, boost::system::error_code> port() const;
    std::size_t connection_count() const
    {
        return sessions_.size();
    }

private:
    stream_server(boost::asio::ip::tcp::acceptor acceptor,
                  std::string fleet_key, const stream_limits& limits,
                  std::function<void(server_stream&)> handler, int);

    void accept_loop();
    bool is_welcome(const boost::asio::ip::tcp::socket& socket) const;
    void start_session(boost::asio::ip::tcp::socket socket);
    void serve(const stream_session::stream_ptr& stream);
    bool is_member(const session_stream& stream) const;
    void drop_closed();
    void wait_for_peers(std::chrono::milliseconds limit);

    boost::asio::ip::tcp::acceptor acceptor_;
    const std::string fleet_key_;
    const stream_limits limits_;
    const std::function<void(server_stream&)> handler_;
    std::function<bool(std::uint32_t)> is_admitted_;
    std::set<std::shared_ptr<stream_session>> sessions_;
    fiber_group fibers_;
    bool stopping_ = false;
};

/// Opens a listening socket; port 0 picks one.
state::result<boost::asio::ip::tcp::acceptor, boost::system::error_code>
listen_on(boost::asio::io_context& ioc,
          const boost::asio::ip::tcp::endpoint& address);

} // namespace oriolegrade::transport

#endif
