// Agent's side of the feed.

#include <oriolegrade/transport/agent_feed.hpp>

#include <oriolegrade/coordination/feed.hpp>
#include <oriolegrade/protocol/config_messages.hpp>
#include <oriolegrade/transport/event_log.hpp>
#include <oriolegrade/transport/message_frame.hpp>

namespace oriolegrade::transport {

namespace {

constexpr std::size_t max_request_bytes = 1024;
/// Interval at which a stream without news is checked for its end.
constexpr std::chrono::seconds check_interval{1};

} // namespace

void serve_feed(agent_configuration& configuration, server_stream& stream)
{
    const auto bytes = stream.read_all(max_request_bytes);
    const auto request =
        bytes ? protocol::decode_feed_request(bytes.value())
              : state::result<state::feed_request, state::findings>(
                    state::findings());
    if (!request) {
        (void)stream.reply(400, "malformed feed request");
        return;
    }
    if (!stream.respond(200)) {
        return;
    }
    event(log_level::info, "feed_opened")
        .with("next_offset", request.value().next_offset);
    auto have = request.value();
    bool first = true;
    while (!stream.is_cancelled()) {
        const bool news =
            configuration.wait_beyond(have.next_offset, check_interval);
        // An entry that is up to date learns by the first update that it is.
        if (!news && !(first && configuration.ready())) {
            continue;
        }
        const auto update = coordination::make_feed_update(
            *configuration.current(), have, configuration.skipped());
        if (!write_message(stream, protocol::encode_feed_update(update))) {
            return;
        }
        have.next_offset = update.next_offset;
        first = false;
    }
}

} // namespace oriolegrade::transport
