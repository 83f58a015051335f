// Conversion of peers to and from protobuf.

#include <oriolegrade/protocol/peer_messages.hpp>

#include <peers.pb.h>

namespace oriolegrade::protocol {

namespace {

using state::finding_code;

constexpr unsigned port_bits = 16;

void write_id(const state::identifier& id, wire::incarnation_id& out)
{
    out.set_high(id.high);
    out.set_low(id.low);
}

template <class List>
std::vector<state::identifier>
read_ids(const List& list, const std::string& place, state::findings& out)
{
    std::vector<state::identifier> ids;
    if (static_cast<std::size_t>(list.size()) > state::max_held_incarnations) {
        out.add(finding_code::too_large, place, "are too many");
        return ids;
    }
    for (const auto& it : list) {
        ids.push_back({it.high(), it.low()});
        if (!ids.back()) {
            out.add(finding_code::out_of_range, place, "has a zero id");
        }
    }
    return ids;
}

state::peer_entry read_peer(const wire::peer& it, const std::string& place,
                            state::findings& out)
{
    constexpr std::uint64_t port_mask = (1U << port_bits) - 1;
    state::peer_entry peer;
    peer.name = it.name();
    peer.data_centre = it.data_centre();
    peer.forward.address =
        static_cast<std::uint32_t>(it.forward() >> port_bits);
    peer.forward.port = static_cast<std::uint16_t>(it.forward() & port_mask);
    peer.incarnations =
        read_ids(it.incarnations(), place + "/incarnations", out);
    peer.leaving = it.leaving();
    if (peer.name.empty() || peer.name.size() > max_host_name_bytes ||
        peer.data_centre.size() > max_host_name_bytes) {
        out.add(finding_code::out_of_range, place + "/name",
                "is empty or too long");
    }
    if (it.forward() >> (32U + port_bits) != 0 || peer.forward.port == 0) {
        out.add(finding_code::out_of_range, place + "/forward",
                "is no address with a port");
    }
    return peer;
}

template <class Message>
bool parse(Message& message, std::string_view bytes, state::findings& out)
{
    if (bytes.size() > max_peer_message_bytes) {
        out.add(finding_code::too_large, "", "message is too large");
        return false;
    }
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        out.add(finding_code::syntax, "", "message is malformed");
        return false;
    }
    return true;
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
    if (!parse(message, bytes, out)) {
        return out;
    }
    auto ids = read_ids(message.incarnations(), "/incarnations", out);
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
        peer.set_forward(
            (static_cast<std::uint64_t>(it.forward.address) << port_bits) |
            it.forward.port);
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
    if (!parse(message, bytes, out)) {
        return out;
    }
    if (static_cast<std::size_t>(message.peers_size()) > max_peers) {
        out.add(finding_code::too_large, "/peers", "are too many");
        return out;
    }
    std::vector<state::peer_entry> peers;
    for (const auto& it : message.peers()) {
        const auto place = "/peers/" + std::to_string(peers.size());
        peers.push_back(read_peer(it, place, out));
    }
    if (!out.empty()) {
        return out;
    }
    return peers;
}

} // namespace oriolegrade::protocol
