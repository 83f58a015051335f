// Waits for readability without reading.

#include <oriolegrade/transport/disconnect_watch.hpp>

#include <cerrno>
#include <sys/socket.h>

namespace oriolegrade::transport {

namespace {

bool is_closed(tcp_stream& stream)
{
    char byte = 0;
    const auto n = ::recv(stream.socket().native_handle(), &byte, 1,
                          MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

} // namespace

disconnect_watch::disconnect_watch(tcp_stream& stream,
                                   std::function<void()> on_close)
    : stream_(stream)
    , on_close_(std::make_shared<std::function<void()>>(std::move(on_close)))
{
    stream_.socket().async_wait(
        boost::asio::socket_base::wait_read,
        [watch = on_close_, &stream](const error_code& ec) {
            if (!ec && *watch && is_closed(stream)) {
                (*watch)();
            }
        });
}

disconnect_watch::~disconnect_watch()
{
    *on_close_ = nullptr;
    error_code ec;
    stream_.socket().cancel(ec);
}

} // namespace oriolegrade::transport
