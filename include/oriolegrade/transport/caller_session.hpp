// The requests of one caller's connection, one after the other.

#ifndef ORIOLEGRADE_TRANSPORT_CALLER_SESSION_HPP
#define ORIOLEGRADE_TRANSPORT_CALLER_SESSION_HPP

#include <oriolegrade/transport/caller_stream.hpp>
#include <oriolegrade/transport/entry_shared.hpp>
#include <oriolegrade/transport/reply.hpp>

#include <utility>

namespace oriolegrade::transport {

/// Serves requests until one ends the connection.
/// @param serve_request takes the connection's buffer; true when the
///        connection may carry another request
template <class ServeRequest>
void serve_caller(tcp_stream& stream, ServeRequest serve_request)
{
    boost::beast::flat_buffer buffer;
    while (serve_request(buffer)) {
    }
    error_code ec;
    stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ec);
}

/// Serves one request; true when the connection may carry another one.
/// @param shared has `requests_in_flight` and `stopping`
/// @param wait waits for the first byte of the request
/// @param proxy takes the head, the request and the answer
template <class Shared, class Wait, class Proxy>
bool serve_caller_request(tcp_stream& stream, boost::beast::flat_buffer& buffer,
                          const caller_io_limits& limits, Shared& shared,
                          Wait wait, Proxy proxy)
{
    caller_request request(stream, buffer, limits);
    error_code ec;
    wait(request, ec);
    if (ec) {
        return false;
    }
    const count_guard guard(shared.requests_in_flight);
    auto head = request.read_head(ec);
    if (ec) {
        if (const auto reason = reply_for(ec)) {
            caller_answer answer(stream, limits, 11, false, false);
            send_reply(answer, *reason);
        }
        return false;
    }
    const bool keep = request.keep_alive() && !shared.stopping;
    caller_answer answer(stream, limits, request.version(), request.is_head(),
                         keep);
    proxy(std::move(head), request, answer);
    if (!answer.finished()) {
        // A reset shows the caller that the answer is incomplete even when
        // it has no length.
        stream.socket().set_option(boost::asio::socket_base::linger(true, 0),
                                   ec);
        stream.close();
        return false;
    }
    return keep && request.done();
}

} // namespace oriolegrade::transport

#endif
