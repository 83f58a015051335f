// Translates events of nghttp2 into changes of streams.

#include "stream_callbacks.hpp"

#include <oriolegrade/transport/task_fault.hpp>

namespace oriolegrade::transport {

namespace {

stream_session& session_of(void* user)
{
    return *static_cast<stream_session*>(user);
}

/// A callback as nghttp2 gets it. An exception must not pass through nghttp2,
/// whose state would be half changed.
/// @tparam fault what nghttp2 hears instead: the connection ends, unless it is
///         NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE, which resets the stream
template <auto Callback, int fault = NGHTTP2_ERR_CALLBACK_FAILURE>
struct guarded;

template <class Result, class... Arguments, Result (*Callback)(Arguments...),
          int fault>
struct guarded<Callback, fault>
{
    static Result call(Arguments... arguments)
    {
        Result out = fault;
        run_step("stream_callback", [&] { out = Callback(arguments...); });
        return out;
    }
};

bool ends_stream(const nghttp2_frame* frame)
{
    return (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
}

} // namespace

void stream_callbacks::install(nghttp2_session_callbacks* callbacks)
{
    constexpr int reset = NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    nghttp2_session_callbacks_set_on_begin_headers_callback(
        callbacks, guarded<&on_begin_headers, reset>::call);
    nghttp2_session_callbacks_set_on_header_callback(
        callbacks, guarded<&on_header, reset>::call);
    nghttp2_session_callbacks_set_on_frame_recv_callback(
        callbacks, guarded<&on_frame>::call);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
        callbacks, guarded<&on_data>::call);
    nghttp2_session_callbacks_set_on_stream_close_callback(
        callbacks, guarded<&on_close>::call);
    nghttp2_session_callbacks_set_before_frame_send_callback(
        callbacks, guarded<&before_send>::call);
    nghttp2_session_callbacks_set_on_frame_send_callback(
        callbacks, guarded<&after_send>::call);
    nghttp2_session_callbacks_set_on_frame_not_send_callback(
        callbacks, guarded<&on_not_sent>::call);
}

int stream_callbacks::on_begin_headers(nghttp2_session*,
                                       const nghttp2_frame* frame, void* user)
{
    auto& session = session_of(user);
    if (session.is_client() || frame->headers.cat != NGHTTP2_HCAT_REQUEST) {
        return 0;
    }
    const auto id = frame->hd.stream_id;
    auto stream =
        std::make_shared<session_stream>(session.shared_from_this(), false);
    stream->id_ = id;
    session.streams_.emplace(id, std::move(stream));
    return 0;
}

int stream_callbacks::on_header(nghttp2_session*, const nghttp2_frame* frame,
                                const std::uint8_t* name,
                                std::size_t name_length,
                                const std::uint8_t* value,
                                std::size_t value_length, std::uint8_t,
                                void* user)
{
    auto& session = session_of(user);
    const auto stream = session.find(frame->hd.stream_id);
    if (!stream) {
        return 0;
    }
    stream->received_bytes_ += name_length + value_length;
    if (stream->received_bytes_ > session.limits_.header_bytes) {
        // Resets this stream only.
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    stream->received_.push_back(
        {std::string(reinterpret_cast<const char*>(name), name_length),
         std::string(reinterpret_cast<const char*>(value), value_length)});
    return 0;
}

void stream_callbacks::headers_complete(
    stream_session& session, const stream_session::stream_ptr& stream)
{
    if (stream->headers_complete_) {
        return;
    }
    stream->headers_complete_ = true;
    if (session.is_client()) {
        return;
    }
    if (session.refusing_) {
        // Above the id that the GOAWAY names: never given to the application.
        stream->reset(NGHTTP2_REFUSED_STREAM);
        return;
    }
    if (!run_step("stream_request", [&] { session.on_request_(stream); })) {
        stream->reset(NGHTTP2_INTERNAL_ERROR);
    }
}

int stream_callbacks::on_frame(nghttp2_session*, const nghttp2_frame* frame,
                               void* user)
{
    auto& session = session_of(user);
    if (frame->hd.type == NGHTTP2_GOAWAY) {
        session.draining_ = true;
        session.capacity_.notify();
        return 0;
    }
    const auto stream = session.find(frame->hd.stream_id);
    if (!stream ||
        (frame->hd.type != NGHTTP2_HEADERS && frame->hd.type != NGHTTP2_DATA)) {
        return 0;
    }
    stream->input_ended_ = stream->input_ended_ || ends_stream(frame);
    if (frame->hd.type == NGHTTP2_HEADERS) {
        headers_complete(session, stream);
    }
    stream->changed_.notify();
    return 0;
}

int stream_callbacks::on_data(nghttp2_session* raw, std::uint8_t,
                              std::int32_t id, const std::uint8_t* data,
                              std::size_t length, void* user)
{
    // The connection's window is opened at once; the stream's own window
    // bounds what an unread stream holds.
    nghttp2_session_consume_connection(raw, length);
    const auto stream = session_of(user).find(id);
    if (stream && !stream->closed_) {
        stream->input_.append(reinterpret_cast<const char*>(data), length);
        stream->changed_.notify();
    }
    return 0;
}

int stream_callbacks::on_close(nghttp2_session*, std::int32_t id,
                               std::uint32_t code, void* user)
{
    session_of(user).erase(id,
                           code == NGHTTP2_REFUSED_STREAM
                               ? stream_failure::refused
                               : stream_failure::reset,
                           code);
    return 0;
}

int stream_callbacks::before_send(nghttp2_session*, const nghttp2_frame* frame,
                                  void* user)
{
    if (frame->hd.type != NGHTTP2_HEADERS) {
        return 0;
    }
    const auto stream = session_of(user).find(frame->hd.stream_id);
    if (!stream) {
        return 0;
    }
    if (stream->closed_ && !stream->headers_sent_) {
        // The caller was told that nothing was sent, so nothing may be.
        return NGHTTP2_ERR_CANCEL;
    }
    stream->headers_sent_ = true;
    return 0;
}

int stream_callbacks::after_send(nghttp2_session* raw,
                                 const nghttp2_frame* frame, void* user)
{
    auto& session = session_of(user);
    const bool may_end =
        frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
    if (session.is_client() || !may_end || !ends_stream(frame)) {
        return 0;
    }
    const auto stream = session.find(frame->hd.stream_id);
    if (stream && !stream->input_ended_) {
        // The answer is whole: a peer that still sends its request would wait
        // for a window that nobody opens (RFC 9113, section 8.1).
        nghttp2_submit_rst_stream(raw, NGHTTP2_FLAG_NONE, frame->hd.stream_id,
                                  NGHTTP2_NO_ERROR);
    }
    return 0;
}

int stream_callbacks::on_not_sent(nghttp2_session*, const nghttp2_frame* frame,
                                  int, void* user)
{
    auto& session = session_of(user);
    if (frame->hd.type == NGHTTP2_HEADERS &&
        frame->headers.cat == NGHTTP2_HCAT_REQUEST && session.is_client()) {
        session.erase(frame->hd.stream_id, stream_failure::refused,
                      NGHTTP2_REFUSED_STREAM);
    }
    return 0;
}

ssize_t stream_callbacks::read_output(nghttp2_session*, std::int32_t,
                                      std::uint8_t* out, std::size_t length,
                                      std::uint32_t* flags,
                                      nghttp2_data_source* source, void*)
{
    auto& stream = *static_cast<session_stream*>(source->ptr);
    const auto n = stream.take_output(out, length);
    if (stream.output_ended_ && stream.unsent_bytes() == 0) {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    } else if (n == 0) {
        stream.output_deferred_ = true;
        return NGHTTP2_ERR_DEFERRED;
    }
    return static_cast<ssize_t>(n);
}

} // namespace oriolegrade::transport
