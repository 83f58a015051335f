// Agent's side of the peer stream.

#include <oriolegrade/transport/agent_peer_feed.hpp>

#include <oriolegrade/protocol/peer_messages.hpp>
#include <oriolegrade/transport/event_log.hpp>
#include <oriolegrade/transport/message_frame.hpp>

namespace oriolegrade::transport {

namespace {

constexpr std::size_t max_request_bytes = 4'096;
/// Interval at which a stream without news is checked for its end.
constexpr std::chrono::seconds check_interval{1};

} // namespace

void serve_peers(agent_membership& membership, server_stream& stream)
{
    const auto bytes = stream.read_all(max_request_bytes);
    if (!bytes) {
        return;
    }
    auto incarnations = protocol::decode_peer_request(bytes.value());
    if (!incarnations) {
        (void)stream.reply(400, incarnations.error().to_text("request"));
        return;
    }
    membership.set_incarnations(std::move(incarnations.value()));
    if (!stream.respond(200)) {
        return;
    }
    event(log_level::info, "peer_feed_opened")
        .with("incarnations", membership.members().self().incarnations.size());
    std::uint64_t sent = 0;
    while (!stream.is_cancelled()) {
        if (membership.peers_version() == sent &&
            !membership.wait_peers(sent, check_interval)) {
            continue;
        }
        sent = membership.peers_version();
        const auto update = protocol::encode_peer_update(membership.peers());
        if (!write_message(stream, update)) {
            return;
        }
    }
}

} // namespace oriolegrade::transport
