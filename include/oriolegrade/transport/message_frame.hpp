// Messages on a long-lived stream: a length in front of each.

#ifndef ORIOLEGRADE_TRANSPORT_MESSAGE_FRAME_HPP
#define ORIOLEGRADE_TRANSPORT_MESSAGE_FRAME_HPP

#include <oriolegrade/transport/stream_types.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/endian/conversion.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace oriolegrade::transport {

/// Length in front of a message: 32 bits, most significant byte first.
inline constexpr std::size_t frame_header_bytes = 4;

/// The message with its length in front.
inline std::string framed(std::string_view bytes)
{
    std::string frame(frame_header_bytes, '\0');
    boost::endian::store_big_u32(reinterpret_cast<unsigned char*>(frame.data()),
                                 static_cast<std::uint32_t>(bytes.size()));
    frame.append(bytes);
    return frame;
}

/// Writes one message to a stream with write_all().
template <class Stream>
stream_result<void> write_message(Stream& stream, std::string_view bytes)
{
    const auto frame = framed(bytes);
    return stream.write_all(boost::asio::buffer(frame));
}

/// Fills a buffer from a stream with read_some().
/// @return false when the stream ended before the first byte; an end later
///         is an error
template <class Stream>
stream_result<bool> read_exactly(Stream& stream, char* out, std::size_t size)
{
    std::size_t n = 0;
    while (n < size) {
        const auto part =
            stream.read_some(boost::asio::buffer(out + n, size - n));
        if (!part) {
            return part.error();
        }
        if (part.value() == 0) {
            if (n == 0) {
                return false;
            }
            return stream_error{stream_failure::connection_lost, true};
        }
        n += part.value();
    }
    return true;
}

/// Reads one message. Empty at the end of the stream.
/// @param limit longest message, in bytes; a longer one is an error
template <class Stream>
stream_result<std::optional<std::string>> read_message(Stream& stream,
                                                       std::size_t limit)
{
    std::array<char, frame_header_bytes> header{};
    const auto begun = read_exactly(stream, header.data(), header.size());
    if (!begun) {
        return begun.error();
    }
    if (!begun.value()) {
        return std::optional<std::string>();
    }
    const std::size_t size = boost::endian::load_big_u32(
        reinterpret_cast<const unsigned char*>(header.data()));
    if (size > limit) {
        return stream_error{stream_failure::too_large, true};
    }
    std::string bytes(size, '\0');
    const auto whole = read_exactly(stream, bytes.data(), size);
    if (!whole) {
        return whole.error();
    }
    if (!whole.value() && size > 0) {
        return stream_error{stream_failure::connection_lost, true};
    }
    return std::optional<std::string>(std::move(bytes));
}

} // namespace oriolegrade::transport

#endif
