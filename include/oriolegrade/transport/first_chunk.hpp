// Reads HTTP messages by Beast, which must not see the begin of a chunked body
// too early.

#ifndef ORIOLEGRADE_TRANSPORT_FIRST_CHUNK_HPP
#define ORIOLEGRADE_TRANSPORT_FIRST_CHUNK_HPP

#include <oriolegrade/protocol/chunk_limits.hpp>
#include <oriolegrade/transport/fiber_yield.hpp>
#include <oriolegrade/transport/tcp.hpp>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>

#include <concepts>

namespace oriolegrade::transport {

/// Waits for the bytes that the parser needs to look at the first chunk; see
/// protocol::shortest_chunked_body. To be called after the head was read.
template <class Parser>
void read_first_chunk(tcp_stream& stream, boost::beast::flat_buffer& buf,
                      const Parser& parser, error_code& ec)
{
    constexpr std::size_t step = 512;
    while (!ec && parser.chunked() && !parser.is_done() &&
           buf.size() < protocol::shortest_chunked_body) {
        buf.commit(stream.async_read_some(buf.prepare(step), fiber_yield(ec)));
    }
}

/// Reads a whole message.
/// @param on_part called before each read behind the head
template <class Parser, std::invocable OnPart>
void read_http_message(tcp_stream& stream, boost::beast::flat_buffer& buf,
                       Parser& parser, error_code& ec, OnPart on_part)
{
    boost::beast::http::async_read_header(stream, buf, parser, fiber_yield(ec));
    read_first_chunk(stream, buf, parser, ec);
    while (!ec && !parser.is_done()) {
        on_part();
        boost::beast::http::async_read_some(stream, buf, parser,
                                            fiber_yield(ec));
    }
}

template <class Parser>
void read_http_message(tcp_stream& stream, boost::beast::flat_buffer& buf,
                       Parser& parser, error_code& ec)
{
    read_http_message(stream, buf, parser, ec, [] {});
}

} // namespace oriolegrade::transport

#endif
