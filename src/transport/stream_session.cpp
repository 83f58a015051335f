// The connection of a stream session: socket, fibers and life cycle.

#include <oriolegrade/transport/stream_session.hpp>

#include "stream_callbacks.hpp"

#include <oriolegrade/transport/fiber_yield.hpp>

#include <boost/asio/write.hpp>

#include <array>

namespace oriolegrade::transport {

namespace {

/// Bytes gathered for one write of the socket.
constexpr std::size_t write_batch_bytes = 32 * 1024;
constexpr std::size_t read_buffer_bytes = 8 * 1024;

using callbacks_ptr = std::unique_ptr<nghttp2_session_callbacks,
                                      decltype(&nghttp2_session_callbacks_del)>;
using option_ptr =
    std::unique_ptr<nghttp2_option, decltype(&nghttp2_option_del)>;

callbacks_ptr make_callbacks()
{
    nghttp2_session_callbacks* raw = nullptr;
    nghttp2_session_callbacks_new(&raw);
    stream_callbacks::install(raw);
    return {raw, &nghttp2_session_callbacks_del};
}

option_ptr make_option()
{
    nghttp2_option* raw = nullptr;
    nghttp2_option_new(&raw);
    // Windows open by what the application has read.
    nghttp2_option_set_no_auto_window_update(raw, 1);
    // Closed streams are of no use: only priorities would need them.
    nghttp2_option_set_no_closed_streams(raw, 1);
    return {raw, &nghttp2_option_del};
}

nghttp2_nv make_nv(std::string_view name, std::string_view value)
{
    // nghttp2 copies both and does not change them.
    const auto bytes = [](std::string_view s) {
        return reinterpret_cast<std::uint8_t*>(const_cast<char*>(s.data()));
    };
    return {bytes(name), bytes(value), name.size(), value.size(),
            NGHTTP2_NV_FLAG_NONE};
}

void append_headers(std::vector<nghttp2_nv>& out, const stream_headers& headers)
{
    for (const auto& h : headers) {
        out.push_back(make_nv(h.name, h.value));
    }
}

nghttp2_data_provider make_provider(session_stream& stream)
{
    nghttp2_data_provider out{};
    out.source.ptr = &stream;
    out.read_callback = &stream_callbacks::read_output;
    return out;
}

} // namespace

stream_session::stream_session(boost::beast::tcp_stream socket,
                               const stream_limits& limits,
                               request_handler on_request)
    : socket_(std::move(socket))
    , limits_(limits)
    , on_request_(std::move(on_request))
{
    const auto callbacks = make_callbacks();
    const auto option = make_option();
    if (is_client()) {
        nghttp2_session_client_new2(&session_, callbacks.get(), this,
                                    option.get());
    } else {
        nghttp2_session_server_new2(&session_, callbacks.get(), this,
                                    option.get());
    }
    submit_settings();
}

stream_session::~stream_session()
{
    nghttp2_session_del(session_);
}

void stream_session::submit_settings()
{
    const std::array<nghttp2_settings_entry, 4> entries{{
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, limits_.streams},
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, limits_.window_bytes},
        {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE,
         static_cast<std::uint32_t>(limits_.header_bytes)},
        {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
    }};
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, entries.data(),
                            entries.size());
    // The connection's window must not throttle what streams may carry.
    nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0,
                                          1 << 20);
}

void stream_session::start(fiber_group& group)
{
    const auto self = shared_from_this();
    const auto spawn = [&](std::string_view task,
                           void (stream_session::*loop)()) {
        group.spawn([self, task, loop] {
            // Each loop ends the connection; streams must not wait for one
            // that has ended.
            if (!run_step(task, [&] { (*self.*loop)(); })) {
                self->close();
            }
        });
    };
    spawn("stream_read", &stream_session::read_loop);
    spawn("stream_write", &stream_session::write_loop);
    spawn("stream_watch", &stream_session::watch_loop);
}

void stream_session::read_loop()
{
    std::array<std::uint8_t, read_buffer_bytes> buffer;
    while (!closed_) {
        boost::system::error_code ec;
        socket_.expires_never();
        const auto n = socket_.async_read_some(boost::asio::buffer(buffer),
                                               fiber_yield(ec));
        if (ec || closed_) {
            break;
        }
        last_received_ = clock::now();
        // Whatever arrives answers the ping.
        ping_pending_ = false;
        if (nghttp2_session_mem_recv(session_, buffer.data(), n) < 0) {
            break;
        }
        schedule_write();
    }
    close();
}

bool stream_session::fill_output(std::string& out)
{
    out.clear();
    while (out.size() < write_batch_bytes) {
        const std::uint8_t* data = nullptr;
        const auto n = nghttp2_session_mem_send(session_, &data);
        if (n < 0) {
            return false;
        }
        if (n == 0) {
            break;
        }
        out.append(reinterpret_cast<const char*>(data),
                   static_cast<std::size_t>(n));
    }
    return true;
}

