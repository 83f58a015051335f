// Choice of the successor and transfer of the tables.

#include <oriolegrade/transport/handover.hpp>

#include <oriolegrade/protocol/once_messages.hpp>
#include <oriolegrade/state/digest.hpp>
#include <oriolegrade/transport/event_log.hpp>
#include <oriolegrade/transport/forward_server.hpp>
#include <oriolegrade/transport/stream_client.hpp>

namespace oriolegrade::transport {

namespace {

constexpr std::chrono::seconds transfer_limit{10};
constexpr int max_transfers = 3;

/// Live host with the highest rendezvous weight for this incarnation, so that
/// the tables of a rack that stops together spread over the fleet.
const state::peer_entry* choose_successor(const state::peer_directory& peers,
                                          const once_shared& once)
{
    const auto own =
        to_string(once.incarnations.own()->authority.incarnation());
    const state::peer_entry* best = nullptr;
    state::identifier best_weight;
    for (const auto& it : peers.peers()) {
        if (it.leaving || it.name == once.host || it.incarnations.empty()) {
            continue;
        }
        const auto weight = state::short_digest_of({"successor", own, it.name});
        if (!best || weight > best_weight) {
            best = &it;
            best_weight = weight;
        }
    }
    return best;
}

/// The same bytes are sent again after a lost answer; an import that is
/// repeated is ignored by the successor.
bool transfer(stream_client& client, const std::string& bytes)
{
    for (int n = 0; n < max_transfers; ++n) {
        const auto reply =
            client.call(handover_path, {}, bytes, transfer_limit);
        if (reply) {
            return reply.value().status == 200;
        }
    }
    return false;
}

} // namespace

bool hand_over(boost::asio::io_context& ioc, once_shared& once)
{
    once.handed_over = true;
    const auto peers = once.peers.read();
    const auto* successor = choose_successor(*peers, once);
    if (!successor) {
        event(log_level::warning, "handover_without_successor");
        return false;
    }
    const auto tables = once.incarnations.export_all(
        successor->incarnations.front(), std::chrono::steady_clock::now());
    stream_client client(ioc, successor->forward, once.fleet_key,
                         stream_limits());
    bool all = true;
    for (const auto& it : tables) {
        all = transfer(client, protocol::encode(it)) && all;
    }
    event(log_level::info, "handover")
        .with("successor", successor->name)
        .with("incarnations", tables.size())
        .with("confirmed", all ? "yes" : "no");
    return all;
}

} // namespace oriolegrade::transport
