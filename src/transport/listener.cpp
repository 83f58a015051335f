// Accept loop.

#include <oriolegrade/transport/listener.hpp>

#include <oriolegrade/transport/event_log.hpp>
#include <oriolegrade/transport/fiber_scheduler.hpp>
#include <oriolegrade/transport/fiber_yield.hpp>

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
};

namespace {

/// Wait after a failed accept, for example when descriptors run out.
constexpr std::chrono::milliseconds accept_pause{50};

} // namespace

listener::listener(asio::io_context& ioc, const state::endpoint& address,
                   std::size_t max_connections, handler on_connection)
    : state_(std::make_shared<shared_state>(
          shared_state{ioc, shared_state::acceptor_type(ioc),
                       std::move(on_connection), max_connections}))
{
    auto& acceptor = state_->acceptor;
    acceptor.open(asio::ip::tcp::v4());
    acceptor.set_option(asio::socket_base::reuse_address(true));
    acceptor.set_option(reuse_port(true));
    acceptor.bind(to_tcp(address));
    acceptor.listen();
    spawn_fiber([s = state_] {
        while (!s->closed) {
            if (s->open >= s->max_connections) {
                boost::this_fiber::sleep_for(accept_pause);
                continue;
            }
            tcp_stream stream(s->ioc);
            error_code ec;
            s->acceptor.async_accept(stream.socket(), fiber_yield(ec));
            if (s->closed) {
                break;
            }
            if (ec) {
                event(log_level::warning, "accept_failed")
                    .with("error", ec.message());
                boost::this_fiber::sleep_for(accept_pause);
                continue;
            }
            stream.socket().set_option(asio::ip::tcp::no_delay(true), ec);
            ++s->open;
            auto shared = std::make_shared<tcp_stream>(std::move(stream));
            spawn_fiber([s, shared] {
                s->on_connection(std::move(*shared));
                --s->open;
            });
        }
    });
}

listener::~listener()
{
    close();
}

void listener::close()
{
    if (!state_->closed) {
        state_->closed = true;
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
