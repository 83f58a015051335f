// Accepts TCP connections on one thread and runs a fiber for each.

#ifndef ORIOLEGRADE_TRANSPORT_LISTENER_HPP
#define ORIOLEGRADE_TRANSPORT_LISTENER_HPP

#include <oriolegrade/transport/tcp.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <utility>

namespace oriolegrade::transport {

/// Listening socket with SO_REUSEPORT, so that every worker thread has one
/// of its own on the same address.
class listener
{
public:
    using handler = std::function<void(tcp_stream)>;

    /// Binds and listens.
    /// @param max_connections connections served at the same time; more are
    ///        left in the backlog
    /// @throws boost::system::system_error when the address is not available
    listener(boost::asio::io_context& ioc, const state::endpoint& address,
             std::size_t max_connections, handler on_connection)
        : listener(ioc, address, max_connections, 0, std::move(on_connection))
    {}
    /// @param socket_buffer_bytes for each direction of a connection; 0 leaves
    ///        the size to the system, which lets it grow to some megabytes
    listener(boost::asio::io_context& ioc, const state::endpoint& address,
             std::size_t max_connections, std::size_t socket_buffer_bytes,
             handler on_connection);
    ~listener();

    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;

    /// Stops accepting. Connections that are open go on.
    void close();

    /// Connections whose fiber runs.
    std::size_t open_connections() const;

    /// Address bound to; tells the port when 0 was asked for.
    state::endpoint address() const;

private:
    struct shared_state;
    std::shared_ptr<shared_state> state_;
};

} // namespace oriolegrade::transport

#endif
