// Requests and answers on an upstream connection, by Beast.

#include <oriolegrade/transport/upstream_connection.hpp>

#include <oriolegrade/protocol/request_encoder.hpp>
#include <oriolegrade/transport/beast_view.hpp>
#include <oriolegrade/transport/fiber_yield.hpp>
#include <oriolegrade/transport/first_chunk.hpp>

#include <boost/asio/error.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_cat.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <atomic>
#include <functional>
#include <optional>
#include <string>

namespace oriolegrade::transport {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

/// Bound of a status line with its end.
constexpr std::uint32_t max_status_line_bytes = 8 * 1024;
/// Bound of the fields of an answer's head with the empty line behind them.
constexpr std::uint32_t max_answer_head_bytes = 32 * 1024;
/// Memory for bytes that were received and not taken.
constexpr std::uint32_t read_buffer_bytes =
    max_status_line_bytes + max_answer_head_bytes;
/// Interim answers before the final one. One or two are usual; an upstream in
/// trouble may send them without end.
constexpr int max_interim_answers = 8;

std::size_t hash_of(std::string_view text)
{
    return std::hash<std::string_view>()(text);
}

std::uint64_t next_number()
{
    static std::atomic<std::uint64_t> last{0};
    return last.fetch_add(1, std::memory_order_relaxed) + 1;
}

bool is_framing(http::field field)
{
    return field == http::field::content_length ||
           field == http::field::transfer_encoding;
}

/// True when a head broke off within the text and another answer follows it on
/// the connection: together they would be one head, with the fields of both.
bool holds_status_line(std::string_view text)
{
    constexpr std::string_view name = "HTTP/1.";
    // A digit, a space and the first digit of the status.
    constexpr std::size_t rest = 3;
    const auto is_digit = [](char c) {
        return c >= '0' && c <= '9';
    };
    for (auto n = text.find(name); n != std::string_view::npos;
         n = text.find(name, n)) {
        n += name.size();
        if (n + rest <= text.size() && is_digit(text[n]) &&
            text[n + 1] == ' ' && is_digit(text[n + 2])) {
            return true;
        }
    }
    return false;
}

std::string_view text_of(const beast::flat_buffer& buf)
{
    const auto data = buf.cdata();
    return {static_cast<const char*>(data.data()), data.size()};
}

/// Reads bytes of an answer behind those in the buffer.
/// @param begun bytes of the answer have been taken from the buffer
void read_more(tcp_stream& stream, beast::flat_buffer& buf, bool begun,
               error_code& ec)
{
    constexpr std::size_t least = 512;
    const auto step = std::min(std::max(least, buf.capacity() - buf.size()),
                               buf.max_size() - buf.size());
    if (step == 0) {
        ec = http::error::buffer_overflow;
        return;
    }
    buf.commit(stream.async_read_some(buf.prepare(step), fiber_yield(ec)));
    if (ec == boost::asio::error::eof) {
        ec = begun || buf.size() > 0 ? http::error::partial_message
                                     : http::error::end_of_stream;
    }
}

/// Bytes of the status line with its end; of all the text while that has not
/// come.
std::size_t status_line_size(std::string_view text)
{
    const auto end = text.find('\n');
    return end == std::string_view::npos ? text.size() : end + 1;
}

/// Reads one head. What the library's own limit counts depends on how the bytes
/// arrive: with the status line or without, and without the fields that came
/// together with that.
template <class Parser>
void read_answer_head(tcp_stream& stream, beast::flat_buffer& buf,
                      Parser& parser, error_code& ec)
{
    std::size_t status_line = 0;
    std::size_t taken = 0;
    if (buf.size() == 0) {
        read_more(stream, buf, false, ec);
    }
    while (!ec) {
        // The library takes nothing before the whole status line is there.
        if (taken == 0) {
            status_line = status_line_size(text_of(buf));
        }
        const auto n = parser.put(buf.cdata(), ec);
        buf.consume(n);
        taken += n;
        const bool wants_more = ec == http::error::need_more;
        if (ec && !wants_more) {
            return;
        }
        if (status_line > max_status_line_bytes ||
            taken > status_line + max_answer_head_bytes) {
            ec = http::error::header_limit;
        } else if (wants_more) {
            ec = {};
            read_more(stream, buf, taken > 0, ec);
        } else if (parser.is_header_done()) {
            return;
        }
    }
}

/// True when an answer broke off within its head and another one followed.
template <class Message>
bool is_joined_head(const Message& message)
{
    return holds_status_line(to_view(message.reason())) ||
           std::any_of(message.begin(), message.end(), [](const auto& it) {
               return holds_status_line(to_view(it.value()));
           });
}

/// A transfer coding overrides a length (RFC 9112, section 6.3), so each has to
/// be one that can be read.
template <class Message>
bool has_known_codings(const Message& message)
{
    const auto range = message.equal_range(http::field::transfer_encoding);
    return std::all_of(range.first, range.second, [&](const auto& it) {
        return protocol::is_known_coding(to_view(it.value()),
                                         message.version());
    });
}

/// Time of a `Keep-Alive: timeout=N` field; empty without one.
template <class Message>
std::optional<std::chrono::seconds> keep_alive_limit(const Message& message)
{
    constexpr std::string_view key = "timeout=";
    const auto field = message[http::field::keep_alive];
    const auto text = to_view(field);
    const auto n = text.find(key);
    if (n == std::string_view::npos) {
        return std::nullopt;
    }
    const auto rest = text.substr(n + key.size());
    const auto end = rest.find_first_not_of("0123456789");
    const auto seconds = protocol::parse_number(rest.substr(0, end));
    constexpr std::uint64_t longest = 3600;
    if (!seconds || *seconds > longest) {
        return std::nullopt;
    }
    return std::chrono::seconds(*seconds);
}

} // namespace

