// Start and stop of the worker threads.

#include <oriolegrade/transport/entry_server.hpp>

#include <oriolegrade/transport/entry_worker.hpp>
#include <oriolegrade/transport/fiber_scheduler.hpp>

#include <boost/fiber/operations.hpp>

#include <exception>

namespace oriolegrade::transport {

namespace {

/// Interval at which a stopping process looks for requests in flight.
constexpr std::chrono::milliseconds drain_check{20};
/// Time for idle connections to go away by themselves. A request that a
/// caller sends while its connection is being closed would be lost.
constexpr std::chrono::seconds idle_grace{2};

} // namespace

struct entry_server::worker_thread
{
    boost::fibers::promise<void> listening;
    boost::fibers::promise<void> stop_listening;
    boost::fibers::promise<void> closed;
    /// Never set: connections of the thread are served until the process
    /// ends.
    boost::fibers::promise<void> process_end;
    std::thread thread;

    void run(entry_shared& shared, once_shared& once)
    {
        run_fibers([&](boost::asio::io_context& ioc) {
            std::unique_ptr<entry_worker> worker;
            try {
                worker = std::make_unique<entry_worker>(ioc, shared, once);
            } catch (...) {
                listening.set_exception(std::current_exception());
                return;
            }
            listening.set_value();
            stop_listening.get_future().wait();
            worker->close_listener();
            closed.set_value();
            process_end.get_future().wait();
        });
    }
};

entry_server::entry_server(entry_shared& shared, once_shared& once,
                           unsigned threads)
    : shared_(shared)
{
    for (unsigned n = 0; n < threads; ++n) {
        auto& it = workers_.emplace_back(std::make_unique<worker_thread>());
        auto listening = it->listening.get_future();
        it->thread = std::thread(
            [&shared, &once, w = it.get()] { w->run(shared, once); });
        it->thread.detach();
        listening.get();
    }
}

entry_server::~entry_server()
{
    // The threads use the workers until the process ends.
    for (auto& it : workers_) {
        (void)it.release();
    }
}

bool entry_server::stop(state::duration notice, state::duration drain_limit)
{
    shared_.stopping = true;
    boost::this_fiber::sleep_for(notice);
    for (const auto& it : workers_) {
        auto closed = it->closed.get_future();
        it->stop_listening.set_value();
        closed.wait();
    }
    const auto closed = std::chrono::steady_clock::now();
    const auto drained = [&](state::time_point now) {
        const bool idle =
            shared_.caller_connections == 0 || now - closed >= idle_grace;
        return shared_.requests_in_flight == 0 && idle;
    };
    for (auto now = closed; !drained(now) && now - closed < drain_limit;
         now = std::chrono::steady_clock::now()) {
        boost::this_fiber::sleep_for(drain_check);
    }
    return shared_.requests_in_flight == 0;
}

} // namespace oriolegrade::transport
