// Reads of the store that other hosts make for this one.

#ifndef ORIOLEGRADE_TRANSPORT_GATEWAY_PEER_SOURCE_HPP
#define ORIOLEGRADE_TRANSPORT_GATEWAY_PEER_SOURCE_HPP

#include <oriolegrade/state/endpoint.hpp>
#include <oriolegrade/state/source_type.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <optional>

namespace oriolegrade::transport {

/// Models source_relay. Lives on the control thread.
class peer_source
{
public:
    explicit peer_source(boost::asio::io_context& ioc)
        : ioc_(ioc)
    {}

    /// Tells whether this host may ask others: only one that reads for others
    /// does, or a store that is away for all would be read twice by all.
    std::function<bool()> is_wanted;
    /// Address of some other host; without a port when none is known.
    std::function<state::endpoint()> some_peer;

    /// The answer of a host that reached the store; empty when none did.
    std::optional<state::source_reply>
    relay(const state::source_request& request);

    /// The answer of one host; empty when it gives none in time.
    std::optional<state::source_reply>
    ask(const state::endpoint& peer, const state::source_request& request);

private:
    boost::asio::io_context& ioc_;
    /// Host that was asked last and reached the store; no port for none.
    state::endpoint peer_;
};

} // namespace oriolegrade::transport

#endif
