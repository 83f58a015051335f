// A thread that runs one worker on fibers until the process ends.

#ifndef ORIOLEGRADE_TRANSPORT_WORKER_THREAD_HPP
#define ORIOLEGRADE_TRANSPORT_WORKER_THREAD_HPP

#include <oriolegrade/transport/fiber_scheduler.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/fiber/future/promise.hpp>

#include <exception>
#include <thread>

namespace oriolegrade::transport {

/// What a worker thread runs: a listener and the connections that it took.
template <class Worker>
concept listening_worker = requires(Worker& w)
{
    w.close_listener();
};

template <listening_worker Worker>
class worker_thread
{
public:
    /// Returns when the worker listens.
    /// @param make gives a std::unique_ptr<Worker> on the thread's io_context;
    ///        what it throws is thrown here
    template <class Make>
    explicit worker_thread(Make make)
    {
        auto listening = listening_.get_future();
        std::thread([this, make] { run(make); }).detach();
        listening.get();
    }

    worker_thread(const worker_thread&) = delete;
    worker_thread& operator=(const worker_thread&) = delete;

    /// Stops taking connections; those that wait in the backlog are taken.
    void close_listener()
    {
        auto closed = closed_.get_future();
        stop_listening_.set_value();
        closed.wait();
    }

private:
    template <class Make>
    void run(const Make& make)
    {
        run_fibers([&](boost::asio::io_context& ioc) {
            decltype(make(ioc)) worker;
            try {
                worker = make(ioc);
            } catch (...) {
                listening_.set_exception(std::current_exception());
                return;
            }
            listening_.set_value();
            stop_listening_.get_future().wait();
            worker->close_listener();
            closed_.set_value();
            process_end_.get_future().wait();
        });
    }

    boost::fibers::promise<void> listening_;
    boost::fibers::promise<void> stop_listening_;
    boost::fibers::promise<void> closed_;
    /// Never set: connections of the thread are served until the process
    /// ends.
    boost::fibers::promise<void> process_end_;
};

} // namespace oriolegrade::transport

#endif
