// Concepts of streamed bodies: where a request body comes from and where an
// answer goes. Callers' connections and host-to-host streams model both, so
// one request runner serves them.

#ifndef ORIOLEGRADE_TRANSPORT_BODY_STREAM_HPP
#define ORIOLEGRADE_TRANSPORT_BODY_STREAM_HPP

#include <oriolegrade/protocol/http_head.hpp>
#include <oriolegrade/transport/tcp.hpp>

#include <concepts>
#include <cstddef>
#include <span>
#include <string_view>

namespace oriolegrade::transport {

/// Request body. read_some() returns 0 without an error at its end.
template <class Source>
concept body_source = requires(Source& s, std::span<char> buf, error_code& ec)
{
    {
        s.read_some(buf, ec)
        } -> std::same_as<std::size_t>;
};

/// Receiver of an answer. start() once, write() any number of times, then
/// finish(); a sink that is never finished shows its reader an incomplete
/// answer.
template <class Sink>
concept answer_sink = requires(Sink& s, const protocol::answer_head& head,
                               std::string_view bytes, error_code& ec)
{
    s.start(head, ec);
    s.write(bytes, ec);
    s.finish(ec);
};

} // namespace oriolegrade::transport

#endif
