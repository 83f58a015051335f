// A free port for a server of a test.

#ifndef ORIOLEGRADE_TEST_FAKES_HELD_PORT_HPP
#define ORIOLEGRADE_TEST_FAKES_HELD_PORT_HPP

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <sys/socket.h>

namespace oriolegrade::test {

/// Port of the loopback address that no other process gets while this object
/// lives. Servers of this process may listen at it, as they set SO_REUSEPORT;
/// until one does, connections are refused. A fixed port would be shared with
/// another process of the same tests, and each would answer for the other.
class held_port
{
public:
    /// @throws boost::system::system_error when no port is free
    explicit held_port(boost::asio::io_context& ioc)
        : acceptor_(ioc)
    {
        using boost::asio::ip::tcp;
        using reuse_port =
            boost::asio::detail::socket_option::boolean<SOL_SOCKET,
                                                        SO_REUSEPORT>;
        acceptor_.open(tcp::v4());
        acceptor_.set_option(reuse_port(true));
        // Not SO_REUSEADDR: the system could then choose a port in use.
        acceptor_.bind(
            tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    }

    std::uint16_t number() const
    {
        return acceptor_.local_endpoint().port();
    }

private:
    /// Never listens.
    boost::asio::ip::tcp::acceptor acceptor_;
};

} // namespace oriolegrade::test

#endif
