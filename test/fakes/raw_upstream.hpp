// Fake upstream that keeps the bytes of each request head, however long its
// fields are, and answers all requests with the same bytes.

#ifndef ORIOLEGRADE_TEST_FAKES_RAW_UPSTREAM_HPP
#define ORIOLEGRADE_TEST_FAKES_RAW_UPSTREAM_HPP

#include <oriolegrade/transport/fiber_yield.hpp>
#include <oriolegrade/transport/listener.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <string>
#include <utility>
#include <vector>

namespace oriolegrade::test {

class raw_upstream
{
public:
    raw_upstream(boost::asio::io_context& ioc, std::string answer)
        : answer_(std::move(answer))
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
        transport::error_code ec;
        std::string bytes;
        while (!ec) {
            const auto n = boost::asio::async_read_until(
                stream, boost::asio::dynamic_buffer(bytes), "\r\n\r\n",
                transport::fiber_yield(ec));
            if (ec) {
                return;
            }
            heads.push_back(bytes.substr(0, n));
            bytes.erase(0, n);
            boost::asio::async_write(stream, boost::asio::buffer(answer_),
                                     transport::fiber_yield(ec));
        }
    }

    std::string answer_;
    transport::listener listener_;
};

} // namespace oriolegrade::test

#endif
