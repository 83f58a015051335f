// HTTP exchange of the load tool with the checks of the answer.

#include "attempt.hpp"

#include "../common/pattern_body.hpp"
#include "../common/query.hpp"
#include "../common/socket_probe.hpp"

#include <oriolegrade/protocol/header_field.hpp>

#include <mutex>

namespace oriolegrade::programs {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using protocol::header_field;
using transport::fiber_yield;
using response_parser = http::response_parser<http::buffer_body>;

constexpr std::size_t buffer_limit = 32 * 1024;
constexpr std::uint64_t body_limit = 1ULL << 30U;

boost::beast::string_view field_name(header_field f)
{
    const auto name = state::name_of(f);
    return {name.data(), name.size()};
}

std::string_view text_of(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

std::uint64_t number_of(boost::beast::string_view text)
{
    std::uint64_t n = 0;
    std::from_chars(text.data(), text.data() + text.size(), n);
    return n;
}

http::request<http::buffer_body> make_request(const state::endpoint& target,
                                              const attempt_request& request)
{
    const auto& kind = request.kind;
    http::request<http::buffer_body> out;
    out.version(11);
    out.method_string(kind.method);
    out.target(kind.path);
    out.set(http::field::host, state::to_string(target));
    out.set("X-Request-Id", request.id);
    for (const auto& [name, value] : kind.headers) {
        out.set(name, value);
    }
    if (!request.token.empty()) {
        out.set(field_name(header_field::token), request.token);
    }
    if (!request.key.empty()) {
        out.set(field_name(header_field::idempotency_key), request.key);
    }
    if (request.wants_token) {
        out.set(field_name(header_field::token_request), "1");
    }
    if (!request.workspace.empty()) {
        out.set(field_name(header_field::workspace), request.workspace);
    }
    if (kind.body_bytes > 0 || kind.method == "POST" || kind.method == "PUT") {
        out.content_length(kind.body_bytes);
    }
    return out;
}

/// Checks an answer of a stand-in against what its request asked for.
void check_answer(const attempt_request& request,
                  const http::response<http::buffer_body>& answer,
                  const body_check& body, attempt_result& out)
{
    const bool has_id = answer.find("X-Request-Id") != answer.end();
    const bool wrong_id =
        has_id && text_of(answer["X-Request-Id"]) != request.id;
    if (answer.result_int() != 200 &&
        answer.find("X-Body-Bytes") == answer.end()) {
        out.foreign = wrong_id;
        return;
    }
    const auto expected = request.kind.method == "HEAD"
                              ? 0
                              : query_number(request.kind.path, "bytes", 64);
    out.foreign =
        wrong_id || !has_id || !body.matches || body.length > expected;
    out.truncated =
        !out.foreign &&
        (body.length < expected ||
         number_of(answer["X-Upload-Bytes"]) != request.kind.body_bytes ||
         text_of(answer["X-Upload-Matches"]) != "1");
}

attempt_end end_of(const boost::system::error_code& ec)
{
    return ec == boost::beast::error::timeout ? attempt_end::timed_out
                                              : attempt_end::lost;
}

/// True when the connection can carry another request.
bool exchange(target_pool::connection& c, const state::endpoint& target,
              const attempt_request& request, attempt_result& out)
{
    const body_pattern pattern(request.id);
    auto message = make_request(target, request);
    // A refusal may arrive before the whole request is written, so the answer
    // is read even after a failed write.
    const auto write_error = write_pattern_message(c.stream, message, pattern,
                                                   request.kind.body_bytes);
    response_parser parser;
    parser.body_limit(body_limit);
    parser.skip(request.kind.method == "HEAD");
    boost::system::error_code ec;
    http::async_read_header(c.stream, c.buffer, parser, fiber_yield(ec));
    if (ec) {
        out.end = end_of(write_error ? write_error : ec);
        return false;
    }
    const auto body = read_pattern_body(c.stream, c.buffer, parser, pattern);
    if (body.ec) {
        out.end = end_of(body.ec);
        return false;
    }
    const auto& answer = parser.get();
    out.end = attempt_end::answered;
    out.status = answer.result_int();
    out.outcome = state::enum_from_name<state::run_outcome>(
        text_of(answer[field_name(header_field::outcome)]));
    out.token = text_of(answer[field_name(header_field::token)]);
    out.upstream_time =
        std::chrono::microseconds(number_of(answer["X-Upstream-Us"]));
    check_answer(request, answer, body, out);
    return !write_error && answer.keep_alive();
}

} // namespace

target_pool::target_pool(asio::io_context& ioc, state::endpoint target,
                         std::size_t limit)
    : ioc_(ioc)
    , target_(target)
    , limit_(limit)
{}

std::unique_ptr<target_pool::connection>
target_pool::take(std::chrono::milliseconds limit)
{
    {
        std::unique_lock lock(mutex_);
        if (!freed_.wait_for(lock, limit, [&] {
                return !idle_.empty() || open_ < limit_;
            })) {
            return nullptr;
        }
        while (!idle_.empty()) {
            auto c = std::move(idle_.back());
            idle_.pop_back();
            if (!peer_left(c->stream.socket())) {
                return c;
            }
            --open_;
        }
        ++open_;
    }
    auto c = std::make_unique<connection>(ioc_, buffer_limit);
    boost::system::error_code ec;
    c->stream.expires_after(limit);
    c->stream.async_connect(
        asio::ip::tcp::endpoint(asio::ip::address_v4(target_.address),
                                target_.port),
        fiber_yield(ec));
    if (ec) {
        give_back(nullptr);
        return nullptr;
    }
    c->stream.socket().set_option(asio::ip::tcp::no_delay(true), ec);
    return c;
}

void target_pool::give_back(std::unique_ptr<connection> c)
{
    const std::unique_lock lock(mutex_);
    if (c) {
        c->stream.expires_never();
        idle_.push_back(std::move(c));
    } else {
        --open_;
    }
    freed_.notify_one();
}

attempt_result attempt(target_pool& pool, const attempt_request& request,
                       std::chrono::milliseconds limit)
{
    attempt_result out;
    auto c = pool.take(limit);
    if (!c) {
        out.end = attempt_end::not_connected;
        return out;
    }
    c->stream.expires_after(limit);
    if (!exchange(*c, pool.target(), request, out)) {
        c.reset();
    }
    pool.give_back(std::move(c));
    return out;
}

} // namespace oriolegrade::programs
