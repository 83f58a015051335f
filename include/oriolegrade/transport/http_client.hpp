// Small HTTP/1.1 client for bounded requests and answers, with one kept-alive
// connection per remote address and calling thread.

#ifndef ORIOLEGRADE_TRANSPORT_HTTP_CLIENT_HPP
#define ORIOLEGRADE_TRANSPORT_HTTP_CLIENT_HPP

#include <oriolegrade/state/result.hpp>
#include <oriolegrade/state/time_type.hpp>
#include <oriolegrade/transport/http_server.hpp>
#include <oriolegrade/transport/tcp.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace oriolegrade::transport {

/// Why a call has no answer.
struct http_failure
{
    error_code ec;
    /// Bytes of the request may have reached the server.
    bool sent = false;
};

struct http_client_options
{
    /// A longer answer is an error. The default admits the largest snapshot.
    std::uint64_t max_answer_bytes = std::uint64_t{64} << 20U;
    /// How a kept connection that went silent is noticed: time without traffic
    /// before a keep-alive probe, and between probes; 0 sends none. A
    /// connection without an answer to two probes is lost.
    std::chrono::seconds probe_interval{0};
    /// Time for each part of an answer that has begun; 0 when the limit of a
    /// call covers the whole answer.
    std::chrono::milliseconds part_limit{0};
};

/// Client of one server. Used by the fibers of one thread; calls run at the
/// same time on connections of their own.
class http_client
{
public:
    http_client(boost::asio::io_context& ioc, const state::endpoint& server,
                const http_client_options& options = {});

    /// Sends a request and reads the whole answer. A kept connection that
    /// the server closed meanwhile is replaced when no byte was sent on it.
    /// @param limit time for connect, send and answer together, or until the
    ///        answer begins where its parts have a limit of their own
    state::result<http_answer, http_failure> call(http_request request,
                                                  state::duration limit);

private:
    using connection = std::unique_ptr<tcp_stream>;

    connection take_idle();

    boost::asio::io_context& ioc_;
    state::endpoint server_;
    const http_client_options options_;
    std::vector<connection> idle_;
};

/// Request with a body and a target.
http_request make_request(boost::beast::http::verb method,
                          const std::string& target, std::string body);

} // namespace oriolegrade::transport

#endif
