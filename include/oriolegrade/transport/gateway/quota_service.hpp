// Carries the messages by which hosts keep to the limits of workspaces. What
// they say is decided by quota_wallet, quota_owner and quota_share.

#ifndef ORIOLEGRADE_TRANSPORT_GATEWAY_QUOTA_SERVICE_HPP
#define ORIOLEGRADE_TRANSPORT_GATEWAY_QUOTA_SERVICE_HPP

#include <oriolegrade/coordination/dispatcher_ranking.hpp>
#include <oriolegrade/coordination/quota_owner.hpp>
#include <oriolegrade/coordination/quota_share.hpp>
#include <oriolegrade/coordination/quota_wallet.hpp>
#include <oriolegrade/protocol/quota_messages.hpp>
#include <oriolegrade/state/traffic_rules.hpp>
#include <oriolegrade/transport/fiber_signal.hpp>
#include <oriolegrade/transport/stream_client_map.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace oriolegrade::transport {

inline constexpr std::string_view quota_ask_path = "/quota/ask";
inline constexpr std::string_view quota_delegation_path = "/quota/delegation";
inline constexpr std::string_view quota_probe_path = "/quota/probe";

/// Lives on the control thread. Without limits in the rules it sends nothing
/// and wakes for nothing.
class quota_service
{
public:
    /// @param wallet shared with the worker threads
    /// @param window shortest one in which the limits have to hold
    /// @param allowance what a window may hold beyond them
    quota_service(boost::asio::io_context& ioc, const state::host_member& self,
                  coordination::quota_wallet& wallet, state::duration window,
                  const state::quota_allowance& allowance);

    void set_members(const std::vector<state::host_member>& members);
    /// The directory of hosts has just been read. Until then this host has no
    /// share: its number of hosts would be wrong.
    /// @param joined the directory did not name this host when the process
    ///        started, and the fleet did not start with it
    void directory_read(bool joined);
    void set_limits(const state::traffic_rules& rules);

    /// Called about once a second while limits are in use, with what this host
    /// has lent and the shares that are delegated to it.
    std::function<void(const state::quota_holdings&, double)> on_holdings =
        [](const state::quota_holdings&, double) {
        };

    /// Asks, lends and collects; runs for ever.
    void run();

    /// A request waits for the owner's answer on its workspace. `done` is
    /// called once it has come, or has failed to.
    void wait(const std::string& workspace, std::function<void()> done);

    /// Takes the ask of another host. Blocks the calling fiber for at most
    /// ask_timeout.
    /// @return nothing for a slice that is given back, and without an answer in
    ///         time
    std::optional<state::quota_grant>
    serve(const protocol::quota_ask_call& call);
    state::quota_delegation serve(const protocol::quota_delegation_call& call);

private:
    using clock = std::chrono::steady_clock;
    /// Host with its incarnation, workspace, and number of the ask.
    using ask_key = std::tuple<std::string, std::string, std::uint64_t>;

    /// An ask of another host, whose fiber waits for the grant.
    struct pending_ask
    {
        std::optional<state::quota_grant> grant;
        fiber_signal arrived;
    };

    void step();
    bool is_busy() const;
    void send(const state::quota_ask& ask);
    void send(const state::host_member& host,
              const state::quota_delegation_request& request);
    /// Ends the asks of this host whose owner has not answered.
    void end_failed();
    /// Looks whether owners that have failed answer again.
    void send_probes();
    void take_grants();
    void tell_holdings();
    void notify(const std::string& workspace);
    /// Host that owns a shard; null when no host is known.
    const state::host_member* owner_of(std::uint32_t shard);
    /// The owner named, if this host takes it for the owner of the shard, and
    /// otherwise the one that it does.
    std::string preferred_owner(std::uint32_t shard, const std::string& named);

    boost::asio::io_context& ioc_;
    const state::host_member self_;
    /// Name of this process among all that the hosts have run.
    const std::string incarnation_;
    coordination::quota_wallet& wallet_;
    const state::duration window_;
    const state::quota_allowance allowance_;
    coordination::quota_owner owner_;
    const state::time_point started_;
    std::optional<coordination::quota_share> share_;
    coordination::dispatcher_ranking ranking_;
    stream_client_map clients_;
    bool has_limits_ = false;
    bool step_due_ = false;
    state::time_point holdings_told_{};
    fiber_signal changed_;
    /// Workspaces with an ask under way, and the owner that got it.
    std::map<std::string, std::string> asked_;
    std::map<std::string, std::vector<std::function<void()>>> waiting_;
    std::map<ask_key, std::shared_ptr<pending_ask>> pending_;
};

} // namespace oriolegrade::transport

#endif
