// Calls over kept-alive connections.

#include <oriolegrade/transport/http_client.hpp>

#include <oriolegrade/coordination/answer_limit.hpp>
#include <oriolegrade/transport/fiber_yield.hpp>
#include <oriolegrade/transport/first_chunk.hpp>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/write.hpp>

namespace oriolegrade::transport {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t max_idle_connections = 4;

} // namespace

http_client::http_client(boost::asio::io_context& ioc,
                         const state::endpoint& server,
                         const http_client_options& options)
    : ioc_(ioc)
    , server_(server)
    , options_(options)
{}

http_client::connection http_client::take_idle()
{
    while (!idle_.empty()) {
        auto it = std::move(idle_.back());
        idle_.pop_back();
        if (is_idle_open(*it)) {
            return it;
        }
    }
    return nullptr;
}

state::result<http_answer, http_failure>
http_client::call(http_request request, state::duration limit)
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    error_code ec;
    auto stream = take_idle();
    if (!stream) {
        stream = std::make_unique<tcp_stream>(ioc_);
        stream->expires_at(deadline);
        stream->async_connect(to_tcp(server_), fiber_yield(ec));
        if (ec) {
            return http_failure{ec, false};
        }
        stream->socket().set_option(boost::asio::ip::tcp::no_delay(true), ec);
        if (options_.probe_interval.count() > 0) {
            probe_when_idle(*stream, options_.probe_interval);
        }
    }
    stream->expires_at(deadline);
    request.set(http::field::host, to_string(server_));
    request.prepare_payload();
    const auto n = http::async_write(*stream, request, fiber_yield(ec));
    if (ec) {
        return http_failure{ec, n > 0};
    }
    boost::beast::flat_buffer buf;
    http::response_parser<http::string_body> parser;
    parser.body_limit(options_.max_answer_bytes);
    const coordination::answer_limit parts(deadline, options_.part_limit);
    read_http_message(*stream, buf, parser, ec, [&] {
        if (options_.part_limit.count() > 0) {
            stream->expires_at(
                parts.next_part(std::chrono::steady_clock::now()));
        }
    });
    if (ec) {
        return http_failure{ec, true};
    }
    http_answer answer = parser.release();
    // Bytes behind the answer belong to no call.
    if (answer.keep_alive() && buf.size() == 0 &&
        idle_.size() < max_idle_connections) {
        stream->expires_never();
        idle_.push_back(std::move(stream));
    }
    return answer;
}

http_request make_request(http::verb method, const std::string& target,
                          std::string body)
{
    http_request request(method, target, 11);
    request.body() = std::move(body);
    return request;
}

} // namespace oriolegrade::transport
