// Bodies that a receiver can verify: each byte follows from the request id
// and its position, so a truncated, mixed or foreign body is detected without
// keeping it.

#ifndef ORIOLEGRADE_PROGRAMS_COMMON_PATTERN_BODY_HPP
#define ORIOLEGRADE_PROGRAMS_COMMON_PATTERN_BODY_HPP

#include <oriolegrade/transport/fiber_yield.hpp>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/crc.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
#include <string_view>

namespace oriolegrade::programs {

/// Bytes of a body that are in memory at once.
inline constexpr std::size_t body_piece_bytes = 8 * 1024;

inline std::uint32_t checksum(std::string_view text)
{
    boost::crc_32_type crc;
    crc.process_bytes(text.data(), text.size());
    return crc.checksum();
}

/// Generates the body that belongs to a request id.
class body_pattern
{
public:
    explicit body_pattern(std::string_view request_id)
        : seed_(checksum(request_id))
    {}

    /// Byte at a position (splitmix64 of the seed and the 8-byte block).
    char at(std::uint64_t position) const
    {
        auto x = seed_ * 0x9e3779b97f4a7c15 + position / 8;
        x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9;
        x = (x ^ (x >> 27U)) * 0x94d049bb133111eb;
        x ^= x >> 31U;
        return static_cast<char>(x >> (8 * (position % 8)));
    }

private:
    std::uint64_t seed_;
};

/// What a received body contained.
struct body_check
{
    std::uint64_t length = 0;
    std::uint32_t crc = 0;
    /// Each byte was the one that the pattern gives.
    bool matches = true;
    boost::system::error_code ec;
};

/// Writes the header and `sent` bytes of the pattern. The message is finished
/// only when `finish` is set; otherwise the caller must close the connection.
template <bool IsRequest>
boost::system::error_code write_pattern_message(
    boost::beast::tcp_stream& stream,
    boost::beast::http::message<IsRequest, boost::beast::http::buffer_body>&
        message,
    const body_pattern& pattern, std::uint64_t sent, bool finish = true)
{
    namespace http = boost::beast::http;
    using transport::fiber_yield;
    boost::system::error_code ec;
    message.body().data = nullptr;
    message.body().size = 0;
    message.body().more = sent > 0 || !finish;
    http::serializer<IsRequest, http::buffer_body> writer(message);
    http::async_write_header(stream, writer, fiber_yield(ec));
    std::array<char, body_piece_bytes> piece;
    std::uint64_t position = 0;
    while (!ec && position < sent) {
        const auto n = std::min<std::uint64_t>(piece.size(), sent - position);
        for (std::uint64_t i = 0; i < n; ++i) {
            piece[i] = pattern.at(position + i);
        }
        position += n;
        message.body().data = piece.data();
        message.body().size = n;
        message.body().more = position < sent || !finish;
        http::async_write(stream, writer, fiber_yield(ec));
        if (ec == http::error::need_buffer) {
            ec = {};
        }
    }
    if (!ec && sent == 0 && finish && !writer.is_done()) {
        http::async_write(stream, writer, fiber_yield(ec));
    }
    return ec;
}

/// Reads the rest of a message whose header is read and compares its body
/// with the pattern.
template <bool IsRequest>
body_check read_pattern_body(
    boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer,
    boost::beast::http::parser<IsRequest, boost::beast::http::buffer_body>&
        parser,
    const body_pattern& pattern)
{
    namespace http = boost::beast::http;
    body_check check;
    boost::crc_32_type crc;
    std::array<char, body_piece_bytes> piece;
    while (!check.ec && !parser.is_done()) {
        parser.get().body().data = piece.data();
        parser.get().body().size = piece.size();
        http::async_read(stream, buffer, parser,
                         transport::fiber_yield(check.ec));
        if (check.ec == http::error::need_buffer) {
            check.ec = {};
        }
        const auto n = piece.size() - parser.get().body().size;
        for (std::size_t i = 0; i < n; ++i) {
            check.matches =
                check.matches && piece[i] == pattern.at(check.length + i);
        }
        crc.process_bytes(piece.data(), n);
        check.length += n;
    }
    check.crc = crc.checksum();
    return check;
}

} // namespace oriolegrade::programs

#endif
