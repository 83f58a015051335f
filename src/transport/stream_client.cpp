// Connection handling and calls of the stream client.

#include <oriolegrade/transport/stream_client.hpp>

#include <oriolegrade/protocol/header_field.hpp>
#include <oriolegrade/transport/fiber_yield.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <nghttp2/nghttp2.h>

#include <array>
#include <charconv>

namespace oriolegrade::transport {

namespace {

using namespace std::chrono_literals;

constexpr auto first_backoff = 20ms;
constexpr auto last_backoff = 500ms;

/// The client closes idle connections first, so that a new stream rarely
/// meets a server that is closing.
stream_limits client_limits(stream_limits limits)
{
    limits.idle_timeout = limits.idle_timeout * 3 / 4;
    return limits;
}

} // namespace

client_stream::~client_stream()
{
    if (stream_ && !complete_) {
        stream_->reset(NGHTTP2_CANCEL);
    }
}

void client_stream::cancel()
{
    stream_->reset(NGHTTP2_CANCEL);
}

stream_result<unsigned> client_stream::status()
{
    const auto arrived = stream_->wait_headers();
    if (!arrived) {
        return arrived.error();
    }
    const auto text = find_header(stream_->headers(), ":status");
    unsigned out = 0;
    std::from_chars(text.data(), text.data() + text.size(), out);
    return out;
}

stream_result<std::size_t>
client_stream::read_some(boost::asio::mutable_buffer out)
{
    const auto n = stream_->read_some(out);
    complete_ = complete_ || (n && n.value() == 0 && out.size() > 0);
    return n;
}

stream_client::stream_client(boost::asio::io_context& ioc, state::endpoint peer,
                             std::string fleet_key, const stream_limits& limits)
    : ioc_(ioc)
    , peer_(peer)
    , fleet_key_(std::move(fleet_key))
    , limits_(client_limits(limits))
    , backoff_(first_backoff)
{}

stream_client::~stream_client()
{
    stop();
}

bool stream_client::connect()
{
    boost::beast::tcp_stream socket(ioc_);
    boost::system::error_code ec;
    socket.expires_after(limits_.connect_timeout);
    socket.async_connect(
        boost::asio::ip::tcp::endpoint(
            boost::asio::ip::address_v4(peer_.address), peer_.port),
        fiber_yield(ec));
    if (ec || stopping_) {
        retry_at_ = clock::now() + backoff_;
        backoff_ =
            std::min<std::chrono::milliseconds>(backoff_ * 2, last_backoff);
        return false;
    }
    backoff_ = first_backoff;
    socket.socket().set_option(boost::asio::ip::tcp::no_delay(true), ec);
    if (session_ && !session_->is_closed()) {
        std::erase_if(retired_, [](const auto& s) { return s->is_closed(); });
        retired_.push_back(session_);
    }
    session_ =
        std::make_shared<stream_session>(std::move(socket), limits_, nullptr);
    session_->start(fibers_);
    return true;
}

std::shared_ptr<stream_session>
stream_client::connected(clock::time_point deadline)
{
    while (!is_connected()) {
        if (stopping_ || clock::now() < retry_at_) {
            return nullptr;
        }
        if (connecting_) {
            if (!connected_.wait_until(deadline,
                                       [this] { return !connecting_; })) {
                return nullptr;
            }
            continue;
        }
        connecting_ = true;
        const bool succeeded = connect();
        connecting_ = false;
        connected_.notify();
        if (!succeeded) {
            return nullptr;
        }
    }
    return session_;
}

stream_result<client_stream>
stream_client::open(std::string_view path, const stream_headers& headers,
                    std::chrono::milliseconds timeout)
{
    const auto deadline = clock::now() + timeout;
    const auto session = connected(deadline);
    if (!session) {
        return stream_error{stream_failure::connect_failed, false};
    }
    stream_headers all = headers;
    all.push_back(
        {std::string(state::name_of(protocol::header_field::fleet_key)),
         fleet_key_});
    auto stream = session->open(path, all, true, deadline);
    if (!stream) {
        return stream.error();
    }
    return client_stream(std::move(stream).value());
}

stream_result<stream_reply>
stream_client::call(std::string_view path, const stream_headers& headers,
                    std::string_view body, std::chrono::milliseconds timeout,
                    limit_scope scope)
{
    const auto parts = scope == limit_scope::each_part
                           ? std::optional<coordination::answer_limit>(
                                 std::in_place, clock::now() + timeout, timeout)
                           : std::nullopt;
    auto opened = open(path, headers, timeout);
    if (!opened) {
        return opened.error();
    }
    auto stream = std::move(opened).value();
    const auto write = [&] {
        // A failed write is explained by the answer or its error.
        if (stream.write_all(boost::asio::buffer(body.data(), body.size()))) {
            stream.finish();
        }
    };
    if (body.size() <= limits_.output_bytes) {
        write();
        return read_reply(stream, parts);
    }
    // A handler may answer while it reads, so a body that does not fit the
    // output buffer is written while the answer is read.
    bool written = false;
    fiber_signal ended;
    fibers_.spawn([&] {
        run_step("call_body", write);
        written = true;
        ended.notify();
    });
    auto reply = read_reply(stream, parts);
    if (!written) {
        stream.cancel();
        ended.wait([&] { return written; });
    }
    return reply;
}

stream_result<stream_reply> stream_client::read_reply(
    client_stream& stream,
    const std::optional<coordination::answer_limit>& parts) const
{
    const auto status = stream.status();
    if (!status) {
        return status.error();
    }
    stream_reply reply{status.value(), stream.headers(), {}};
    std::array<char, 4096> piece;
    while (true) {
        if (parts) {
            stream.set_deadline(parts->next_part(clock::now()));
        }
        const auto n = stream.read_some(boost::asio::buffer(piece));
        if (!n) {
            return n.error();
        }
        if (n.value() == 0) {
            return reply;
        }
        if (reply.body.size() + n.value() > limits_.reply_bytes) {
            return stream_error{stream_failure::too_large, true};
        }
        reply.body.append(piece.data(), n.value());
    }
}

void stream_client::stop()
{
    stopping_ = true;
    if (session_) {
        session_->close();
    }
    for (const auto& it : retired_) {
        it->close();
    }
    connected_.wait([this] { return !connecting_; });
    fibers_.join();
}

} // namespace oriolegrade::transport
