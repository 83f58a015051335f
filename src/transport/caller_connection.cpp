// Turns of the answers on a caller's connection, and its end.

#include <oriolegrade/transport/caller_connection.hpp>

#include <utility>

namespace oriolegrade::transport {

namespace {

/// Time for a caller to take what was written and to close its side. A slow one
/// takes seconds for a few answers; each connection in this state costs a
/// descriptor and no more than the bytes that it reads.
constexpr std::chrono::milliseconds linger_time{5000};

} // namespace

caller_connection::caller_connection(
    tcp_stream stream, const coordination::read_ahead_limits& limits,
    const std::atomic<bool>& stopping, std::function<void()> on_input)
    : stream_(std::move(stream))
    , stopping_(stopping)
    , on_input_(std::move(on_input))
    , input_(stream_, limits.bytes, [this] { on_event(); })
    , schedule_(limits.requests)
{}

caller_connection::cancel_guard::cancel_guard(caller_connection& connection,
                                              std::function<void()> cancel)
    : connection_(connection)
    , it_(connection.cancels_.insert(connection.cancels_.end(),
                                     std::move(cancel)))
{}

caller_connection::cancel_guard::~cancel_guard()
{
    connection_.cancels_.erase(it_);
}

bool caller_connection::await_turn(position it)
{
    turn_.wait([&] { return ended_ || schedule_.is_first(it); });
    return !ended_;
}

void caller_connection::answered(position it)
{
    schedule_.answered(it);
    turn_.notify();
}

void caller_connection::end()
{
    if (!ended_) {
        ended_ = true;
        caller_left_ = input_.ended();
        cancel_all();
        input_.cancel();
        turn_.notify();
    }
}

void caller_connection::reset()
{
    error_code ec;
    stream_.socket().set_option(boost::asio::socket_base::linger(true, 0), ec);
    stream_.close();
    end();
}

void caller_connection::close_if_idle()
{
    if (idle_ && input_.bytes().empty()) {
        stream_.close();
        end();
    }
}

void caller_connection::close(bool linger)
{
    error_code ec;
    stream_.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ec);
    if (linger && !ec) {
        input_.discard(std::chrono::steady_clock::now() + linger_time);
    }
    stream_.close();
    input_.join();
}

void caller_connection::on_event()
{
    if (input_.ended()) {
        cancel_all();
    }
    on_input_();
}

void caller_connection::cancel_all()
{
    for (const auto& it : cancels_) {
        it();
    }
}

} // namespace oriolegrade::transport
