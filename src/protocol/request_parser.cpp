// Request parser on Beast.

#include <oriolegrade/protocol/request_parser.hpp>

#include <oriolegrade/protocol/chunk_limits.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

#include <algorithm>

namespace oriolegrade::protocol {

namespace http = boost::beast::http;

namespace {

std::string_view to_view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

/// Fields that the head carries in members of its own.
bool is_framing(http::field field)
{
    return field == http::field::content_length ||
           field == http::field::transfer_encoding ||
           field == http::field::expect || field == http::field::host;
}

constexpr std::string_view line_end = "\r\n";
constexpr std::string_view head_end = "\r\n\r\n";

/// What stands before a request.
struct request_lead
{
    /// Bytes of the empty lines that are ignored.
    std::size_t size = 0;
    /// The bytes behind them begin a request.
    bool ended = false;
};

request_lead lead_of(std::string_view bytes)
{
    constexpr auto most = max_empty_lines * line_end.size();
    // Hardly any request has one.
    if (!bytes.starts_with(line_end.front())) {
        return {0, !bytes.empty()};
    }
    std::size_t n = 0;
    while (n < most && bytes.substr(n).starts_with(line_end)) {
        n += line_end.size();
    }
    const auto rest = bytes.substr(n);
    const bool may_be_empty_line = n < most && line_end.starts_with(rest);
    return {n, !rest.empty() && !may_be_empty_line};
}

/// Error in a first line that has ended; none when the line is good.
boost::system::error_code check_first_line(std::string_view line)
{
    http::request_parser<http::empty_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(line.size() + 1));
    boost::system::error_code ec;
    parser.put(boost::asio::buffer(line.data(), line.size()), ec);
    return ec == http::error::need_more ? boost::system::error_code() : ec;
}

/// True when the bytes that do not end a first line hold its method, and at
/// most a version behind its target.
bool is_filled_by_target(std::string_view line)
{
    constexpr std::string_view version_part = " HTTP/1.1\r";
    const auto method_end = line.find(' ');
    if (method_end == std::string_view::npos) {
        return false;
    }
    const auto target_end = line.find(' ', method_end + 1);
    return target_end == std::string_view::npos ||
           line.size() - target_end <= version_part.size();
}

} // namespace

/// Collects a request from the events of Beast's parser. Beast's own container
/// of fields holds no value above 65,535 bytes and throws on a longer one,
/// while the bound of a head is the operator's.
class request_parser::parser_state final : public http::basic_parser<true>
{
public:
    /// Looks at the bytes of a head that has not ended. Beast judges fields
    /// earlier when they arrive at once than when they arrive apart, so it gets
    /// the first line when that has ended, and then the whole head.
    /// @return length of the head; 0 while it has not ended
    std::size_t find_end(std::string_view bytes, boost::system::error_code& ec)
    {
        const auto known = bytes.substr(0, max_head_bytes);
        const auto overlap = std::min(scanned_, head_end.size() - 1);
        const auto end = known.find(head_end, scanned_ - overlap);
        const bool ended = end != std::string_view::npos;
        const auto head =
            known.substr(0, ended ? end + head_end.size() : known.size());
        check_lines(head, ec);
        scanned_ = head.size();
        if (ended || ec) {
            return ec ? 0 : head.size();
        }
        if (known.size() == max_head_bytes) {
            ec = http::error::header_limit;
            target_too_long =
                !first_line_checked_ && is_filled_by_target(known);
        }
        return 0;
    }

    std::size_t max_head_bytes = 0;
    /// Method, target, host and fields. The framing follows from the parser.
    request_head head;
    /// Values of the Connection fields, each with a comma behind it.
    std::string connection_options;
    bool head_method = false;
    bool target_too_long = false;
    bool body_too_long = false;
    bool continue_expected = false;
    /// Major and minor version as two digits; 1.1 while the first line is not
    /// known, for an answer to bytes that are no request.
    unsigned version = http_1_1;
    /// The header of a chunk was taken.
    bool chunk_begun = false;
    /// Where the content of the body goes.
    std::span<char> room;

private:
    using string_view = boost::beast::string_view;
    using error_code = boost::system::error_code;

    /// Checks the ends of the lines that have arrived, and the first line.
    void check_lines(std::string_view head, error_code& ec)
    {
        for (auto at = head.find('\n', scanned_);
             at != std::string_view::npos && !ec;
             at = head.find('\n', at + 1)) {
            if (at == 0 || head[at - 1] != '\r') {
                ec = http::error::bad_line_ending;
            } else if (!first_line_checked_) {
                first_line_checked_ = true;
                ec = check_first_line(head.substr(0, at + 1));
            }
        }
    }

    void on_request_impl(http::verb verb, string_view method,
                         string_view target, int version_in,
                         error_code& ec) override
    {
        // RFC 9112, section 3.2.3. A success would open a tunnel.
        if (verb == http::verb::connect && target.starts_with('/')) {
            ec = http::error::bad_target;
            return;
        }
        head.method = to_view(method);
        head.target = to_view(target);
        head_method = verb == http::verb::head;
        version = static_cast<unsigned>(version_in);
    }

