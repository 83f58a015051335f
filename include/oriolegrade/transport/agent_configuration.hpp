// An agent's configuration: follows the log or the hosts that read it,
// publishes records, and wakes those who wait for a newer configuration.

#ifndef ORIOLEGRADE_TRANSPORT_AGENT_CONFIGURATION_HPP
#define ORIOLEGRADE_TRANSPORT_AGENT_CONFIGURATION_HPP

#include <oriolegrade/coordination/change_tracker.hpp>
#include <oriolegrade/coordination/configuration_follower.hpp>
#include <oriolegrade/coordination/log_snapshots.hpp>
#include <oriolegrade/coordination/publisher.hpp>
#include <oriolegrade/coordination/reader_election.hpp>
#include <oriolegrade/state/configuration.hpp>
#include <oriolegrade/transport/agent_log.hpp>
#include <oriolegrade/transport/fiber_signal.hpp>

#include <functional>

namespace oriolegrade::transport {

/// Used by the fibers of one thread.
class agent_configuration
{
public:
    using log_source = coordination::log_snapshots<agent_log>;

    /// What an agent's other parts do for its configuration.
    struct handlers
    {
        /// Passes on what this host read, as an elected reader.
        std::function<void(const state::record_batch&)> pass_on;
        /// Asks other hosts for a snapshot; waits for their answers.
        std::function<std::optional<state::configuration_snapshot>()>
            find_snapshot;
        /// Takes note of what came into force.
        std::function<void(const coordination::configuration_change&)> applied;
    };

    agent_configuration(boost::asio::io_context& ioc,
                        const state::endpoint& platform);

    /// Call before follow().
    void set_handlers(handlers handlers)
    {
        handlers_ = std::move(handlers);
    }

    /// Reads the log when it is this host's turn, for ever.
    void follow();

    /// Applies what an elected reader passed on. A gap makes this host read.
    coordination::batch_result receive(const state::record_batch& batch);

    /// Tells whether this host is an elected reader.
    void set_reader(bool is_reader);

    /// Tells an offset that other hosts have. A host below it reads.
    void set_known_offset(std::uint64_t next_offset);

    const state::configuration_ptr& current() const
    {
        return follower_.state().current();
    }
    const std::vector<state::skipped_record>& skipped() const
    {
        return follower_.state().skipped();
    }
    /// Content for other hosts; empty when it would be incomplete.
    std::optional<state::configuration_snapshot> snapshot() const
    {
        return follower_.state().snapshot();
    }
    const coordination::change_tracker& changes() const
    {
        return tracker_;
    }

    /// The log answered at the last attempt of this host. Other hosts may
    /// have read it since.
    bool log_available() const
    {
        return log_available_;
    }
    /// The log was read to its end once, or a snapshot of other hosts was
    /// restored.
    bool ready() const
    {
        return ready_;
    }
    /// Reads for others.
    bool is_reader() const
    {
        return is_reader_;
    }

    /// Waits for a configuration beyond an offset.
    /// @return false when there is none after `limit`
    bool wait_beyond(std::uint64_t next_offset, state::duration limit);

    coordination::publish_result publish(const state::record& rec);

    /// For appends; its reads do not wait.
    agent_log& log()
    {
        return writer_;
    }
    const agent_log& log() const
    {
        return writer_;
    }
    log_source& snapshots()
    {
        return snapshots_;
    }
    const latency_summary& apply_latency() const
    {
        return apply_latency_;
    }
    const latency_summary& publish_latency() const
    {
        return publish_latency_;
    }

private:
    bool is_behind() const
    {
        return current()->next_offset() < known_offset_;
    }
    bool is_turn() const;
    void read_once();
    void recover(coordination::follow_result result);
    void restore_from_peers();
    void note_availability(bool available);
    void take(const coordination::configuration_change& change,
              state::time_point arrival);
    void become_ready(std::string_view source);

    agent_log reader_;
    agent_log writer_;
    log_source snapshots_;
    coordination::configuration_follower<agent_log, log_source> follower_;
    coordination::change_tracker tracker_;
    coordination::read_schedule schedule_;
    handlers handlers_;
    bool log_available_ = false;
    bool ready_ = false;
    /// Until other hosts are known, each host reads.
    bool is_reader_ = true;
    /// Highest offset that another host is known to have.
    std::uint64_t known_offset_ = 0;
    /// Reads in a row that found the log trimmed past this host.
    unsigned trimmed_reads_ = 0;
    state::time_point last_survey_;
    latency_summary apply_latency_;
    latency_summary publish_latency_;
    /// Notified when it may have become this host's turn to read.
    fiber_signal turn_;
    /// Notified when the configuration moves on or becomes ready.
    fiber_signal advanced_;
};

} // namespace oriolegrade::transport

#endif
