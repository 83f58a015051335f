// Reads the begin of a chunked body before Beast's parser looks at it.

#ifndef ORIOLEGRADE_TRANSPORT_FIRST_CHUNK_HPP
#define ORIOLEGRADE_TRANSPORT_FIRST_CHUNK_HPP

#include <oriolegrade/protocol/chunk_limits.hpp>
#include <oriolegrade/transport/fiber_yield.hpp>
#include <oriolegrade/transport/tcp.hpp>

#include <boost/beast/core/flat_buffer.hpp>

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

} // namespace oriolegrade::transport

#endif
