// Fake upstream that answers as soon as it has the head of a request, with a
// body that ends with its connection, and breaks off while the request is still
// being written.

#ifndef ORIOLEGRADE_TEST_FAKES_EARLY_UPSTREAM_HPP
#define ORIOLEGRADE_TEST_FAKES_EARLY_UPSTREAM_HPP

#include <oriolegrade/transport/fiber_yield.hpp>
#include <oriolegrade/transport/listener.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/operations.hpp>

#include <array>
#include <chrono>
#include <string>
#include <utility>

namespace oriolegrade::test {

/// What follows the bytes of the answer.
enum class connection_end : std::uint8_t
{
    reset,
    /// The upstream closes its side in order and reads nothing more.
    closed,
    /// Nothing, until the peer closes the connection.
    silent,
};

class early_upstream
{
public:
    early_upstream(boost::asio::io_context& ioc, std::string answer,
                   connection_end end)
        : answer_(std::move(answer))
        , end_(end)
        , listener_(ioc, {0x7f000001, 0}, 100,
                    [this](transport::tcp_stream stream) {
                        serve(std::move(stream));
                    })
    {}

    state::endpoint address() const
    {
        return listener_.address();
    }

private:
    /// Time in which the answer arrives before its connection ends.
    static constexpr std::chrono::milliseconds pause{50};

    void serve(transport::tcp_stream stream)
    {
        transport::error_code ec;
        std::string bytes;
        boost::asio::async_read_until(stream,
                                      boost::asio::dynamic_buffer(bytes),
                                      "\r\n\r\n", transport::fiber_yield(ec));
        boost::asio::async_write(stream, boost::asio::buffer(answer_),
                                 transport::fiber_yield(ec));
        boost::this_fiber::sleep_for(pause);
        auto& socket = stream.socket();
        switch (end_) {
        case connection_end::reset:
            socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
            break;
        case connection_end::closed:
            socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ec);
            boost::this_fiber::sleep_for(4 * pause);
            break;
        case connection_end::silent:
            while (!ec) {
                std::array<char, 1> unread{};
                boost::this_fiber::sleep_for(pause);
                socket.receive(boost::asio::buffer(unread),
                               boost::asio::socket_base::message_peek, ec);
            }
            break;
        }
    }

    std::string answer_;
    connection_end end_;
    transport::listener listener_;
};

} // namespace oriolegrade::test

#endif
