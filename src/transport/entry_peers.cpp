// Entry's side of the peer stream.

#include <oriolegrade/transport/entry_peers.hpp>

#include <oriolegrade/protocol/peer_messages.hpp>
#include <oriolegrade/transport/event_log.hpp>
#include <oriolegrade/transport/message_frame.hpp>

#include <boost/fiber/operations.hpp>

namespace oriolegrade::transport {

namespace {

constexpr std::chrono::milliseconds reconnect_pause{100};
constexpr std::chrono::seconds answer_limit{5};

} // namespace

entry_peers::entry_peers(boost::asio::io_context& ioc, once_shared& once,
                         service_control& services,
                         const state::endpoint& agent)
    : once_(once)
    , services_(services)
    , client_(ioc, agent, once.fleet_key, stream_limits())
{}

void entry_peers::follow()
{
    for (;;) {
        run_step("peers", [this] { read_updates(); });
        stream_.reset();
        boost::this_fiber::sleep_for(reconnect_pause);
    }
}

void entry_peers::announce()
{
    if (stream_) {
        stream_->cancel();
    }
}

void entry_peers::read_updates()
{
    auto opened = client_.open(peers_path, {}, answer_limit);
    if (!opened) {
        return;
    }
    stream_.emplace(std::move(opened.value()));
    const auto request =
        protocol::encode_peer_request(once_.incarnations.held_ids());
    if (!stream_->write_all(boost::asio::buffer(request))) {
        return;
    }
    stream_->finish();
    const auto status = stream_->status();
    if (!status || status.value() != 200) {
        return;
    }
    stream_->set_deadline(session_stream::time_point::max());
    for (;;) {
        const auto bytes =
            read_message(*stream_, protocol::max_peer_message_bytes);
        if (!bytes || !bytes.value()) {
            return;
        }
        auto peers = protocol::decode_peer_update(*bytes.value());
        if (!peers) {
            event(log_level::error, "peer_update_malformed")
                .with("findings", peers.error().to_text("peers"));
            return;
        }
        const auto directory = std::make_shared<const state::peer_directory>(
            std::move(peers.value()));
        once_.peers.publish(directory);
        services_.take_peers(*directory);
    }
}

} // namespace oriolegrade::transport
