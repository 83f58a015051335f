// Checks on TCP connections.

#include <oriolegrade/transport/tcp.hpp>

#include <cerrno>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace oriolegrade::transport {

bool is_idle_open(tcp_stream& stream)
{
    if (!stream.socket().is_open()) {
        return false;
    }
    char byte = 0;
    const auto n = ::recv(stream.socket().native_handle(), &byte, 1,
                          MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void probe_when_idle(tcp_stream& stream, std::chrono::seconds interval)
{
    namespace option = boost::asio::detail::socket_option;
    constexpr int most_probes = 2;
    const int seconds = static_cast<int>(interval.count());
    const int limit_ms = (most_probes + 1) * seconds * 1000;
    auto& socket = stream.socket();
    // The options tune the detection of a dead peer; without them it takes
    // longer, so an error changes nothing for the caller.
    error_code ec;
    socket.set_option(boost::asio::socket_base::keep_alive(true), ec);
    socket.set_option(option::integer<IPPROTO_TCP, TCP_KEEPIDLE>(seconds), ec);
    socket.set_option(option::integer<IPPROTO_TCP, TCP_KEEPINTVL>(seconds), ec);
    socket.set_option(option::integer<IPPROTO_TCP, TCP_KEEPCNT>(most_probes),
                      ec);
    socket.set_option(option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(limit_ms),
                      ec);
}

} // namespace oriolegrade::transport
