// Snapshots between agents, for hosts that boot while the log is unavailable,
// and into the log before its records expire.

#ifndef ORIOLEGRADE_TRANSPORT_AGENT_SNAPSHOTS_HPP
#define ORIOLEGRADE_TRANSPORT_AGENT_SNAPSHOTS_HPP

#include <oriolegrade/coordination/snapshot_choice.hpp>
#include <oriolegrade/state/audit_event_type.hpp>
#include <oriolegrade/transport/agent_configuration.hpp>
#include <oriolegrade/transport/agent_membership.hpp>
#include <oriolegrade/transport/stream_client.hpp>
#include <oriolegrade/transport/stream_server.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace oriolegrade::transport {

inline constexpr std::string_view snapshot_path = "/snapshot";
inline constexpr std::string_view snapshot_offer_path = "/snapshot/offer";

/// Used by the fibers of one thread.
class agent_snapshots
{
public:
    /// Called with the offset of a snapshot that was written or restored.
    using report = std::function<void(state::audit_kind kind,
                                      const state::snapshot_summary& what,
                                      const std::string& detail)>;

    agent_snapshots(boost::asio::io_context& ioc,
                    const protocol::agent_settings& settings,
                    const agent_membership& membership,
                    agent_configuration& configuration, report on_event);

    /// Surveys hosts in more than one data centre and fetches the snapshot
    /// chosen among their offers. Empty when there is none yet.
    std::optional<state::configuration_snapshot> find();

    /// Answers another host.
    void serve_offer(server_stream& stream);
    void serve_content(server_stream& stream);

    /// Appends a snapshot to the log whenever the newest one is too old, for
    /// ever.
    void write_loop();

private:
    struct candidate
    {
        std::string name;
        std::string data_centre;
        state::endpoint peer;
        std::uint64_t next_offset = 0;
    };
    /// Offers that arrive while find() waits; shared with the fibers that ask.
    struct survey;

    /// Hosts to ask, alternating between data centres; in each the highest
    /// offset first.
    std::vector<candidate> candidates();
    void ask(const std::shared_ptr<survey>& run, std::size_t n);
    std::optional<state::configuration_snapshot>
    fetch(const state::endpoint& peer, const state::snapshot_summary& wanted);
    bool is_settled(const std::vector<candidate>& hosts) const;
    void write_if_due();

    boost::asio::io_context& ioc_;
    const protocol::agent_settings& settings_;
    const agent_membership& membership_;
    agent_configuration& configuration_;
    report on_event_;
    state::time_point start_;
    /// Digest of the content at an offset, since it takes an encoding of all.
    state::snapshot_summary offered_;
    bool has_offered_ = false;
    unsigned replies_running_ = 0;
};

} // namespace oriolegrade::transport

#endif
