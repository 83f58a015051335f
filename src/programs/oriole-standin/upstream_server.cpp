// Request path of the upstream stand-in.

#include "upstream_server.hpp"

#include "../common/pattern_body.hpp"
#include "../common/query.hpp"
#include "../common/socket_probe.hpp"

#include <oriolegrade/protocol/header_field.hpp>
#include <oriolegrade/protocol/http_head.hpp>
#include <oriolegrade/transport/fiber_scheduler.hpp>

#include <boost/fiber/operations.hpp>

#include <utility>

namespace oriolegrade::programs {

namespace {

namespace http = boost::beast::http;
using protocol::header_field;
using transport::fiber_yield;
using namespace std::chrono_literals;

constexpr std::size_t header_limit = 16 * 1024;
constexpr std::uint64_t body_limit = 1ULL << 30U;
constexpr auto idle_limit = 120s;
/// A refused connection is held this long to see whether it asks for control.
constexpr auto control_wait = 20ms;
/// How often a busy slot looks whether its client has left.
constexpr auto cancel_check = 10ms;

boost::beast::string_view field_name(header_field f)
{
    const auto name = state::name_of(f);
    return {name.data(), name.size()};
}

std::string_view text_of(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

bool is_control(std::string_view target)
{
    const auto path = protocol::path_of(target);
    return path == "/control" || path.starts_with("/control/");
}

} // namespace

upstream_server::upstream_server(upstream_settings settings)
    : settings_(std::move(settings))
    , gate_(settings_.slots, settings_.queue_limit)
{}

void upstream_server::serve(boost::asio::ip::tcp::acceptor& acceptor)
{
    while (acceptor.is_open()) {
        boost::asio::ip::tcp::socket socket(acceptor.get_executor());
        boost::system::error_code ec;
        acceptor.async_accept(socket, fiber_yield(ec));
        if (ec) {
            // Out of file descriptors: wait for connections to end.
            boost::this_fiber::sleep_for(10ms);
            continue;
        }
        auto shared =
            std::make_shared<boost::asio::ip::tcp::socket>(std::move(socket));
        transport::spawn_fiber(
            [this, shared] { connection(std::move(*shared)); });
    }
}

bool upstream_server::is_refused(boost::asio::ip::tcp::socket& socket)
{
    const bool full = settings_.max_connections != 0 &&
                      connections_ > settings_.max_connections;
    if (!full && !faults_.reset_on_accept) {
        return false;
    }
    const auto limit = clock::now() + control_wait;
    while (clock::now() < limit) {
        std::array<char, 14> start{};
        const auto n = ::recv(socket.native_handle(), start.data(),
                              start.size(), MSG_PEEK | MSG_DONTWAIT);
        const std::string_view text(start.data(),
                                    n > 0 ? static_cast<std::size_t>(n) : 0);
        if (text.starts_with("GET /control") ||
            text.starts_with("POST /control")) {
            return false;
        }
        if (text.size() >= 13) {
            return true;
        }
        boost::this_fiber::sleep_for(2ms);
    }
    return true;
}

void upstream_server::connection(boost::asio::ip::tcp::socket socket)
{
    ++connections_;
    boost::system::error_code ec;
    if (is_refused(socket)) {
        // Linger 0 makes the close a reset.
        socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
        socket.close(ec);
    } else {
        if (settings_.accept_time > 0ms) {
            boost::this_fiber::sleep_for(settings_.accept_time);
        }
        socket.set_option(boost::asio::ip::tcp::no_delay(true), ec);
        boost::beast::tcp_stream stream(std::move(socket));
        boost::beast::flat_buffer buffer(2 * header_limit);
        bool counts = true;
        while (serve_one(stream, buffer, counts)) {
        }
        stream.socket().shutdown(boost::asio::socket_base::shutdown_send, ec);
        if (!counts) {
            return;
        }
    }
    --connections_;
}

bool upstream_server::serve_one(boost::beast::tcp_stream& stream,
                                boost::beast::flat_buffer& buffer, bool& counts)
{
    parser request;
    request.header_limit(header_limit);
    request.body_limit(body_limit);
    stream.expires_after(idle_limit);
    boost::system::error_code ec;
    http::async_read_header(stream, buffer, request, fiber_yield(ec));
    if (ec) {
        return false;
    }
    const auto& message = request.get();
    exchange ex{stream, buffer, request,
                std::string(text_of(message["X-Request-Id"])),
                std::string(text_of(message.target()))};
    if (ex.id.empty()) {
        ex.id = ex.target;
    }
    if (is_control(ex.target)) {
        connections_ -= std::exchange(counts, false) ? 1 : 0;
        return control(ex);
    }
    const auto body =
        read_pattern_body(stream, buffer, request, body_pattern(ex.id));
    if (body.ec) {
        return false;
    }
    ex.upload_bytes = body.length;
    ex.upload_crc = body.crc;
    ex.upload_matches = body.matches;
    return protocol::path_of(ex.target) == "/health" ? health(ex) : work(ex);
}

upstream_server::response upstream_server::make_response(exchange& ex,
                                                         http::status status)
{
    response out{status, ex.request.get().version()};
    out.keep_alive(ex.request.get().keep_alive());
    out.set(http::field::server, settings_.name);
    out.set("X-Request-Id", ex.id);
    out.set(field_name(header_field::load),
            std::to_string(gate_.used()) + "/" + std::to_string(gate_.slots()));
    if (faults_.drain && !is_control(ex.target)) {
        out.set(field_name(header_field::draining), "1");
        out.keep_alive(false);
    }
    return out;
}

bool upstream_server::send_text(exchange& ex, http::status status,
                                std::string text, const char* type)
{
    auto out = make_response(ex, status);
    out.set(http::field::content_type, type);
    out.content_length(text.size());
    out.body().data = text.data();
    out.body().size = text.size();
    out.body().more = false;
    boost::system::error_code ec;
    http::response_serializer<http::buffer_body> writer(out);
    ex.stream.expires_after(idle_limit);
    http::async_write(ex.stream, writer, fiber_yield(ec));
    return !ec && out.keep_alive();
}

bool upstream_server::health(exchange& ex)
{
    boost::this_fiber::sleep_for(settings_.probe_time);
    bool failing = faults_.is_failing();
    if (faults_.health != health_report::honest) {
        failing = faults_.health == health_report::always_failing;
    }
    return send_text(
        ex, failing ? http::status::service_unavailable : http::status::ok,
        failing ? R"({"status":"failing"})" : R"({"status":"ok"})",
        "application/json");
}

bool upstream_server::shed(exchange& ex)
{
    ++shed_count_;
    auto out = make_response(ex, http::status::service_unavailable);
    out.set(field_name(header_field::shed), "1");
    if (const auto left = quiet_until_ - clock::now(); left > 0ms) {
        out.set(http::field::retry_after,
                std::to_string(std::chrono::duration<double>(left).count()));
    }
    out.content_length(0);
    const auto ec =
        write_pattern_message(ex.stream, out, body_pattern(ex.id), 0);
    return !ec && out.keep_alive();
}

bool upstream_server::is_expired(const exchange& ex) const
{
    const auto text =
        text_of(ex.request.get()[field_name(header_field::deadline_ms)]);
    std::int64_t ms = 0;
    const auto parsed =
        std::from_chars(text.data(), text.data() + text.size(), ms);
    return !text.empty() && parsed.ec == std::errc() &&
           clock::now() >= ex.start + std::chrono::milliseconds(ms);
}

bool upstream_server::work(exchange& ex)
{
    const bool quiet = clock::now() < quiet_until_;
    in_quiet_ += quiet ? 1 : 0;
    while_draining_ += faults_.drain ? 1 : 0;
    if (quiet || faults_.shed_all || !gate_.enter(settings_.queue_time)) {
        return shed(ex);
    }
    if (is_expired(ex)) {
        gate_.leave();
        return shed(ex);
    }
    const bool present = !peer_left(ex.stream.socket()) && run(ex);
    bool keep = false;
    if (present && !faults_.close_before_answer) {
        keep = answer(ex);
    } else {
        gate_.leave();
    }
    return keep;
}

bool upstream_server::run(exchange& ex)
{
    runs_.add(ex.id);
    const auto own =
        std::chrono::milliseconds(query_number(ex.target, "ms", 0) % 600'000);
    const auto time = std::chrono::duration_cast<clock::duration>(
        (settings_.service_time + own) * faults_.slow_factor);
    const auto path = protocol::path_of(ex.target);
    const auto method = text_of(ex.request.get().method_string());
    const auto end = clock::now() + time;
    while (true) {
        const bool hangs = faults_.hang && faults_.matches(method, path);
        const auto now = clock::now();
        if (now >= end && !hangs) {
            return true;
        }
        boost::this_fiber::sleep_for(
            hangs ? cancel_check
                  : std::min<clock::duration>(cancel_check, end - now));
        if (peer_left(ex.stream.socket())) {
            return false;
        }
    }
}

bool upstream_server::answer(exchange& ex)
{
    const auto& message = ex.request.get();
    const auto path = protocol::path_of(ex.target);
    const bool fails =
        faults_.matches(text_of(message.method_string()), path) &&
        std::uniform_real_distribution<>(0, 1)(random_) < faults_.fail_share;
    const bool is_head = message.method() == http::verb::head;
    auto bytes = is_head ? 0 : query_number(ex.target, "bytes", 64);
    bytes = std::min(bytes, body_limit);
    const bool cut = faults_.truncate != truncation::none && !is_head;
    auto out = make_response(ex, fails ? http::status::internal_server_error
                                       : http::status::ok);
    out.set(http::field::content_type, "application/octet-stream");
    out.set("X-Body-Bytes", std::to_string(bytes));
    out.set("X-Upload-Bytes", std::to_string(ex.upload_bytes));
    out.set("X-Upload-Crc", std::to_string(ex.upload_crc));
    out.set("X-Upload-Matches", ex.upload_matches ? "1" : "0");
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(
        clock::now() - ex.start);
    out.set("X-Upstream-Us", std::to_string(micros.count()));
    if (faults_.truncate == truncation::chunked ||
        (!cut && query_number(ex.target, "chunked", 0) != 0)) {
        out.chunked(true);
    } else {
        // A cut body must lack at least one byte of its declared length.
        out.content_length(cut ? std::max<std::uint64_t>(bytes, 1) : bytes);
    }
    // A slow reader must not keep a slot.
    gate_.leave();
    ex.stream.expires_after(idle_limit);
    const auto ec = write_pattern_message(ex.stream, out, body_pattern(ex.id),
                                          cut ? bytes / 2 : bytes, !cut);
    return !ec && !cut && out.keep_alive();
}

} // namespace oriolegrade::programs
