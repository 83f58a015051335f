// State that the worker threads of an entry process share.

#ifndef ORIOLEGRADE_TRANSPORT_ENTRY_SHARED_HPP
#define ORIOLEGRADE_TRANSPORT_ENTRY_SHARED_HPP

#include <oriolegrade/state/configuration.hpp>
#include <oriolegrade/state/rcu_cell.hpp>
#include <oriolegrade/transport/admission.hpp>
#include <oriolegrade/transport/caller_stream.hpp>
#include <oriolegrade/transport/service_table.hpp>
#include <oriolegrade/transport/thread_evidence.hpp>

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <vector>

namespace oriolegrade::transport {

/// Fixed at the start of the process.
struct entry_options
{
    /// Address that callers connect to.
    state::endpoint caller_listen;
    /// Address for requests that other entries forward.
    state::endpoint forward_listen;
    /// Caller connections of one worker thread.
    std::size_t max_connections = 4096;
    caller_io_limits caller;
    coordination::caller_limits_options caller_limits;
};

/// Read by all workers; written by the control thread, except the counters.
struct entry_shared
{
    explicit entry_shared(const entry_options& options_in)
        : options(options_in)
        , configuration(std::make_shared<const state::configuration>())
        , services(std::make_shared<const service_table_set>())
        , limits(options_in.caller_limits)
    {}

    const entry_options options;
    state::rcu_cell<state::configuration> configuration;
    state::rcu_cell<service_table_set> services;
    admission limits;
    evidence_sources evidence;
    /// A configuration has arrived since the start.
    std::atomic<bool> configured{false};
    /// The process is stopping: readiness is false and connections close
    /// after the answer in flight.
    std::atomic<bool> stopping{false};
    /// Requests that were read and not yet answered.
    std::atomic<std::int64_t> requests_in_flight{0};
    /// Open connections of callers, idle ones included.
    std::atomic<std::int64_t> caller_connections{0};
};

/// Counts a request or a connection while it lives.
class count_guard
{
public:
    explicit count_guard(std::atomic<std::int64_t>& count)
        : count_(count)
    {
        ++count_;
    }
    ~count_guard()
    {
        --count_;
    }

    count_guard(const count_guard&) = delete;
    count_guard& operator=(const count_guard&) = delete;

private:
    std::atomic<std::int64_t>& count_;
};

} // namespace oriolegrade::transport

#endif
