// Accept loop, fleet key and handler fibers of the stream server.

#include <oriolegrade/transport/stream_server.hpp>

#include <oriolegrade/protocol/header_field.hpp>
#include <oriolegrade/transport/event_log.hpp>
#include <oriolegrade/transport/fiber_yield.hpp>
#include <oriolegrade/transport/task_fault.hpp>

#include <boost/fiber/operations.hpp>
#include <nghttp2/nghttp2.h>
#include <openssl/crypto.h>

#include <array>

namespace oriolegrade::transport {

namespace {

using namespace std::chrono_literals;

/// Connections of one thread: about two per host of the largest fleet.
constexpr std::size_t max_connections = 2048;
constexpr int listen_backlog = 1024;
/// Wait after a failed accept, for example when descriptors run out.
constexpr std::chrono::milliseconds accept_pause{20};
/// Time for the final GOAWAY to reach peers before their streams are cut.
constexpr std::chrono::milliseconds final_goaway_time = 50ms;

} // namespace

stream_result<std::string> server_stream::read_all(std::size_t limit)
{
    std::string out;
    std::array<char, 4096> piece;
    while (true) {
        const auto n = stream_.read_some(boost::asio::buffer(piece));
        if (!n) {
            return n.error();
        }
        if (n.value() == 0) {
            return out;
        }
        if (out.size() + n.value() > limit) {
            return stream_error{stream_failure::too_large, true};
        }
        out.append(piece.data(), n.value());
    }
}

stream_result<void> server_stream::reply(unsigned status, std::string_view body,
                                         const stream_headers& headers)
{
    const auto started = stream_.respond(status, headers, !body.empty());
    if (!started) {
        return started;
    }
    const auto written =
        stream_.write_all(boost::asio::buffer(body.data(), body.size()));
    if (written) {
        finish();
    }
    return written;
}

void server_stream::finish()
{
    finished_ = true;
    stream_.finish();
}

void server_stream::refuse()
{
    finished_ = true;
    stream_.reset(NGHTTP2_REFUSED_STREAM);
}

stream_server::stream_server(boost::asio::ip::tcp::acceptor acceptor,
                             std::string fleet_key, const stream_limits& limits,
                             std::function<void(server_stream&)> handler, int)
    : acceptor_(std::move(acceptor))
    , fleet_key_(std::move(fleet_key))
    , limits_(limits)
    , handler_(std::move(handler))
{}

stream_server::~stream_server()
{
    stop(0ms);
}

void stream_server::start()
{
    fibers_.spawn([this] { accept_loop(); });
}

void stream_server::accept_loop()
{
    repeat_while([this] { return !stopping_; }, "stream_accept", accept_pause,
                 [this] {
                     boost::asio::ip::tcp::socket socket(
                         acceptor_.get_executor());
                     boost::system::error_code ec;
                     acceptor_.async_accept(socket, fiber_yield(ec));
                     if (stopping_) {
                         return;
                     }
                     drop_closed();
                     if (ec) {
                         event(log_level::warning, "stream_accept_failed")
                             .with("reason", ec.message());
                         // Out of descriptors, most likely: wait for
                         // connections to end.
                         boost::this_fiber::sleep_for(accept_pause);
                     } else if (is_welcome(socket)) {
                         start_session(std::move(socket));
                     }
                 });
}

bool stream_server::is_welcome(const boost::asio::ip::tcp::socket& socket) const
{
    if (sessions_.size() >= max_connections) {
        event(log_level::warning, "too_many_stream_connections")
            .with("limit", max_connections);
        return false;
    }
    if (!is_admitted_) {
        return true;
    }
    boost::system::error_code ec;
    const auto peer = socket.remote_endpoint(ec);
    return !ec && peer.address().is_v4() &&
           is_admitted_(peer.address().to_v4().to_uint());
}

void stream_server::start_session(boost::asio::ip::tcp::socket socket)
{
    boost::system::error_code ec;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ec);
    const auto session = std::make_shared<stream_session>(
        boost::beast::tcp_stream(std::move(socket)), limits_,
        [this](const stream_session::stream_ptr& stream) {
            fibers_.spawn([this, stream] { serve(stream); });
        });
    sessions_.insert(session);
    session->start(fibers_);
}

void stream_server::drop_closed()
{
    std::erase_if(sessions_, [](const auto& it) { return it->is_closed(); });
}

bool stream_server::is_member(const session_stream& stream) const
{
    const auto key = find_header(
        stream.headers(), state::name_of(protocol::header_field::fleet_key));
    return key.size() == fleet_key_.size() &&
           CRYPTO_memcmp(key.data(), fleet_key_.data(), key.size()) == 0;
}

void stream_server::serve(const stream_session::stream_ptr& stream)
{
    server_stream facade(*stream);
    if (!is_member(*stream)) {
        event(log_level::warning, "wrong_fleet_key")
            .with("path", facade.path());
        static_cast<void>(facade.reply(403, ""));
        return;
    }
    run_step(facade.path(), [&] { handler_(facade); });
    if (!facade.is_finished()) {
        stream->reset(NGHTTP2_INTERNAL_ERROR);
    }
}

void stream_server::wait_for_peers(std::chrono::milliseconds limit)
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    drop_closed();
    while (!sessions_.empty() && std::chrono::steady_clock::now() < deadline) {
        boost::this_fiber::sleep_for(5ms);
        drop_closed();
    }
}

void stream_server::stop(std::chrono::milliseconds limit)
{
    if (stopping_) {
        return;
    }
    stopping_ = true;
    boost::system::error_code ec;
    acceptor_.close(ec);
    for (const auto& it : sessions_) {
        it->shut_down();
    }
    wait_for_peers(limit);
    if (!sessions_.empty()) {
        for (const auto& it : sessions_) {
            it->refuse_new_streams();
        }
        wait_for_peers(std::min(limit, final_goaway_time));
    }
    for (const auto& it : sessions_) {
        it->close();
    }
    fibers_.join();
    sessions_.clear();
}

state::result<std::uint16_t, boost::system::error_code>
stream_server::port() const
{
    boost::system::error_code ec;
    const auto address = acceptor_.local_endpoint(ec);
    if (ec) {
        return ec;
    }
    return address.port();
}

state::result<boost::asio::ip::tcp::acceptor, boost::system::error_code>
listen_on(boost::asio::io_context& ioc,
          const boost::asio::ip::tcp::endpoint& address)
{
    boost::asio::ip::tcp::acceptor out(ioc);
    boost::system::error_code ec;
    out.open(address.protocol(), ec);
    if (!ec) {
        out.set_option(boost::asio::socket_base::reuse_address(true), ec);
    }
    if (!ec) {
        // Each thread of a process has its own listener on the same port.
        const int on = 1;
        ::setsockopt(out.native_handle(), SOL_SOCKET, SO_REUSEPORT, &on,
                     sizeof on);
        out.bind(address, ec);
    }
    if (!ec) {
        out.listen(listen_backlog, ec);
    }
    if (ec) {
        return ec;
    }
    return out;
}

} // namespace oriolegrade::transport
