// Reads a stream of requests whose bytes arrive in parts, and writes what was
// read as an upstream gets it, for the test and the fuzz target of the parser.

#ifndef ORIOLEGRADE_TEST_FAKES_REQUEST_READER_HPP
#define ORIOLEGRADE_TEST_FAKES_REQUEST_READER_HPP

#include <oriolegrade/protocol/request_encoder.hpp>
#include <oriolegrade/protocol/request_parser.hpp>
#include <oriolegrade/protocol/request_target.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace oriolegrade::test {

/// A request as an upstream gets it.
inline std::string encode_request(protocol::request_head head,
                                  std::string_view body)
{
    head.fields.set("Host", head.host);
    auto out = protocol::encode_head(head);
    if (head.framing.chunked && !body.empty()) {
        std::array<char, 16> size{};
        const auto end = std::to_chars(size.data(), size.data() + size.size(),
                                       body.size(), 16)
                             .ptr;
        out.append(size.data(), end).append("\r\n");
        out.append(body).append("\r\n");
    } else {
        out.append(body);
    }
    return out + (head.framing.chunked ? "0\r\n\r\n" : "");
}

/// What a stream of bytes was read as.
struct read_requests
{
    /// Method, target, host, fields and body of each whole request.
    std::vector<std::string> requests;
    /// `chunked`, the length of the body, or nothing for neither.
    std::vector<std::string> framings;
    /// Each whole request as an upstream gets it.
    std::vector<std::string> encoded;
    /// Why the stream ended; empty when its bytes were used up.
    std::string error;

    bool operator==(const read_requests&) const = default;
};

/// @param step largest number of bytes that arrive at once
inline read_requests read_in_parts(std::string_view text, std::size_t step,
                                   std::uint32_t max_head_bytes)
{
    read_requests out;
    std::size_t taken = 0;
    std::size_t there = 0;
    const auto rest = [&] {
        return text.substr(taken, there - taken);
    };
    const auto more = [&] {
        const bool any = there < text.size();
        there = std::min(text.size(), there + step);
        return any;
    };
    for (;;) {
        protocol::request_parser parser(max_head_bytes);
        boost::system::error_code ec;
        while (!parser.head_done() && !ec) {
            taken += parser.put_head(rest(), ec);
            if (!ec && !parser.head_done() && !more()) {
                return out;
            }
        }
        std::string request;
        std::string body;
        protocol::request_head head;
        if (!ec) {
            head = parser.take_head();
            // A target that is refused stays as it was sent.
            protocol::to_origin_form(head);
            request = head.method + " " + head.target + " " + head.host;
            for (const auto& it : head.fields) {
                request += "|" + it.name + "=" + it.value;
            }
            request += "|";
        }
        // Smaller than most bodies, so that they are read in several steps.
        std::array<char, 7> buf{};
        while (!ec && !parser.done()) {
            protocol::request_parser::body_part part;
            if (!rest().empty()) {
                part = parser.put_body(rest(), buf, ec);
            }
            taken += part.taken;
            body.append(buf.data(), part.content);
            if (!ec && part.taken == 0 && !more()) {
                return out;
            }
        }
        if (ec) {
            out.error = ec.message();
            if (parser.target_too_long()) {
                out.error += " by the target";
            }
            return out;
        }
        out.requests.push_back(request + body);
        out.framings.push_back(head.framing.chunked ? "chunked"
                               : head.framing.length
                                   ? std::to_string(*head.framing.length)
                                   : "");
        out.encoded.push_back(encode_request(std::move(head), body));
    }
}

} // namespace oriolegrade::test

#endif
