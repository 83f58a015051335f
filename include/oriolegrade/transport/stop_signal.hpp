// End of a process: the signals that ask for it, and the exit.

#ifndef ORIOLEGRADE_TRANSPORT_STOP_SIGNAL_HPP
#define ORIOLEGRADE_TRANSPORT_STOP_SIGNAL_HPP

#include <boost/asio/io_context.hpp>

namespace oriolegrade::transport {

/// Suspends the calling fiber until SIGTERM or SIGINT arrives.
void wait_for_stop_signal(boost::asio::io_context& ioc);

/// Ends the process without running destructors of fibers that still wait
/// on sockets. Flushes standard streams.
[[noreturn]] void exit_process(int status);

} // namespace oriolegrade::transport

#endif
