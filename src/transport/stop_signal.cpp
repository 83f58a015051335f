// Stop signals by Asio.

#include <oriolegrade/transport/stop_signal.hpp>

#include <oriolegrade/transport/fiber_yield.hpp>

#include <csignal>
#include <cstdio>
#include <cstdlib>

namespace oriolegrade::transport {

void ignore_reload_signal()
{
    std::signal(SIGHUP, SIG_IGN);
}

stop_signal::stop_signal(boost::asio::io_context& ioc)
    : signals_(ioc, SIGTERM, SIGINT)
{}

void stop_signal::wait()
{
    boost::system::error_code ec;
    signals_.async_wait(fiber_yield(ec));
}

void exit_process(int status)
{
    std::fflush(nullptr);
    std::_Exit(status);
}

} // namespace oriolegrade::transport
