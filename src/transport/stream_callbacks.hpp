// Callbacks that nghttp2 calls for a session.

#ifndef ORIOLEGRADE_TRANSPORT_STREAM_CALLBACKS_HPP
#define ORIOLEGRADE_TRANSPORT_STREAM_CALLBACKS_HPP

#include <oriolegrade/transport/stream_session.hpp>

#include <nghttp2/nghttp2.h>

#include <sys/types.h>

namespace oriolegrade::transport {

struct stream_callbacks
{
    static void install(nghttp2_session_callbacks* callbacks);

    static int on_begin_headers(nghttp2_session*, const nghttp2_frame* frame,
                                void* user);
    static int on_header(nghttp2_session*, const nghttp2_frame* frame,
                         const std::uint8_t* name, std::size_t name_length,
                         const std::uint8_t* value, std::size_t value_length,
                         std::uint8_t flags, void* user);
    static int on_frame(nghttp2_session*, const nghttp2_frame* frame,
                        void* user);
    static int on_data(nghttp2_session*, std::uint8_t flags, std::int32_t id,
                       const std::uint8_t* data, std::size_t length,
                       void* user);
    static int on_close(nghttp2_session*, std::int32_t id, std::uint32_t code,
                        void* user);
    static int before_send(nghttp2_session*, const nghttp2_frame* frame,
                           void* user);
    static int after_send(nghttp2_session*, const nghttp2_frame* frame,
                          void* user);
    static int on_not_sent(nghttp2_session*, const nghttp2_frame* frame,
                           int error, void* user);
    static ssize_t read_output(nghttp2_session*, std::int32_t id,
                               std::uint8_t* out, std::size_t length,
                               std::uint32_t* flags,
                               nghttp2_data_source* source, void* user);

    static void headers_complete(stream_session& session,
                                 const stream_session::stream_ptr& stream);
};

} // namespace oriolegrade::transport

#endif
