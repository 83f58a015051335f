// Runs a test body on a new thread with its own fiber scheduler.

#ifndef ORIOLEGRADE_TEST_FAKES_OWN_FIBER_THREAD_HPP
#define ORIOLEGRADE_TEST_FAKES_OWN_FIBER_THREAD_HPP

#include <oriolegrade/transport/fiber_scheduler.hpp>

#include <ctime>
#include <thread>

namespace oriolegrade::test {

inline void
on_fiber_thread(const std::function<void(boost::asio::io_context&)>& body)
{
    std::thread thread([&] { transport::run_fibers(body); });
    thread.join();
}

/// CPU time of the calling thread.
inline double cpu_seconds()
{
    timespec ts{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
    return static_cast<double>(ts.tv_sec) +
           static_cast<double>(ts.tv_nsec) / 1e9;
}

} // namespace oriolegrade::test

#endif
