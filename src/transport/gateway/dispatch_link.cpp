// Reading and writing fibers of a link.

#include <oriolegrade/transport/gateway/dispatch_link.hpp>

#include <oriolegrade/transport/event_log.hpp>
#include <oriolegrade/transport/message_frame.hpp>

namespace oriolegrade::transport {

namespace {

/// Time for a new stream to be accepted.
constexpr std::chrono::milliseconds open_limit{400};
/// Frames that wait for a stream are dropped beyond this: the peer does not
/// take them, and their requests are asked for elsewhere.
constexpr std::size_t most_unsent_bytes = 256 * 1024;

} // namespace

stream_limits gateway_stream_limits()
{
    stream_limits limits;
    // A dispatcher that cannot be reached at once is not worth waiting for.
    limits.connect_timeout = std::chrono::milliseconds(300);
    limits.write_timeout = std::chrono::milliseconds(2000);
    limits.ping_interval = std::chrono::milliseconds(2000);
    return limits;
}

struct dispatch_link::connection : std::enable_shared_from_this<connection>
{
    connection(boost::asio::io_context& ioc_in, const state::endpoint& peer_in)
        : ioc(ioc_in)
        , peer(peer_in)
    {}

    boost::asio::io_context& ioc;
    const state::endpoint peer;
    std::function<protocol::entry_hello()> hello;
    frame_callback on_frame;
    std::function<void()> on_lost;
    /// Frames for the present or the next stream.
    std::string unsent;
    /// The fibers of a stream run.
    bool running = false;
    bool open = false;
    /// The owner is gone.
    bool abandoned = false;
    /// The present stream shall end.
    bool ending = false;
    std::shared_ptr<client_stream> stream;
    fiber_signal changed;

    void run();
    void run_stream();
    bool read_frames(client_stream& from);
    void write_frames(const std::shared_ptr<client_stream>& to);
};

void dispatch_link::connection::write_frames(
    const std::shared_ptr<client_stream>& to)
{
    for (;;) {
        changed.wait([&] { return ending || !unsent.empty(); });
        if (ending) {
            return;
        }
        const auto bytes = std::exchange(unsent, {});
        if (!to->write_all(boost::asio::buffer(bytes))) {
            return;
        }
    }
}

bool dispatch_link::connection::read_frames(client_stream& from)
{
    const auto status = from.status();
    if (!status || status.value() != 200) {
        return false;
    }
    from.set_deadline(session_stream::time_point::max());
    open = true;
    for (;;) {
        const auto bytes =
            read_message(from, protocol::max_dispatch_frame_bytes);
        if (!bytes || !bytes.value() || ending) {
            return true;
        }
        const auto frame = protocol::decode_dispatcher_frame(*bytes.value());
        if (!frame) {
            event(log_level::error, "dispatcher_frame_malformed")
                .with("peer", to_string(peer))
                .with("findings", frame.error().to_text("frame"));
            return true;
        }
        if (!abandoned) {
            // The end of the stream would free the places of all requests.
            run_step("dispatch_frame", [&] { on_frame(frame.value()); });
        }
    }
}

void dispatch_link::connection::run_stream()
{
    // Declared first, so that it outlives the streams.
    stream_client client(ioc, peer, {}, gateway_stream_limits());
    auto opened = client.open(dispatch_path, {}, open_limit);
    if (opened) {
        stream = std::make_shared<client_stream>(std::move(opened.value()));
        fiber_group writer;
        run_step("dispatch_link", [&] {
            unsent.insert(0, framed(protocol::encode_entry_frame(hello())));
            writer.spawn([this, to = stream] { write_frames(to); });
            read_frames(*stream);
        });
        ending = true;
        changed.notify();
        stream->cancel();
        writer.join();
        stream.reset();
    }
}

void dispatch_link::connection::run()
{
    // A link that counts as running opens no other stream.
    run_step("dispatch_link", [this] { run_stream(); });
    open = false;
    unsent.clear();
    running = false;
    if (!abandoned) {
        on_lost();
    }
}

dispatch_link::dispatch_link(boost::asio::io_context& ioc,
                             const state::endpoint& peer,
                             std::function<protocol::entry_hello()> hello,
                             frame_callback on_frame,
                             std::function<void()> on_lost)
    : state_(std::make_shared<connection>(ioc, peer))
{
    state_->hello = std::move(hello);
    state_->on_frame = std::move(on_frame);
    state_->on_lost = std::move(on_lost);
}

dispatch_link::~dispatch_link()
{
    state_->abandoned = true;
    reset();
}

void dispatch_link::send(const protocol::entry_frame& frame)
{
    if (state_->unsent.size() > most_unsent_bytes) {
        return;
    }
    state_->unsent += framed(protocol::encode_entry_frame(frame));
    if (!state_->running) {
        state_->running = true;
        state_->ending = false;
        spawn_fiber([s = state_] { s->run(); });
        return;
    }
    state_->changed.notify();
}

void dispatch_link::reset()
{
    if (!state_->running) {
        return;
    }
    state_->ending = true;
    state_->changed.notify();
    if (state_->stream) {
        state_->stream->cancel();
    }
}

bool dispatch_link::is_open() const
{
    return state_->open;
}

} // namespace oriolegrade::transport
