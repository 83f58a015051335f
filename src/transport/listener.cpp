// Accept loop.

#include <oriolegrade/transport/listener.hpp>

#include <oriolegrade/transport/event_log.hpp>
#include <oriolegrade/transport/fiber_scheduler.hpp>
#include <oriolegrade/transport/fiber_yield.hpp>
#include <oriolegrade/transport/request_fault.hpp>
#include <oriolegrade/transport/task_fault.hpp>

#include <boost/asio/socket_base.hpp>
#include <boost/fiber/operations.hpp>

#include <chrono>
#include <sys/socket.h>

namespace oriolegrade::transport {

namespace asio = boost::asio;

using reuse_port =
    asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

struct listener::shared_state
{
    using acceptor_type =
        asio::basic_socket_acceptor<asio::ip::tcp,
                                    asio::io_context::executor_type>;

    asio::io_context& ioc;
    acceptor_type acceptor;
    handler on_connection;
    std::size_t max_connections;
    std::size_t open = 0;
    bool closed = false;

    static void start(const std::shared_ptr<shared_state>& self,
                      tcp_stream stream);
    static void accept_loop(const std::shared_ptr<shared_state>& self);
    /// Takes connections that the kernel has already accepted. Closing the
    /// socket would reset them, although their callers may have sent requests.
    static void accept_backlog(const std::shared_ptr<shared_state>& self);
};

namespace {

/// Wait after a failed accept, for example when descriptors run out.
constexpr std::chrono::milliseconds accept_pause{50};

} // namespace

void listener::shared_state::start(const std::shared_ptr<shared_state>& self,
                                   tcp_stream stream)
{
    error_code ec;
    stream.socket().set_option(asio::ip::tcp::no_delay(true), ec);
    auto shared = std::make_shared<tcp_stream>(std::move(stream));
    // Without memory for a fiber the connection is closed.
    log_request_fault({}, caught([&] {
                          spawn_fiber([self, shared] {
                              log_request_fault({}, caught([&] {
                                                    self->on_connection(
                                                        std::move(*shared));
                                                }));
                              --self->open;
                          });
                          // After what can throw; the fiber has not begun.
                          ++self->open;
                      }));
}

void listener::shared_state::accept_loop(
    const std::shared_ptr<shared_state>& self)
{
    repeat_while([&] { return !self->closed; }, "accept", accept_pause,
                 [&] {
                     if (self->open >= self->max_connections) {
                         boost::this_fiber::sleep_for(accept_pause);
                         return;
                     }
                     tcp_stream stream(self->ioc);
                     error_code ec;
                     self->acceptor.async_accept(stream.socket(),
                                                 fiber_yield(ec));
                     if (!ec) {
                         start(self, std::move(stream));
                     } else if (!self->closed) {
                         event(log_level::warning, "accept_failed")
                             .with("error", ec.message());
                         boost::this_fiber::sleep_for(accept_pause);
                     }
                 });
}

void listener::shared_state::accept_backlog(
    const std::shared_ptr<shared_state>& self)
{
    error_code ec;
    self->acceptor.non_blocking(true, ec);
    while (!ec) {
        tcp_stream stream(self->ioc);
        self->acceptor.accept(stream.socket(), ec);
        if (!ec) {
            start(self, std::move(stream));
        }
    }
}

listener::listener(asio::io_context& ioc, const state::endpoint& address,
                   std::size_t max_connections, std::size_t socket_buffer_bytes,
                   handler on_connection)
    : state_(std::make_shared<shared_state>(
          shared_state{ioc, shared_state::acceptor_type(ioc),
                       std::move(on_connection), max_connections}))
{
    auto& acceptor = state_->acceptor;
    acceptor.open(asio::ip::tcp::v4());
    acceptor.set_option(asio::socket_base::reuse_address(true));
    acceptor.set_option(reuse_port(true));
    if (socket_buffer_bytes > 0) {
        // Connections inherit them. The window of a connection is fixed when it
        // opens, so they are not set later.
        const auto size = static_cast<int>(socket_buffer_bytes);
        acceptor.set_option(asio::socket_base::receive_buffer_size(size));
        acceptor.set_option(asio::socket_base::send_buffer_size(size));
    }
    acceptor.bind(to_tcp(address));
    acceptor.listen();
    spawn_fiber([s = state_] { shared_state::accept_loop(s); });
}

listener::~listener()
{
    close();
}

void listener::close()
{
    if (!state_->closed) {
        state_->closed = true;
        shared_state::accept_backlog(state_);
        error_code ec;
        state_->acceptor.close(ec);
    }
}

std::size_t listener::open_connections() const
{
    return state_->open;
}

state::endpoint listener::address() const
{
    return from_tcp(state_->acceptor.local_endpoint());
}

} // namespace oriolegrade::transport
