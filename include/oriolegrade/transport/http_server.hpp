// Small HTTP/1.1 server for bounded requests and answers: administration,
// probes of readiness and the platform stand-in.

#ifndef ORIOLEGRADE_TRANSPORT_HTTP_SERVER_HPP
#define ORIOLEGRADE_TRANSPORT_HTTP_SERVER_HPP

#include <oriolegrade/transport/listener.hpp>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>

namespace oriolegrade::transport {

using http_request =
    boost::beast::http::request<boost::beast::http::string_body>;
using http_answer =
    boost::beast::http::response<boost::beast::http::string_body>;

/// Largest request body that the server takes, in bytes.
inline constexpr std::size_t max_control_body_bytes = 4 * 1024 * 1024;

/// Serves HTTP on one thread; each connection has a fiber, so a handler may
/// wait.
class http_server
{
public:
    using handler = std::function<http_answer(const http_request&)>;

    /// @throws boost::system::system_error when the address is not available
    http_server(boost::asio::io_context& ioc, const state::endpoint& address,
                handler on_request);

    void close()
    {
        listener_.close();
    }
    state::endpoint address() const
    {
        return listener_.address();
    }

private:
    listener listener_;
};

/// Answer with a JSON body.
http_answer json_answer(unsigned status, std::string body);

/// Answer with a plain text body.
http_answer text_answer(unsigned status, std::string body);

} // namespace oriolegrade::transport

#endif
