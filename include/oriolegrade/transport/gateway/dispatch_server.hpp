// Serves other hosts: places for their requests, and the rules in force for
// hosts that cannot read the store.

#ifndef ORIOLEGRADE_TRANSPORT_GATEWAY_DISPATCH_SERVER_HPP
#define ORIOLEGRADE_TRANSPORT_GATEWAY_DISPATCH_SERVER_HPP

#include <oriolegrade/state/source_type.hpp>
#include <oriolegrade/transport/gateway/dispatch_service.hpp>
#include <oriolegrade/transport/gateway/gateway_shared.hpp>
#include <oriolegrade/transport/gateway/quota_service.hpp>
#include <oriolegrade/transport/stream_server.hpp>

#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace oriolegrade::transport {

/// Lives on the control thread.
class dispatch_server
{
public:
    /// @throws boost::system::system_error when the address is not available
    dispatch_server(boost::asio::io_context& ioc, gateway_shared& shared,
                    dispatch_service& service);

    /// Hosts that this one knows, for its answers.
    std::function<std::vector<state::host_member>()> hosts;
    /// The document in force for other hosts, without hosts.
    std::function<protocol::fleet_view()> document;
    /// Called when an entry tells the version of its rules.
    std::function<void(const std::string&, const protocol::rules_notice&)>
        on_rules;
    /// Reads the store for another host.
    std::function<state::source_reply(const state::source_request&)>
        read_source;
    /// Time since the version in force was read to be the newest; empty when
    /// that is too long ago to confirm it.
    std::function<std::optional<state::duration>()> confirmed_age;
    /// Limits of workspaces, for other hosts; may be null.
    quota_service* quotas = nullptr;
    /// Tells the version in force to the entries with an open stream.
    void tell_rules_version(std::uint64_t version);

private:
    struct session;

    void serve(server_stream& stream);
    void serve_dispatch(server_stream& stream);
    void take_frames(session& own, server_stream& stream);
    void serve_view(server_stream& stream);
    void serve_source(server_stream& stream);
    void serve_quota_ask(server_stream& stream);
    void serve_quota_delegation(server_stream& stream);

    gateway_shared& shared_;
    dispatch_service& service_;
    /// Documents of the rules that may be sent at one time, and are sent now.
    const unsigned most_transfers_;
    unsigned transfers_ = 0;
    std::set<std::shared_ptr<session>> sessions_;
    std::unique_ptr<stream_server> server_;
};

} // namespace oriolegrade::transport

#endif
