// Parses one HTTP/1.1 request from received bytes. Does no I/O: the same bytes
// give the same request however they are split.

#ifndef ORIOLEGRADE_PROTOCOL_REQUEST_PARSER_HPP
#define ORIOLEGRADE_PROTOCOL_REQUEST_PARSER_HPP

#include <oriolegrade/protocol/http_head.hpp>

#include <boost/system/error_code.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string_view>

namespace oriolegrade::protocol {

/// Empty lines before a request that are ignored (RFC 9112, section 2.2). Old
/// callers send one behind a body; callers that send them without end get an
/// error.
inline constexpr std::size_t max_empty_lines = 4;

/// True when bytes at the end of a request begin another one: they hold more
/// than the empty lines that are ignored, or the first byte of one.
bool begins_request(std::string_view bytes);

/// Errors are those of boost::beast::http::error.
class request_parser
{
public:
    /// Bytes of a body: how many were taken, and how many of them are content.
    struct body_part
    {
        std::size_t taken = 0;
        std::size_t content = 0;
    };

    /// @param max_head_bytes a longer head is an error (header_limit); empty
    ///        lines before it do not count
    explicit request_parser(std::uint32_t max_head_bytes);
    ~request_parser();

    request_parser(const request_parser&) = delete;
    request_parser& operator=(const request_parser&) = delete;

    /// Takes the head once it has ended. A bad first line is an error as soon
    /// as that line has ended.
    /// @param bytes received and not taken yet, from the end of the request
    ///        before
    /// @return the number of bytes taken with the empty lines before the head,
    ///         0 while the head has not ended
    std::size_t put_head(std::string_view bytes, boost::system::error_code& ec);
    /// True when the head is too long because of its target: the first line
    /// does not end within the bound. To be called after header_limit.
    bool target_too_long() const;
    bool head_done() const;
    /// Once, after head_done().
    request_head take_head();

    /// A longer body is an error (body_limit). Only before its first byte.
    void set_body_limit(std::uint64_t bytes);
    /// True when the head tells that the body is longer than its limit.
    bool body_too_long() const;
    /// Takes bytes of the body and copies its content to `buf`.
    body_part put_body(std::string_view bytes, std::span<char> buf,
                       boost::system::error_code& ec);

    /// True when the whole request was taken.
    bool done() const;
    /// The caller lets the connection carry another request; false without a
    /// whole head.
    bool keep_alive() const;
    /// The caller waits for an interim answer before it sends the body.
    bool continue_expected() const;
    unsigned version() const;
    bool is_head_method() const;

private:
    class parser_state;
    std::unique_ptr<parser_state> state_;
};

} // namespace oriolegrade::protocol

#endif
