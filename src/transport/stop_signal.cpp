// Stop signals by Asio.

#include <oriolegrade/transport/stop_signal.hpp>

#include <oriolegrade/transport/fiber_yield.hpp>

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <cstdio>
#include <cstdlib>

namespace oriolegrade::transport {

void wait_for_stop_signal(boost::asio::io_context& ioc)
{
    boost::asio::signal_set signals(ioc, SIGTERM, SIGINT);
    boost::system::error_code ec;
    signals.async_wait(fiber_yield(ec));
}

void exit_process(int status)
{
    std::fflush(nullptr);
    std::_Exit(status);
}

} // namespace oriolegrade::transport
