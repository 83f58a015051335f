// A call on a stream of its own.

#include <oriolegrade/transport/gateway/host_call.hpp>

#include <oriolegrade/transport/gateway/dispatch_link.hpp>
#include <oriolegrade/transport/stream_client.hpp>

#include <utility>

namespace oriolegrade::transport {

std::optional<std::string> call_host(boost::asio::io_context& ioc,
                                     const state::endpoint& peer,
                                     std::string_view path,
                                     const std::string& body,
                                     std::chrono::milliseconds limit)
{
    if (peer.port == 0) {
        return std::nullopt;
    }
    stream_client client(ioc, peer, {}, gateway_stream_limits());
    auto reply = client.call(path, {}, body, limit, limit_scope::each_part);
    constexpr unsigned ok = 200;
    if (!reply || reply.value().status != ok) {
        return std::nullopt;
    }
    return std::move(reply.value().body);
}

} // namespace oriolegrade::transport