void stream_session::write_loop()
{
    std::string out;
    while (!closed_) {
        write_pending_ = false;
        if (!fill_output(out)) {
            break;
        }
        if (out.empty()) {
            if (nghttp2_session_want_read(session_) == 0 &&
                nghttp2_session_want_write(session_) == 0) {
                break;
            }
            // An idle connection keeps no output buffer.
            std::string().swap(out);
            writable_.wait([this] { return write_pending_ || closed_; });
            continue;
        }
        boost::system::error_code ec;
        socket_.expires_after(limits_.write_timeout);
        boost::asio::async_write(socket_, boost::asio::buffer(out),
                                 fiber_yield(ec));
        if (ec) {
            break;
        }
    }
    close();
}

void stream_session::watch_loop()
{
    while (!closed_) {
        ended_.wait_until(clock::now() + limits_.ping_interval,
                          [this] { return closed_; });
        if (!closed_ && !check_liveness()) {
            close();
        }
    }
}

bool stream_session::check_liveness()
{
    const auto now = clock::now();
    // A check that comes late shows that this process was paused, and bytes
    // that wait in the socket show that the peer is alive: neither silence
    // proves a dead peer.
    const bool was_paused = now - last_check_ > limits_.ping_interval * 5 / 4;
    last_check_ = now;
    boost::system::error_code ec;
    const bool has_input = socket_.socket().available(ec) > 0;
    if (now - last_received_ < limits_.ping_interval || has_input) {
        ping_pending_ = false;
    } else if (ping_pending_) {
        if (!was_paused) {
            return false;
        }
    } else {
        ping_pending_ = true;
        nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
        schedule_write();
    }
    if (!streams_.empty()) {
        last_stream_ = now;
        return true;
    }
    if (now - last_stream_ >= limits_.idle_timeout) {
        shut_down();
    }
    // A peer that ignores the GOAWAY is cut off.
    return now - last_stream_ < 2 * limits_.idle_timeout;
}

void stream_session::schedule_write()
{
    write_pending_ = true;
    writable_.notify();
}

stream_session::stream_ptr stream_session::find(std::int32_t id)
{
    const auto it = streams_.find(id);
    return it == streams_.end() ? nullptr : it->second;
}

void stream_session::erase(std::int32_t id, stream_failure failure,
                           std::uint32_t code)
{
    const auto stream = find(id);
    if (!stream) {
        return;
    }
    streams_.erase(id);
    last_stream_ = clock::now();
    stream->close(failure, code);
    capacity_.notify();
}

void stream_session::shut_down()
{
    if (closed_ || draining_) {
        return;
    }
    draining_ = true;
    if (is_client()) {
        nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE, 0, NGHTTP2_NO_ERROR,
                              nullptr, 0);
    } else {
        // Not yet the final GOAWAY: requests may be on their way, and closing
        // under them would make their outcome unknown (RFC 9113, section 6.8).
        nghttp2_submit_shutdown_notice(session_);
    }
    schedule_write();
}

void stream_session::refuse_new_streams()
{
    if (closed_ || refusing_) {
        return;
    }
    refusing_ = true;
    draining_ = true;
    nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE,
                          nghttp2_session_get_last_proc_stream_id(session_),
                          NGHTTP2_NO_ERROR, nullptr, 0);
    schedule_write();
}

void stream_session::close()
{
    if (closed_) {
        return;
    }
    closed_ = true;
    socket_.close();
    while (!streams_.empty()) {
        erase(streams_.begin()->first, stream_failure::connection_lost, 0);
    }
    writable_.notify();
    ended_.notify();
    capacity_.notify();
}

stream_result<stream_session::stream_ptr>
stream_session::open(std::string_view path, const stream_headers& headers,
                     bool with_body, session_stream::time_point deadline)
{
    const auto has_room = [this] {
        const auto peer = nghttp2_session_get_remote_settings(
            session_, NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS);
        return streams_.size() < std::min(peer, limits_.streams);
    };
    if (!capacity_.wait_until(deadline,
                              [&] { return !is_usable() || has_room(); })) {
        return stream_error{stream_failure::no_capacity, false};
    }
    if (!is_usable()) {
        return stream_error{stream_failure::refused, false};
    }
    std::vector<nghttp2_nv> block{
        make_nv(":method", "POST"), make_nv(":scheme", "http"),
        make_nv(":path", path), make_nv(":authority", "fleet")};
    append_headers(block, headers);
    auto stream = std::make_shared<session_stream>(shared_from_this(), true);
    stream->deadline_ = deadline;
    const auto provider = make_provider(*stream);
    const auto id =
        nghttp2_submit_request(session_, nullptr, block.data(), block.size(),
                               with_body ? &provider : nullptr, nullptr);
    if (id < 0) {
        // Ids are used up; the next call connects anew.
        shut_down();
        return stream_error{stream_failure::refused, false};
    }
    stream->id_ = id;
    stream->output_ended_ = !with_body;
    streams_.emplace(id, stream);
    schedule_write();
    return stream;
}

stream_result<void> session_stream::respond(unsigned status,
                                            const stream_headers& headers,
                                            bool with_body)
{
    if (closed_ || responded_) {
        return error();
    }
    const auto text = std::to_string(status);
    std::vector<nghttp2_nv> block{make_nv(":status", text)};
    append_headers(block, headers);
    const auto provider = make_provider(*this);
    output_ended_ = !with_body;
    responded_ = true;
    nghttp2_submit_response(session_->session_, id_, block.data(), block.size(),
                            with_body ? &provider : nullptr);
    session_->schedule_write();
    return state::outcome::success();
}

} // namespace oriolegrade::transport
