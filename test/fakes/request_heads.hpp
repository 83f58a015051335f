// Reads request heads from a connection, for fakes that answer each with bytes
// of their own.

#ifndef ORIOLEGRADE_TEST_FAKES_REQUEST_HEADS_HPP
#define ORIOLEGRADE_TEST_FAKES_REQUEST_HEADS_HPP

#include <oriolegrade/transport/fiber_yield.hpp>
#include <oriolegrade/transport/tcp.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>

#include <concepts>
#include <string>
#include <string_view>

namespace oriolegrade::test {

/// Serves requests without a body until the connection ends.
/// @param answer gets each head with its empty line, and writes the answer
template <std::invocable<std::string_view, transport::error_code&> Answer>
void serve_heads(transport::tcp_stream& stream, Answer answer)
{
    transport::error_code ec;
    std::string bytes;
    while (!ec) {
        const auto n = boost::asio::async_read_until(
            stream, boost::asio::dynamic_buffer(bytes), "\r\n\r\n",
            transport::fiber_yield(ec));
        if (ec) {
            return;
        }
        answer(std::string_view(bytes).substr(0, n), ec);
        bytes.erase(0, n);
    }
}

} // namespace oriolegrade::test

#endif
