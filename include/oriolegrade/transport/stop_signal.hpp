// End of a process: the signals that ask for it, and the exit.

#ifndef ORIOLEGRADE_TRANSPORT_STOP_SIGNAL_HPP
#define ORIOLEGRADE_TRANSPORT_STOP_SIGNAL_HPP

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

namespace oriolegrade::transport {

/// Keeps SIGHUP from ending the process before something waits for it. To be
/// called first in main().
void ignore_reload_signal();

/// SIGTERM and SIGINT. While the object lives they do not end the process, so a
/// second one during a stop cuts nothing off.
class stop_signal
{
public:
    explicit stop_signal(boost::asio::io_context& ioc);

    /// Suspends the calling fiber until one has arrived since the construction.
    void wait();

private:
    boost::asio::signal_set signals_;
};

/// Ends the process without running destructors of fibers that still wait
/// on sockets. Flushes standard streams.
[[noreturn]] void exit_process(int status);

} // namespace oriolegrade::transport

#endif
