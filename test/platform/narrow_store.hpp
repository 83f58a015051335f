// Stand-in for the platform's store behind a narrow link: every answer is the
// page with one document, and all answers in progress share the link.

#ifndef ORIOLEGRADE_TEST_PLATFORM_NARROW_STORE_HPP
#define ORIOLEGRADE_TEST_PLATFORM_NARROW_STORE_HPP

#include "fakes/request_heads.hpp"

#include <oriolegrade/protocol/base64.hpp>
#include <oriolegrade/transport/fiber_yield.hpp>
#include <oriolegrade/transport/listener.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <chrono>
#include <string>
#include <string_view>

namespace oriolegrade::test {

class narrow_store
{
public:
    /// @param bytes_per_s what the link carries
    narrow_store(boost::asio::io_context& ioc, std::size_t bytes_per_s)
        : step_bytes_(bytes_per_s / steps_per_s)
        , listener_(ioc, {0x7f000001, 0}, 100,
                    [this](transport::tcp_stream stream) {
                        serve(std::move(stream));
                    })
    {}

    state::endpoint address() const
    {
        return listener_.address();
    }

    void put(const std::string& document)
    {
        const auto body = R"({"items": [{"key": "config", "value": ")" +
                          protocol::encode_base64(document) +
                          R"("}], "has_more": false, "end_offset": 1})";
        answer_ = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                  "Content-Length: " +
                  std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    /// Answers in progress at one time, at most.
    int most_at_once = 0;

private:
    static constexpr std::size_t steps_per_s = 50;

    void serve(transport::tcp_stream stream)
    {
        serve_heads(stream, [&](std::string_view, transport::error_code& ec) {
            most_at_once = std::max(most_at_once, ++in_progress_);
            send(stream, ec);
            --in_progress_;
        });
    }

    void send(transport::tcp_stream& stream, transport::error_code& ec)
    {
        const auto answer = answer_;
        for (std::size_t sent = 0; sent < answer.size() && !ec;) {
            boost::this_fiber::sleep_for(std::chrono::milliseconds(1000) /
                                         steps_per_s);
            const auto n =
                std::min(answer.size() - sent,
                         step_bytes_ / static_cast<std::size_t>(in_progress_));
            boost::asio::async_write(
                stream, boost::asio::buffer(answer.data() + sent, n),
                transport::fiber_yield(ec));
            sent += n;
        }
    }

    const std::size_t step_bytes_;
    std::string answer_;
    int in_progress_ = 0;
    transport::listener listener_;
};

} // namespace oriolegrade::test

#endif
