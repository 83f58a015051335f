// Turns of the answers on a caller's connection, and its end.

#include <oriolegrade/transport/caller_connection.hpp>

#include <oriolegrade/protocol/request_parser.hpp>

#include <algorithm>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <utility>

namespace oriolegrade::transport {

namespace {

/// Time for a caller to close its side once it has received all that was
/// written.
constexpr std::chrono::milliseconds linger_time{500};
/// Time for a caller to receive it. A slow one takes seconds for a few answers.
constexpr std::chrono::milliseconds longest_linger{5000};
/// Interval at which the unreceived bytes are looked at.
constexpr std::chrono::milliseconds linger_step{100};

/// Bytes that were written and that the peer has not acknowledged; 0 where the
/// system does not tell.
int unreceived_bytes(tcp_stream& stream)
{
    int n = 0;
    return ::ioctl(stream.socket().native_handle(), SIOCOUTQ, &n) == 0 ? n : 0;
}

} // namespace

caller_connection::caller_connection(
    tcp_stream stream, const coordination::read_ahead_limits& limits,
    coordination::memory_budget& memory, const std::atomic<bool>& stopping,
    std::function<void()> on_input)
    : stream_(std::move(stream))
    , stopping_(stopping)
    , on_input_(std::move(on_input))
    , input_(stream_, limits.bytes, memory, [this] { on_event(); })
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
    if (idle_ && !protocol::begins_request(input_.bytes())) {
        stream_.close();
        end();
    }
}

void caller_connection::close(bool linger)
{
    error_code ec;
    stream_.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ec);
    if (linger && !ec) {
        linger_for_caller();
    }
    stream_.close();
    input_.join();
}

void caller_connection::linger_for_caller()
{
    using clock = std::chrono::steady_clock;
    const auto last = clock::now() + longest_linger;
    auto until = clock::now() + linger_time;
    while (!input_.ended() && clock::now() < std::min(until, last)) {
        input_.discard(clock::now() + linger_step);
        if (unreceived_bytes(stream_) > 0) {
            until = clock::now() + linger_time;
        }
    }
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
        run_step("request_cancel", it);
    }
}

} // namespace oriolegrade::transport
