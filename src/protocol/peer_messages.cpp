// Conversion of peers to and from protobuf.

#include <oriolegrade/protocol/peer_messages.hpp>

#include "message_check.hpp"

#include <peers.pb.h>

namespace oriolegrade::protocol {

namespace {

void write_id(const state::identifier& id, wire::incarnation_id& out)
{
    out.set_high(id.high);
    out.set_low(id.low);
}

template <class List>
std::vector<state::identifier> read_ids(const List& list,
                                        const message_check& check)
{
    std::vector<state::identifier> ids;
    if (!check.require(static_cast<std::size_t>(list.size()) <=
                           state::max_held_incarnations,
                       "", "are too many")) {
        return ids;
    }
    for (const auto& it : list) {
        ids.push_back({it.high(), it.low()});
        check.require(static_cast<bool>(ids.back()), "", "has a zero id");
    }
    return ids;
}

state::peer_entry read_peer(const wire::peer& it, const message_check& check)
{
    state::peer_entry peer;
    peer.name = it.name();
    peer.data_centre = it.data_centre();
    peer.forward = check.endpoint(it.forward(), "forward");
    peer.incarnations =
        read_ids(it.incarnations(), check.below("incarnations"));
    peer.leaving = it.leaving();
    check.require(!peer.name.empty() &&
                      peer.name.size() <= max_host_name_bytes &&
                      peer.data_centre.size() <= max_host_name_bytes,
                  "name", "is empty or too long");
    return peer;
}

} // namespace

std::string
encode_peer_request(const std::vector<state::identifier>& incarnations)
{
    wire::peer_request message;
    for (const auto& it : incarnations) {
        write_id(it, *message.add_incarnations());
    }
    return message.SerializeAsString();
}

state::result<std::vector<state::identifier>, state::findings>
decode_peer_request(std::string_view bytes)
{
    state::findings out;
    wire::peer_request message;
    if (!parse_message(message, bytes, max_peer_message_bytes, out)) {
        return out;
    }
    const message_check check("", out);
    auto ids = read_ids(message.incarnations(), check.below("incarnations"));
    if (!out.empty()) {
        return out;
    }
    return ids;
}

std::string encode_peer_update(const std::vector<state::peer_entry>& peers)
{
    wire::peer_update message;
    for (const auto& it : peers) {
        auto& peer = *message.add_peers();
        peer.set_name(it.name);
        peer.set_data_centre(it.data_centre);
        peer.set_forward(packed(it.forward));
        for (const auto& id : it.incarnations) {
            write_id(id, *peer.add_incarnations());
        }
        peer.set_leaving(it.leaving);
    }
    return message.SerializeAsString();
}

state::result<std::vector<state::peer_entry>, state::findings>
decode_peer_update(std::string_view bytes)
{
    state::findings out;
    wire::peer_update message;
    if (!parse_message(message, bytes, max_peer_message_bytes, out)) {
        return out;
    }
    const message_check check("", out);
    if (!check.require(static_cast<std::size_t>(message.peers_size()) <=
                           max_peers,
                       "peers", "are too many")) {
        return out;
    }
    std::vector<state::peer_entry> peers;
    for (const auto& it : message.peers()) {
        peers.push_back(
            read_peer(it, check.below("peers").below(peers.size())));
    }
    if (!out.empty()) {
        return out;
    }
    return peers;
}

} // namespace oriolegrade::protocol
