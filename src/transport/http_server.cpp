// Connection loop of the small HTTP server.

#include <oriolegrade/transport/http_server.hpp>

#include <oriolegrade/transport/fiber_yield.hpp>
#include <oriolegrade/transport/first_chunk.hpp>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/write.hpp>

#include <chrono>

namespace oriolegrade::transport {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t max_connections = 1024;
constexpr std::chrono::seconds idle_limit{60};
constexpr std::chrono::seconds write_limit{10};

void serve(tcp_stream stream, const http_server::handler& on_request)
{
    boost::beast::flat_buffer buf;
    for (;;) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(max_control_body_bytes);
        error_code ec;
        stream.expires_after(idle_limit);
        read_http_message(stream, buf, parser, ec);
        if (ec) {
            return;
        }
        const http_request request = parser.release();
        http_answer answer = on_request(request);
        answer.version(request.version());
        answer.keep_alive(request.keep_alive());
        answer.prepare_payload();
        stream.expires_after(write_limit);
        if (request.method() == http::verb::head) {
            http::response_serializer<http::string_body> head(answer);
            http::async_write_header(stream, head, fiber_yield(ec));
        } else {
            http::async_write(stream, answer, fiber_yield(ec));
        }
        if (ec || !answer.keep_alive()) {
            return;
        }
    }
}

http_answer make_answer(unsigned status, std::string body,
                        std::string_view type)
{
    http_answer answer;
    answer.result(status);
    answer.set(http::field::content_type, type);
    answer.body() = std::move(body);
    return answer;
}

} // namespace

http_server::http_server(boost::asio::io_context& ioc,
                         const state::endpoint& address, handler on_request)
    : listener_(ioc, address, max_connections,
                [h = std::move(on_request)](tcp_stream stream) {
                    serve(std::move(stream), h);
                })
{}

http_answer json_answer(unsigned status, std::string body)
{
    return make_answer(status, std::move(body), "application/json");
}

http_answer text_answer(unsigned status, std::string body)
{
    return make_answer(status, std::move(body), "text/plain; charset=utf-8");
}

} // namespace oriolegrade::transport
