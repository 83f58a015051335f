// TCP stream and endpoint types of the transport layer.

#ifndef ORIOLEGRADE_TRANSPORT_TCP_HPP
#define ORIOLEGRADE_TRANSPORT_TCP_HPP

#include <oriolegrade/state/endpoint.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/basic_stream.hpp>

#include <chrono>

namespace oriolegrade::transport {

using error_code = boost::system::error_code;

/// Stream with timeouts, bound to the io_context of one thread.
using tcp_stream =
    boost::beast::basic_stream<boost::asio::ip::tcp,
                               boost::asio::io_context::executor_type>;

inline boost::asio::ip::tcp::endpoint to_tcp(const state::endpoint& ep)
{
    return {boost::asio::ip::address_v4(ep.address), ep.port};
}

inline state::endpoint from_tcp(const boost::asio::ip::tcp::endpoint& ep)
{
    return {ep.address().to_v4().to_uint(), ep.port()};
}

/// True when an idle connection is still open and has no unread bytes. Bytes
/// that no request asked for would be taken for the next answer.
bool is_idle_open(tcp_stream& stream);

/// Sends keep-alive probes on an idle connection, so that one whose peer went
/// silent fails after three intervals.
void probe_when_idle(tcp_stream& stream, std::chrono::seconds interval);

} // namespace oriolegrade::transport

#endif