/// State of one request and its answer.
struct upstream_connection::exchange
{
    explicit exchange(const protocol::request_head& head)
        : unsent_head(protocol::encode_head(head))
        , chunked(head.framing.chunked)
        , head_method(head.method == "HEAD")
    {
        start_parser();
    }

    void start_parser()
    {
        parser.emplace();
        parser->header_limit(read_buffer_bytes);
        parser->body_limit(boost::none);
        parser->skip(head_method);
        body_begun = false;
    }

    /// The answer has ended with its connection, before the whole request was
    /// written. A reset by the upstream may have been reported to the write,
    /// and a read then sees an orderly end.
    bool is_cut() const
    {
        return parser->is_done() && parser->need_eof() && !request_done;
    }

    /// Head of the request until it is sent with the first bytes of the body.
    std::string unsent_head;
    const bool chunked;
    const bool head_method;
    std::optional<http::response_parser<http::buffer_body>> parser;
    /// Grows to the size of the largest head; holds unread answer bytes.
    beast::flat_buffer buffer{read_buffer_bytes};
    /// Bytes of the answer's body were asked for.
    bool body_begun = false;
    bool request_done = false;
    bool answer_done = false;
    bool sent = false;
};

upstream_connection::upstream_connection(boost::asio::io_context& ioc,
                                         const state::endpoint& address)
    : address_(address)
    , number_(next_number())
    , stream_(ioc)
{}

upstream_connection::~upstream_connection() = default;

void upstream_connection::connect(state::time_point deadline, error_code& ec)
{
    stream_.expires_at(deadline);
    stream_.async_connect(to_tcp(address_), fiber_yield(ec));
    if (!ec) {
        stream_.socket().set_option(boost::asio::ip::tcp::no_delay(true), ec);
    }
}

void upstream_connection::begin(const protocol::request_head& head,
                                state::time_point deadline)
{
    exchange_ = std::make_unique<exchange>(head);
    stream_.expires_at(deadline);
}

template <class Buffers>
void upstream_connection::write(const Buffers& body, error_code& ec)
{
    auto& x = *exchange_;
    const auto bytes =
        beast::buffers_cat(boost::asio::buffer(x.unsent_head), body);
    const auto n = boost::asio::async_write(stream_, bytes, fiber_yield(ec));
    x.sent = x.sent || n > 0;
    x.unsent_head.clear();
}

void upstream_connection::write_body(std::string_view bytes, error_code& ec)
{
    const auto body = boost::asio::buffer(bytes.data(), bytes.size());
    // An empty chunk would end the body.
    if (exchange_->chunked && !bytes.empty()) {
        write(http::make_chunk(body), ec);
    } else {
        write(body, ec);
    }
}

void upstream_connection::finish_body(error_code& ec)
{
    if (exchange_->chunked) {
        write(http::make_chunk_last(), ec);
    } else if (!exchange_->unsent_head.empty()) {
        write(boost::asio::const_buffer(), ec);
    }
    exchange_->request_done = !ec;
}

