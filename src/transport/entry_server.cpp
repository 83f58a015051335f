// Start and stop of the worker threads.

#include <oriolegrade/transport/entry_server.hpp>

#include <boost/fiber/operations.hpp>

namespace oriolegrade::transport {

namespace {

/// Interval at which a stopping process looks for requests in flight.
constexpr std::chrono::milliseconds drain_check{20};
/// Time for idle connections to go away by themselves. A request that a
/// caller sends while its connection is being closed would be lost.
constexpr std::chrono::seconds idle_grace{2};

} // namespace

entry_server::entry_server(entry_shared& shared, once_shared& once,
                           unsigned threads)
    : shared_(shared)
{
    for (unsigned n = 0; n < threads; ++n) {
        workers_.push_back(std::make_unique<worker_thread<entry_worker>>(
            [&shared, &once](boost::asio::io_context& ioc) {
                return std::make_unique<entry_worker>(ioc, shared, once);
            }));
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
        it->close_listener();
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
