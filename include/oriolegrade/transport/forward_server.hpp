// Requests that other entries forward to the incarnations of this process,
// on one worker thread.

#ifndef ORIOLEGRADE_TRANSPORT_FORWARD_SERVER_HPP
#define ORIOLEGRADE_TRANSPORT_FORWARD_SERVER_HPP

#include <oriolegrade/protocol/once_messages.hpp>
#include <oriolegrade/transport/entry_shared.hpp>
#include <oriolegrade/transport/once_shared.hpp>
#include <oriolegrade/transport/stream_server.hpp>
#include <oriolegrade/transport/upstream_runner.hpp>

#include <memory>

namespace oriolegrade::transport {

inline constexpr std::string_view claims_path = "/claims";
inline constexpr std::string_view handover_path = "/handover";

class forward_server
{
public:
    /// @throws boost::system::system_error when the address is not available
    forward_server(boost::asio::io_context& ioc, entry_shared& shared,
                   once_shared& once, upstream_runner& runner,
                   const state::endpoint& address);

    /// Address that other entries connect to.
    state::endpoint address() const
    {
        return address_;
    }

private:
    void serve(server_stream& stream);
    void serve_forward(server_stream& stream);
    template <body_source Source, answer_sink Sink>
    void run_forwarded(const protocol::forward_request& request, Source& source,
                       Sink& sink);
    void serve_claims(server_stream& stream);
    void serve_handover(server_stream& stream);

    entry_shared& shared_;
    once_shared& once_;
    upstream_runner& runner_;
    state::endpoint address_;
    std::unique_ptr<stream_server> server_;
};

} // namespace oriolegrade::transport

#endif
