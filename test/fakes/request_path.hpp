// Fake caller and configuration helpers for tests of the request path.

#ifndef ORIOLEGRADE_TEST_FAKES_REQUEST_PATH_HPP
#define ORIOLEGRADE_TEST_FAKES_REQUEST_PATH_HPP

#include <oriolegrade/state/configuration.hpp>
#include <oriolegrade/transport/entry_shared.hpp>
#include <oriolegrade/transport/fiber_yield.hpp>
#include <oriolegrade/transport/service_control.hpp>
#include <oriolegrade/transport/tcp.hpp>

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/fiber/operations.hpp>
#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <memory>
#include <string>

namespace oriolegrade::test {

using namespace std::chrono_literals;
namespace http = boost::beast::http;
namespace asio = boost::asio;

using answer_type = http::response<http::string_body>;

/// Caller that sends raw bytes over a TCP connection.
class fake_caller
{
public:
    /// @param address loopback address that the caller connects from
    /// @param window bytes that the caller takes without reading; the system's
    ///        own when 0
    fake_caller(asio::io_context& ioc, const state::endpoint& entry,
                std::uint32_t address = 0x7f000001, int window = 0)
        : stream_(ioc)
    {
        transport::error_code ec;
        stream_.socket().open(asio::ip::tcp::v4(), ec);
        if (window > 0) {
            stream_.socket().set_option(
                asio::socket_base::receive_buffer_size(window), ec);
        }
        stream_.socket().bind({asio::ip::address_v4(address), 0}, ec);
        EXPECT_FALSE(ec);
        stream_.async_connect(transport::to_tcp(entry),
                              transport::fiber_yield(ec));
        EXPECT_FALSE(ec);
    }

    void send(const std::string& bytes)
    {
        transport::error_code ec;
        asio::async_write(stream_, asio::buffer(bytes),
                          transport::fiber_yield(ec));
    }

    /// Sends each byte apart, so that the peer reads them apart.
    void send_apart(const std::string& bytes)
    {
        transport::error_code ec;
        stream_.socket().set_option(asio::ip::tcp::no_delay(true), ec);
        for (std::size_t n = 0; n < bytes.size() && !ec; ++n) {
            asio::async_write(stream_, asio::buffer(&bytes[n], 1),
                              transport::fiber_yield(ec));
            boost::this_fiber::yield();
        }
    }

    answer_type receive(transport::error_code& ec)
    {
        http::response_parser<http::string_body> parser;
        parser.header_limit(longest_answer_head);
        stream_.expires_after(5s);
        http::async_read(stream_, buffer_, parser, transport::fiber_yield(ec));
        return parser.release();
    }

    /// Receives an answer to HEAD, which has no body.
    answer_type receive_head()
    {
        http::response_parser<http::string_body> parser;
        parser.header_limit(longest_answer_head);
        parser.skip(true);
        transport::error_code ec;
        stream_.expires_after(5s);
        http::async_read(stream_, buffer_, parser, transport::fiber_yield(ec));
        EXPECT_FALSE(ec) << ec.message();
        return parser.release();
    }

    answer_type receive()
    {
        transport::error_code ec;
        auto answer = receive(ec);
        EXPECT_FALSE(ec) << ec.message();
        return answer;
    }

    answer_type get(const std::string& target)
    {
        // Appended in steps, because GCC 12 gives a false warning about the
        // moved temporary of a single expression.
        std::string text = "GET ";
        text += target;
        text += " HTTP/1.1\r\nHost: x\r\n\r\n";
        send(text);
        return receive();
    }

    /// @param fields additional header fields, each terminated by CRLF
    answer_type post(const std::string& target, const std::string& body,
                     const std::string& fields = {})
    {
        send("POST " + target + " HTTP/1.1\r\nHost: x\r\n" + fields +
             "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
             body);
        return receive();
    }

    /// Discards received data. Returns true if the peer closes the connection
    /// within the limit.
    bool closes_within(std::chrono::milliseconds limit)
    {
        std::array<char, 64 * 1024> bytes{};
        const auto until = std::chrono::steady_clock::now() + limit;
        stream_.expires_at(until);
        transport::error_code ec;
        while (!ec && std::chrono::steady_clock::now() < until) {
            stream_.async_read_some(asio::buffer(bytes),
                                    transport::fiber_yield(ec));
        }
        return ec && ec != boost::beast::error::timeout;
    }

    void close()
    {
        stream_.close();
    }

    /// Closes with a reset, which arrives before bytes that the peer has not
    /// read.
    void abort()
    {
        transport::error_code ec;
        stream_.socket().set_option(asio::socket_base::linger(true, 0), ec);
        stream_.close();
    }

private:
    /// Above the longest head that is passed on.
    static constexpr std::uint32_t longest_answer_head = 64 * 1024;

    transport::tcp_stream stream_;
    boost::beast::flat_buffer buffer_;
};

inline std::string outcome_of(const answer_type& answer)
{
    const auto it = answer.find("Oriolegrade-Outcome");
    return it == answer.end() ? "" : std::string(it->value());
}

inline state::entry_ptr make_entry(state::record_kind kind, std::string name,
                                   state::record_body body)
{
    return std::make_shared<state::entry>(state::entry{
        {kind, std::move(name), 1}, 1, 0, {}, {}, std::move(body)});
}

inline state::route_spec make_route(std::string prefix, std::string method,
                                    state::request_class request)
{
    state::route_spec route;
    route.path_prefix = std::move(prefix);
    route.methods = {std::move(method)};
    route.service = "s";
    route.request = request;
    route.deadline = 300ms;
    route.max_request_bytes = 1'000'000;
    route.max_response_bytes = 10'000'000;
    route.max_attempts =
        request == state::request_class::non_idempotent ? 1 : 3;
    route.allow_unkeyed = true;
    return route;
}

/// Activates a configuration in the same way as the control thread of a
/// process.
inline void activate_configuration(transport::entry_shared& shared,
                                   transport::service_control& control,
                                   const state::configuration& conf)
{
    control.take_configuration(conf);
    shared.configuration.publish(
        std::make_shared<const state::configuration>(conf));
    shared.configured = true;
}

inline void activate_configuration(transport::entry_shared& shared,
                                   const state::configuration& conf)
{
    transport::service_control control(shared, {"host", "dc1"});
    activate_configuration(shared, control, conf);
}

inline transport::entry_options test_options()
{
    transport::entry_options options;
    options.caller_listen = {0x7f000001, 0};
    options.forward_listen = {0x7f000001, 0};
    return options;
}

} // namespace oriolegrade::test

#endif
