// Worker threads of an entry process, and its graceful shutdown.

#ifndef ORIOLEGRADE_TRANSPORT_ENTRY_SERVER_HPP
#define ORIOLEGRADE_TRANSPORT_ENTRY_SERVER_HPP

#include <oriolegrade/transport/entry_shared.hpp>
#include <oriolegrade/transport/entry_worker.hpp>
#include <oriolegrade/transport/once_shared.hpp>
#include <oriolegrade/transport/worker_thread.hpp>

#include <memory>
#include <vector>

namespace oriolegrade::transport {

class entry_server
{
public:
    /// Starts the worker threads and returns when all of them listen.
    /// @param threads at least 1
    /// @throws boost::system::system_error when an address is not available
    entry_server(entry_shared& shared, once_shared& once, unsigned threads);
    ~entry_server();

    entry_server(const entry_server&) = delete;
    entry_server& operator=(const entry_server&) = delete;

    /// Stops gracefully: readiness becomes false at once, listeners close
    /// after `notice`, and requests in flight finish.
    /// @return false when requests were still in flight after `drain_limit`
    bool stop(state::duration notice, state::duration drain_limit);

private:
    entry_shared& shared_;
    std::vector<std::unique_ptr<worker_thread<entry_worker>>> workers_;
};

} // namespace oriolegrade::transport

#endif
