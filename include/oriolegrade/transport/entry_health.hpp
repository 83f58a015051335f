// Health of upstreams at an entry: sends its evidence to the agent and
// follows the agent's verdicts.

#ifndef ORIOLEGRADE_TRANSPORT_ENTRY_HEALTH_HPP
#define ORIOLEGRADE_TRANSPORT_ENTRY_HEALTH_HPP

#include <oriolegrade/coordination/verdict_cache.hpp>
#include <oriolegrade/state/evidence.hpp>
#include <oriolegrade/state/health_verdict.hpp>
#include <oriolegrade/transport/stream_client.hpp>

#include <deque>
#include <functional>
#include <map>
#include <string>

namespace oriolegrade::transport {

/// Belongs to the control thread. Verdicts stay in force while the agent is
/// away, for a limited time; then the entry relies on its own avoidance.
class entry_health
{
public:
    /// @param set_verdicts gets each changed set; a set without verdicts puts
    ///        all upstreams of its service back
    /// @param lifetime of a verdict without an agent
    entry_health(boost::asio::io_context& ioc, const state::endpoint& agent,
                 const std::string& fleet_key,
                 std::function<void(const state::verdict_set&)> set_verdicts,
                 state::duration lifetime = coordination::verdict_lifetime);

    void start();
    void stop();

    /// Sends a batch when the agent is there. Evidence that waits too long or
    /// does not fit any more is dropped, oldest first. Host, incarnation and
    /// sequence are the agent's to set.
    void send(state::evidence_batch batch);

    /// An upstream of a service announced that it drains. Without effect
    /// while the agent is away: the upstream repeats its signal.
    void send_drain(const coordination::service_key& service,
                    const state::endpoint& upstream);

    /// Batches dropped while the agent was away.
    std::uint64_t dropped() const
    {
        return dropped_;
    }

private:
    struct waiting
    {
        std::string bytes;
        state::time_point since;
    };

    struct known_set
    {
        state::verdict_set set;
        /// max() while the agent confirms it.
        state::time_point expires;
    };

    void evidence_loop();
    void write_evidence();
    void verdict_loop();
    void read_verdicts();
    bool take(std::string_view bytes);
    void expire_loop();
    void start_expiry();
    state::time_point next_expiry() const;
    void pause();

    stream_client client_;
    const std::function<void(const state::verdict_set&)> set_verdicts_;
    const state::duration lifetime_;
    std::deque<waiting> queue_;
    std::uint64_t dropped_ = 0;
    std::map<coordination::service_key, known_set> known_;
    bool stopping_ = false;
    bool expiry_changed_ = false;
    fiber_signal queued_;
    fiber_signal expiry_;
    fiber_group fibers_;
};

} // namespace oriolegrade::transport

#endif
