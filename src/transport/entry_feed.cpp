// Entry's side of the feed.

#include <oriolegrade/transport/entry_feed.hpp>

#include <oriolegrade/coordination/feed.hpp>
#include <oriolegrade/protocol/config_messages.hpp>
#include <oriolegrade/transport/agent_feed.hpp>
#include <oriolegrade/transport/event_log.hpp>
#include <oriolegrade/transport/message_frame.hpp>

#include <boost/fiber/operations.hpp>

namespace oriolegrade::transport {

namespace {

constexpr std::chrono::milliseconds reconnect_pause{100};
constexpr std::chrono::seconds answer_limit{5};

} // namespace

entry_feed::entry_feed(boost::asio::io_context& ioc, entry_shared& shared,
                       service_control& services, const state::endpoint& agent,
                       const std::string& fleet_key)
    : shared_(shared)
    , services_(services)
    , client_(ioc, agent, fleet_key, stream_limits())
    , content_(shared.configuration.read())
{}

void entry_feed::follow()
{
    for (;;) {
        run_step("feed", [this] { read_updates(); });
        boost::this_fiber::sleep_for(reconnect_pause);
    }
}

void entry_feed::read_updates()
{
    auto stream = client_.open(feed_path, {}, answer_limit);
    if (!stream) {
        return;
    }
    auto& feed = stream.value();
    const auto request =
        protocol::encode_feed_request({content_->next_offset()});
    if (!feed.write_all(boost::asio::buffer(request))) {
        return;
    }
    feed.finish();
    const auto status = feed.status();
    if (!status || status.value() != 200) {
        return;
    }
    feed.set_deadline(session_stream::time_point::max());
    for (;;) {
        const auto bytes = read_message(feed, protocol::max_snapshot_bytes);
        if (!bytes || !bytes.value() || !take(*bytes.value())) {
            return;
        }
    }
}

bool entry_feed::take(std::string_view bytes)
{
    const auto update = protocol::decode_feed_update(bytes);
    if (!update) {
        event(log_level::error, "feed_update_malformed")
            .with("findings", update.error().to_text("feed"));
        return false;
    }
    // Kept only once it is in force: the next stream begins behind it.
    auto content = content_;
    const auto result =
        coordination::apply_feed_update(content, update.value());
    if (result == coordination::feed_result::gap) {
        return false;
    }
    if (result == coordination::feed_result::applied) {
        services_.take_configuration(*content);
        shared_.configuration.publish(content);
        content_ = content;
        event(log_level::info, "configuration_in_force")
            .with("next_offset", content_->next_offset())
            .with("changed", update.value().entries.size());
    }
    shared_.configured = true;
    return true;
}

} // namespace oriolegrade::transport
