// Checks on TCP connections.

#include <oriolegrade/transport/tcp.hpp>

#include <cerrno>
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

} // namespace oriolegrade::transport
