// Requests and answers on a caller's connection, by Beast.

#include <oriolegrade/transport/caller_stream.hpp>

#include <oriolegrade/protocol/forwarding.hpp>
#include <oriolegrade/transport/fiber_yield.hpp>

#include <boost/asio/error.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>

namespace oriolegrade::transport {

namespace http = boost::beast::http;

namespace {

constexpr std::string_view continue_line = "HTTP/1.1 100 Continue\r\n\r\n";
/// Bytes beyond the longest head that are read ahead at least.
constexpr std::size_t head_margin_bytes = 4 * 1024;
constexpr std::uint16_t no_content = 204;
constexpr std::uint16_t not_modified = 304;

} // namespace

caller_request::caller_request(caller_connection& connection,
                               const caller_io_limits& limits)
    : connection_(connection)
    , limits_(limits)
    , parser_(limits.max_head_bytes)
{
    connection.input().allow(limits.max_head_bytes + head_margin_bytes);
}

void caller_request::wait_for_request(error_code& ec)
{
    auto& input = connection_.input();
    if (protocol::begins_request(input.bytes())) {
        return;
    }
    input.trim();
    const auto deadline = std::chrono::steady_clock::now() + limits_.idle;
    while (!ec && !protocol::begins_request(input.bytes())) {
        input.wait_more(input.bytes().size(), deadline, ec);
    }
}

protocol::request_head caller_request::read_head(error_code& ec)
{
    auto& input = connection_.input();
    const auto deadline = std::chrono::steady_clock::now() + limits_.progress;
    for (;;) {
        input.consume(parser_.put_head(input.bytes(), ec));
        if (ec) {
            return {};
        }
        if (parser_.head_done()) {
            break;
        }
        input.wait_more(input.bytes().size(), deadline, ec);
        if (ec) {
            return {};
        }
    }
    arrival_ = input.arrival();
    continue_expected_ = parser_.continue_expected();
    auto head = parser_.take_head();
    refusal_ = protocol::prepare_forwarding(head);
    return head;
}

std::optional<state::reply_reason>
caller_request::reply_for(const error_code& ec) const
{
    if (ec == http::error::header_limit) {
        return parser_.target_too_long()
                   ? state::reply_reason::target_too_long
                   : state::reply_reason::headers_too_large;
    }
    if (ec == http::error::end_of_stream) {
        return std::nullopt;
    }
    if (ec.category() == make_error_code(http::error::bad_method).category()) {
        return state::reply_reason::bad_request;
    }
    return std::nullopt;
}

void caller_request::set_body_limit(std::uint64_t bytes)
{
    parser_.set_body_limit(bytes);
}

void caller_request::send_continue(error_code& ec)
{
    continue_expected_ = false;
    connection_.stream().expires_after(limits_.progress);
    boost::asio::async_write(connection_.stream(),
                             boost::asio::buffer(continue_line),
                             fiber_yield(ec));
}

std::size_t caller_request::read_some(std::span<char> buf, error_code& ec)
{
    // The caller need not send a body that will be refused.
    if (parser_.body_too_long()) {
        ec = http::error::body_limit;
        return 0;
    }
    if (continue_expected_ && !parser_.done()) {
        send_continue(ec);
    }
    auto& input = connection_.input();
    while (!ec && !parser_.done()) {
        if (input.bytes().empty()) {
            input.wait_more(
                0, std::chrono::steady_clock::now() + limits_.progress, ec);
            continue;
        }
        const auto known = input.bytes().size();
        const auto part = parser_.put_body(input.bytes(), buf, ec);
        input.consume(part.taken);
        if (part.content > 0) {
            return part.content;
        }
        if (part.taken == 0 && !ec) {
            input.wait_more(
                known, std::chrono::steady_clock::now() + limits_.progress, ec);
        }
    }
    return 0;
}

caller_answer::caller_answer(caller_connection& connection,
                             caller_connection::position at,
                             const caller_request& request,
                             const caller_io_limits& limits,
                             coordination::held_share& held)
    : connection_(connection)
    , at_(at)
    , request_(request)
    , limits_(limits)
    , held_(held)
    , read_behind_(connection.unanswered() - 1)
    , keep_alive_(request.keep_alive())
{}

bool caller_answer::await_turn()
{
    if (!connection_.is_first(at_)) {
        const auto began = std::chrono::steady_clock::now();
        connection_.await_turn(at_);
        turn_wait_ += std::chrono::steady_clock::now() - began;
    }
    held_.shrink(0);
    has_turn_ = !connection_.ended();
    return has_turn_;
}

void caller_answer::add_field(protocol::header_field field,
                              std::string_view value)
{
    added_.set(field, value);
}

void caller_answer::start(const protocol::answer_head& head, error_code& ec)
{
    if (started()) {
        ec = boost::asio::error::already_started;
        return;
    }
    if (head.framing.length) {
        held_.shrink(*head.framing.length);
    }
    if (!await_turn()) {
        ec = boost::asio::error::operation_aborted;
        return;
    }
    // An earlier start may have thrown halfway.
    message_ = {};
    remaining_.reset();
    const auto version = request_.version();
    message_.version(version);
    message_.result(head.status);
    for (const auto& it : head.fields) {
        message_.insert(it.name, it.value);
    }
    for (const auto& it : added_) {
        if (!head.fields.find(it.name)) {
            message_.insert(it.name, it.value);
        }
    }
    // RFC 9112, section 6.3: the caller reads on behind these heads, whatever
    // they say of a body.
    has_body_ = !request_.is_head() && head.status != no_content &&
                head.status != not_modified;
    is_framed_ =
        !has_body_ || head.framing.length || version != protocol::http_1_0;
    if (!has_body_) {
        if (head.framing.length && head.status != no_content) {
            message_.content_length(*head.framing.length);
        }
    } else if (head.framing.length) {
        message_.content_length(*head.framing.length);
        remaining_ = *head.framing.length;
    } else if (version == protocol::http_1_0) {
        keep_alive_ = false;
    } else {
        message_.chunked(true);
    }
    // The rest of a request that is answered early is not read.
    keep_alive_ =
        connection_.keeps_connection(at_, keep_alive_ && request_.done());
    message_.keep_alive(keep_alive_);
    message_.body().more = true;
    serializer_.emplace(message_);
    serializer_->split(false);
    began_ = std::chrono::steady_clock::now();
}

void caller_answer::flush(error_code& ec)
{
    auto& stream = connection_.stream();
    stream.expires_after(limits_.progress);
    http::async_write(stream, *serializer_, fiber_yield(ec));
    if (ec == http::error::need_buffer) {
        ec = {};
    }
}

void caller_answer::write(std::string_view bytes, error_code& ec)
{
    if (!has_body_) {
        return;
    }
    if (remaining_) {
        *remaining_ -= std::min<std::uint64_t>(*remaining_, bytes.size());
    }
    auto& body = message_.body();
    body.data = const_cast<char*>(bytes.data());
    body.size = bytes.size();
    // With the last byte of a known length the message is complete, which
    // saves a write of its own for the end.
    body.more = !remaining_ || *remaining_ > 0;
    flush(ec);
}

void caller_answer::finish(error_code& ec)
{
    if (!serializer_->is_done()) {
        auto& body = message_.body();
        body.data = nullptr;
        body.size = 0;
        body.more = false;
        if (!has_body_) {
            auto& stream = connection_.stream();
            stream.expires_after(limits_.progress);
            http::async_write_header(stream, *serializer_, fiber_yield(ec));
        } else {
            flush(ec);
        }
    }
    finished_ = !ec;
}

} // namespace oriolegrade::transport
