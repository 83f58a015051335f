// Looks at a connection without reading from it.

#ifndef ORIOLEGRADE_PROGRAMS_COMMON_SOCKET_PROBE_HPP
#define ORIOLEGRADE_PROGRAMS_COMMON_SOCKET_PROBE_HPP

#include <boost/asio/ip/tcp.hpp>

#include <sys/socket.h>

#include <cerrno>

namespace oriolegrade::programs {

/// True when the peer closed or reset the connection.
inline bool peer_left(boost::asio::ip::tcp::socket& socket)
{
    char c = 0;
    const auto n =
        ::recv(socket.native_handle(), &c, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN);
}

} // namespace oriolegrade::programs

#endif
