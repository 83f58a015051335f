// Boost.Fiber on Boost.Asio: one scheduler and one io_context per thread. An
// idle thread sleeps in the reactor.

#ifndef ORIOLEGRADE_TRANSPORT_FIBER_SCHEDULER_HPP
#define ORIOLEGRADE_TRANSPORT_FIBER_SCHEDULER_HPP

#include <boost/asio/io_context.hpp>

#include <functional>

namespace oriolegrade::transport {

/// Stack of a fiber, in bytes. Pages are committed when first touched.
inline constexpr std::size_t fiber_stack_bytes = 128 * 1024;

/// Runs `main` as the calling thread's main fiber. The io_context that it
/// gets is served while fibers wait and lives until the thread ends. Returns
/// when `main` returns; fibers that it started must have ended by then. Call
/// once per thread.
void run_fibers(const std::function<void(boost::asio::io_context&)>& main);

/// Starts a detached fiber on the calling thread's scheduler. An exception that
/// leaves the body ends the fiber and is logged.
void spawn_fiber(std::function<void()> body);

} // namespace oriolegrade::transport

#endif