    void on_response_impl(int /*code*/, string_view /*reason*/, int /*version*/,
                          error_code& /*ec*/) override
    {}

    void on_field_impl(http::field field, string_view name, string_view value,
                       error_code& ec) override
    {
        // Trailers are not forwarded.
        if (is_header_done()) {
            return;
        }
        if (field == http::field::transfer_encoding &&
            !is_known_coding(to_view(value), version)) {
            ec = http::error::bad_transfer_encoding;
            return;
        }
        if (field == http::field::host) {
            if (has_host_) {
                ec = http::error::bad_field;
                return;
            }
            has_host_ = true;
            head.host = to_view(value);
        }
        if (field == http::field::expect) {
            // RFC 9110, section 10.1.1: HTTP/1.0 has no interim answers.
            continue_expected = version == http_1_1 &&
                                boost::beast::iequals(value, "100-continue");
        }
        if (field == http::field::connection) {
            connection_options.append(to_view(value)).append(",");
        }
        if (!is_framing(field) && !is_hop_by_hop(to_view(name))) {
            head.fields.add(to_view(name), to_view(value));
        }
    }

    void on_header_impl(error_code& ec) override
    {
        // RFC 9112, section 3.2.
        if (version == http_1_1 && !has_host_) {
            ec = http::error::bad_field;
        }
    }

    void on_body_init_impl(const boost::optional<std::uint64_t>& /*length*/,
                           error_code& /*ec*/) override
    {}

    std::size_t on_body_impl(string_view body, error_code& ec) override
    {
        const auto n = std::min(body.size(), room.size());
        std::copy_n(body.data(), n, room.data());
        room = room.subspan(n);
        if (n < body.size()) {
            ec = http::error::need_buffer;
        }
        return n;
    }

    void on_chunk_header_impl(std::uint64_t /*size*/,
                              string_view /*extensions*/,
                              error_code& /*ec*/) override
    {
        chunk_begun = true;
    }

    std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, string_view body,
                                   error_code& ec) override
    {
        return on_body_impl(body, ec);
    }

    void on_finish_impl(error_code& /*ec*/) override {}

    /// Bytes of the head that were looked at.
    std::size_t scanned_ = 0;
    bool first_line_checked_ = false;
    bool has_host_ = false;
};

bool begins_request(std::string_view bytes)
{
    return lead_of(bytes).ended;
}

request_parser::request_parser(std::uint32_t max_head_bytes)
    : state_(std::make_unique<parser_state>())
{
    state_->max_head_bytes = max_head_bytes;
    // find_end() has checked the length.
    state_->header_limit(max_head_bytes + 1);
    state_->body_limit(boost::none);
}

request_parser::~request_parser() = default;

std::size_t request_parser::put_head(std::string_view bytes,
                                     boost::system::error_code& ec)
{
    const auto lead = lead_of(bytes);
    if (!lead.ended) {
        return 0;
    }
    const auto length = state_->find_end(bytes.substr(lead.size), ec);
    if (ec || length == 0) {
        return 0;
    }
    const auto end = lead.size + length;
    auto taken = lead.size;
    while (!ec && taken < end) {
        taken += state_->put(
            boost::asio::buffer(bytes.data() + taken, end - taken), ec);
    }
    return taken;
}

bool request_parser::target_too_long() const
{
    return state_->target_too_long;
}

bool request_parser::head_done() const
{
    return state_->is_header_done();
}

request_head request_parser::take_head()
{
    auto out = std::move(state_->head);
    // RFC 9110, section 7.6.1.
    out.fields.remove_listed(state_->connection_options);
    out.framing.chunked = state_->chunked();
    if (const auto n = state_->content_length()) {
        out.framing.length = *n;
    }
    return out;
}

void request_parser::set_body_limit(std::uint64_t bytes)
{
    state_->body_limit(bytes);
    // The library compares a length with the limit only while it reads the
    // head, when the limit is not known yet.
    const auto length = state_->content_length();
    state_->body_too_long = length && *length > bytes;
}

bool request_parser::body_too_long() const
{
    return state_->body_too_long;
}

request_parser::body_part
request_parser::put_body(std::string_view bytes, std::span<char> buf,
                         boost::system::error_code& ec)
{
    if (state_->body_too_long) {
        ec = http::error::body_limit;
        return {};
    }
    if (state_->chunked() && !state_->chunk_begun &&
        bytes.size() < shortest_chunked_body) {
        return {};
    }
    state_->room = buf;
    const auto taken =
        state_->put(boost::asio::buffer(bytes.data(), bytes.size()), ec);
    if (ec == http::error::need_buffer || ec == http::error::need_more) {
        ec = {};
    }
    return {taken, buf.size() - state_->room.size()};
}

bool request_parser::done() const
{
    return state_->is_done();
}

bool request_parser::keep_alive() const
{
    return head_done() && state_->keep_alive();
}

unsigned request_parser::version() const
{
    return state_->version;
}

bool request_parser::continue_expected() const
{
    return state_->continue_expected;
}

bool request_parser::is_head_method() const
{
    return state_->head_method;
}

} // namespace oriolegrade::protocol
