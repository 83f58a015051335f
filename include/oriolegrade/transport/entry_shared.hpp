// State that the worker threads of an entry process share.

#ifndef ORIOLEGRADE_TRANSPORT_ENTRY_SHARED_HPP
#define ORIOLEGRADE_TRANSPORT_ENTRY_SHARED_HPP

#include <oriolegrade/state/configuration.hpp>
#include <oriolegrade/state/rcu_cell.hpp>
#include <oriolegrade/transport/admission.hpp>
#include <oriolegrade/transport/caller_shared.hpp>
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
    coordination::read_ahead_limits read_ahead;
    coordination::caller_limits_options caller_limits;
};

/// Read by all workers; written by the control thread, except the counters.
struct entry_shared : caller_shared
{
    explicit entry_shared(const entry_options& options_in)
        : caller_shared(options_in.read_ahead)
        , options(options_in)
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
    /// Open connections of callers, idle ones included.
    std::atomic<std::int64_t> caller_connections{0};
};

} // namespace oriolegrade::transport

#endif
