// Fake upstream that keeps the bytes of each request head, however long its
// fields are, and answers all requests with the same bytes, in pieces.

#ifndef ORIOLEGRADE_TEST_FAKES_RAW_UPSTREAM_HPP
#define ORIOLEGRADE_TEST_FAKES_RAW_UPSTREAM_HPP

#include "request_heads.hpp"

#include <oriolegrade/transport/fiber_yield.hpp>
#include <oriolegrade/transport/listener.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/operations.hpp>

#include <chrono>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace oriolegrade::test {

/// A message with a chunked body without content, whose bytes arrive apart.
/// @param head first line and fields, each terminated by CRLF
inline std::vector<std::string>
with_empty_body_in_pieces(const std::string& head)
{
    return {head + "Transfer-Encoding: chunked\r\n\r\n",
            "0",
            "\r",
            "\n",
            "\r",
            "\n"};
}

class raw_upstream
{
public:
    /// @param pieces bytes of an answer, sent with a short pause between them
    raw_upstream(boost::asio::io_context& ioc, std::vector<std::string> pieces)
        : pieces_(std::move(pieces))
        , listener_(ioc, {0x7f000001, 0}, 100,
                    [this](transport::tcp_stream stream) {
                        serve(std::move(stream));
                    })
    {}

    state::endpoint address() const
    {
        return listener_.address();
    }

    /// Heads in order of arrival, with the empty line.
    std::vector<std::string> heads;

private:
    void serve(transport::tcp_stream stream)
    {
        serve_heads(
            stream, [&](std::string_view head, transport::error_code& ec) {
                heads.emplace_back(head);
                for (const auto& it : pieces_) {
                    boost::asio::async_write(stream, boost::asio::buffer(it),
                                             transport::fiber_yield(ec));
                    boost::this_fiber::sleep_for(std::chrono::milliseconds(5));
                }
            });
    }

    std::vector<std::string> pieces_;
    transport::listener listener_;
};

} // namespace oriolegrade::test

#endif
