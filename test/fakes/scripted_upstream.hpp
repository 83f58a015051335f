// Fake upstream that answers each request with the next step of a script: raw
// bytes, a delay, an endless body or a closed connection.

#ifndef ORIOLEGRADE_TEST_FAKES_SCRIPTED_UPSTREAM_HPP
#define ORIOLEGRADE_TEST_FAKES_SCRIPTED_UPSTREAM_HPP

#include <oriolegrade/transport/fiber_yield.hpp>
#include <oriolegrade/transport/listener.hpp>

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <chrono>
#include <deque>
#include <string>
#include <vector>

namespace oriolegrade::test {

enum class after_answer : std::uint8_t
{
    keep_open,
    close,
    /// Close the connection without reading the request.
    close_unread,
};

struct upstream_step
{
    std::string bytes;
    std::chrono::milliseconds delay{0};
    after_answer after = after_answer::keep_open;
    /// Sent repeatedly after `bytes` until the peer closes the connection.
    std::string endless = {};
    std::chrono::milliseconds endless_pause{1};
    /// Sent in front of the next answer on this connection.
    std::string late = {};
    /// Number of bytes, the last ones of the answer, that are sent apart.
    std::size_t apart = 0;
};

class scripted_upstream
{
public:
    explicit scripted_upstream(boost::asio::io_context& ioc)
        : listener_(ioc, {0x7f000001, 0}, 100,
                    [this](transport::tcp_stream stream) {
                        serve(std::move(stream));
                    })
    {}

    void add(upstream_step step)
    {
        script_.push_back(std::move(step));
    }

    /// Forgets the steps that are left.
    void clear()
    {
        script_.clear();
    }

    state::endpoint address() const
    {
        return listener_.address();
    }

    /// Number of completely received requests.
    int runs = 0;
    int connections = 0;
    /// Number of connections on which an endless body is being sent.
    int endless = 0;
    /// Targets of the received requests in order of arrival.
    std::vector<std::string> targets;
    /// Last received request.
    boost::beast::http::request<boost::beast::http::string_body> last;

private:
    void serve(transport::tcp_stream stream)
    {
        namespace http = boost::beast::http;
        ++connections;
        boost::beast::flat_buffer buffer;
        std::string late;
        for (;;) {
            if (!script_.empty() &&
                script_.front().after == after_answer::close_unread) {
                script_.pop_front();
                return;
            }
            http::request_parser<http::string_body> parser;
            parser.body_limit(boost::none);
            transport::error_code ec;
            http::async_read(stream, buffer, parser,
                             transport::fiber_yield(ec));
            if (ec) {
                return;
            }
            ++runs;
            last = parser.release();
            targets.emplace_back(last.target());
            if (script_.empty()) {
                return;
            }
            const auto step = script_.front();
            script_.pop_front();
            if (step.delay.count() > 0) {
                boost::this_fiber::sleep_for(step.delay);
            }
            const auto bytes = late + step.bytes;
            late = step.late;
            write(stream, bytes, std::min(step.apart, bytes.size()), ec);
            endless += step.endless.empty() ? 0 : 1;
            while (!step.endless.empty() && !ec) {
                boost::asio::async_write(stream,
                                         boost::asio::buffer(step.endless),
                                         transport::fiber_yield(ec));
                boost::this_fiber::sleep_for(step.endless_pause);
            }
            endless -= step.endless.empty() ? 0 : 1;
            if (ec || step.after == after_answer::close) {
                return;
            }
        }
    }

    static void write(transport::tcp_stream& stream, const std::string& bytes,
                      std::size_t apart, transport::error_code& ec)
    {
        const auto at_once = bytes.size() - apart;
        boost::asio::async_write(stream,
                                 boost::asio::buffer(bytes.data(), at_once),
                                 transport::fiber_yield(ec));
        if (apart > 0 && !ec) {
            stream.socket().set_option(boost::asio::ip::tcp::no_delay(true),
                                       ec);
        }
        for (auto n = at_once; n < bytes.size() && !ec; ++n) {
            boost::asio::async_write(stream, boost::asio::buffer(&bytes[n], 1),
                                     transport::fiber_yield(ec));
            boost::this_fiber::yield();
        }
    }

    std::deque<upstream_step> script_;
    transport::listener listener_;
};

/// Complete answer with a Content-Length.
inline std::string answer_text(const std::string& body,
                               const std::string& fields = {})
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n" + fields + "\r\n" + body;
}

} // namespace oriolegrade::test

#endif