protocol::answer_head upstream_connection::read_head(error_code& ec)
{
    auto& x = *exchange_;
    for (int interim = 0;; ++interim) {
        read_answer_head(stream_, x.buffer, *x.parser, ec);
        if (ec) {
            return {};
        }
        // Also of an interim answer: what it swallowed may be the final one.
        if (is_joined_head(x.parser->get())) {
            ec = http::error::bad_value;
            return {};
        }
        // Beast has a class only for the statuses that it names.
        constexpr unsigned first_interim = 100;
        constexpr unsigned first_final = 200;
        // RFC 9110, section 15: higher ones are invalid.
        constexpr unsigned last_final = 599;
        const auto status = x.parser->get().result_int();
        if (status >= first_final && status <= last_final) {
            break;
        }
        if (status < first_interim || status > last_final) {
            ec = http::error::bad_status;
            return {};
        }
        if (interim == max_interim_answers) {
            ec = http::error::bad_status;
            return {};
        }
        x.start_parser();
    }
    const auto& message = x.parser->get();
    if (!has_known_codings(message)) {
        ec = http::error::bad_transfer_encoding;
        return {};
    }
    protocol::answer_head head;
    head.status = static_cast<std::uint16_t>(message.result_int());
    if (const auto limit = keep_alive_limit(message)) {
        peer_idle_limit = *limit;
    }
    for (const auto& it : message) {
        const auto name = to_view(it.name_string());
        if (!is_framing(it.name()) && !protocol::is_hop_by_hop(name)) {
            head.fields.add(name, to_view(it.value()));
        }
    }
    // RFC 9110, section 7.6.1.
    const auto options = message.equal_range(http::field::connection);
    for (auto it = options.first; it != options.second; ++it) {
        head.fields.remove_listed(to_view(it->value()));
    }
    head.framing.chunked = x.parser->chunked();
    if (const auto n = x.parser->content_length()) {
        head.framing.length = *n;
    }
    x.answer_done = x.parser->is_done();
    return head;
}

std::size_t upstream_connection::read_body(std::span<char> buf, error_code& ec)
{
    auto& x = *exchange_;
    if (!x.body_begun) {
        read_first_chunk(stream_, x.buffer, *x.parser, ec);
        x.body_begun = true;
    }
    auto& body = x.parser->get().body();
    while (!ec && !x.parser->is_done()) {
        body.data = buf.data();
        body.size = buf.size();
        http::async_read_some(stream_, x.buffer, *x.parser, fiber_yield(ec));
        if (ec == http::error::need_buffer) {
            ec = {};
        }
        const auto n = buf.size() - body.size;
        if (!ec && x.is_cut()) {
            ec = http::error::partial_message;
        }
        if (ec || n > 0) {
            x.answer_done = !ec && x.parser->is_done();
            return n;
        }
    }
    x.answer_done = !ec;
    return 0;
}

bool upstream_connection::expect_another()
{
    // The answer read past had no body for the parser, but may have one on the
    // connection when it belonged to a request of another method.
    if (exchange_->head_method || !exchange_->parser->is_done() ||
        !exchange_->parser->keep_alive()) {
        return false;
    }
    exchange_->start_parser();
    exchange_->answer_done = false;
    return true;
}

void upstream_connection::note_retryable_answer(std::string_view request_id)
{
    retryable_ids_.push_back(hash_of(request_id));
}

bool upstream_connection::may_repeat_answer(std::string_view request_id) const
{
    return std::find(retryable_ids_.begin(), retryable_ids_.end(),
                     hash_of(request_id)) != retryable_ids_.end();
}

void upstream_connection::expires_at(state::time_point deadline)
{
    stream_.expires_at(deadline);
}

bool upstream_connection::request_sent() const
{
    return exchange_ && exchange_->sent;
}

bool upstream_connection::reusable() const
{
    // A copy of an answer to HEAD tells the length of a body that does not
    // follow, and the next answer would be read as that body.
    return retryable_ids_.size() < max_repeated_answers &&
           !may_repeat_answer({}) && exchange_ && !exchange_->head_method &&
           exchange_->request_done && exchange_->answer_done &&
           exchange_->buffer.size() == 0 && exchange_->parser->keep_alive();
}

bool upstream_connection::idle_open()
{
    return is_idle_open(stream_);
}

void upstream_connection::cancel()
{
    stream_.close();
}

} // namespace oriolegrade::transport
