// An agent's configuration: follows the log, publishes records, and wakes
// those who wait for a newer configuration.

#ifndef ORIOLEGRADE_TRANSPORT_AGENT_CONFIGURATION_HPP
#define ORIOLEGRADE_TRANSPORT_AGENT_CONFIGURATION_HPP

#include <oriolegrade/coordination/change_tracker.hpp>
#include <oriolegrade/coordination/configuration_follower.hpp>
#include <oriolegrade/coordination/log_snapshots.hpp>
#include <oriolegrade/coordination/publisher.hpp>
#include <oriolegrade/state/configuration.hpp>
#include <oriolegrade/transport/platform_client.hpp>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

namespace oriolegrade::transport {

/// Used by the fibers of one thread.
class agent_configuration
{
public:
    agent_configuration(boost::asio::io_context& ioc,
                        const state::endpoint& platform);

    /// Reads the log for ever.
    void follow();

    const state::configuration_ptr& current() const
    {
        return follower_.state().current();
    }
    const std::vector<state::skipped_record>& skipped() const
    {
        return follower_.state().skipped();
    }
    const coordination::change_tracker& changes() const
    {
        return tracker_;
    }

    /// The log answered at the last attempt.
    bool log_available() const
    {
        return log_available_;
    }
    /// A configuration was read from the log, or restored, since the start.
    bool ready() const
    {
        return ready_;
    }

    /// Waits for a configuration beyond an offset.
    /// @return false when there is none after `limit`
    bool wait_beyond(std::uint64_t next_offset, state::duration limit);

    coordination::publish_result publish(const state::record& rec);

private:
    using log_source = coordination::log_snapshots<platform_client>;

    void take(const coordination::configuration_change& change);

    platform_client reader_;
    platform_client writer_;
    log_source snapshots_;
    coordination::configuration_follower<platform_client, log_source> follower_;
    coordination::change_tracker tracker_;
    bool log_available_ = false;
    bool ready_ = false;
    boost::fibers::mutex mutex_;
    /// Notified when the configuration moves on.
    boost::fibers::condition_variable advanced_;
};

} // namespace oriolegrade::transport

#endif
