// Sizes of chunked bodies.

#ifndef ORIOLEGRADE_PROTOCOL_CHUNK_LIMITS_HPP
#define ORIOLEGRADE_PROTOCOL_CHUNK_LIMITS_HPP

#include <cstddef>

namespace oriolegrade::protocol {

/// Bytes of a chunked body without content. Beast's parser (1.81) ends the
/// process by an assertion when the last chunk is the first one and it gets
/// four of them after three, so it gets none before all are there.
inline constexpr std::size_t shortest_chunked_body = 5;

} // namespace oriolegrade::protocol

#endif
