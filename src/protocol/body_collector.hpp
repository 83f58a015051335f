// The body of a message from the events of Beast's parser, for the parsers of
// requests and of answers.

#ifndef ORIOLEGRADE_PROTOCOL_BODY_COLLECTOR_HPP
#define ORIOLEGRADE_PROTOCOL_BODY_COLLECTOR_HPP

#include <oriolegrade/protocol/chunk_limits.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace oriolegrade::protocol {

inline std::string_view to_view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

template <bool IsRequest>
class body_collector : public boost::beast::http::basic_parser<IsRequest>
{
protected:
    using string_view = boost::beast::string_view;
    using error_code = boost::system::error_code;

public:
    /// Takes bytes behind the head and copies content to `buf`.
    /// @tparam Part has the numbers of bytes `taken` and of `content`
    template <class Part>
    Part put_body(std::string_view bytes, std::span<char> buf, error_code& ec)
    {
        namespace http = boost::beast::http;
        if (bytes.empty() || (this->chunked() && !chunk_begun_ &&
                              bytes.size() < shortest_chunked_body)) {
            return {};
        }
        room_ = buf;
        const auto taken =
            this->put(boost::asio::buffer(bytes.data(), bytes.size()), ec);
        if (ec == http::error::need_buffer || ec == http::error::need_more) {
            ec = {};
        }
        return {taken, buf.size() - room_.size()};
    }

private:
    void on_body_init_impl(const boost::optional<std::uint64_t>& /*length*/,
                           error_code& /*ec*/) override
    {}

    std::size_t on_body_impl(string_view body, error_code& ec) override
    {
        const auto n = std::min(body.size(), room_.size());
        std::copy_n(body.data(), n, room_.data());
        room_ = room_.subspan(n);
        if (n < body.size()) {
            ec = boost::beast::http::error::need_buffer;
        }
        return n;
    }

    void on_chunk_header_impl(std::uint64_t /*size*/,
                              string_view /*extensions*/,
                              error_code& /*ec*/) override
    {
        chunk_begun_ = true;
    }

    std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, string_view body,
                                   error_code& ec) override
    {
        return on_body_impl(body, ec);
    }

    void on_finish_impl(error_code& /*ec*/) override {}

    /// The header of a chunk was taken.
    bool chunk_begun_ = false;
    /// Where the content of the body goes.
    std::span<char> room_;
};

} // namespace oriolegrade::protocol

#endif
