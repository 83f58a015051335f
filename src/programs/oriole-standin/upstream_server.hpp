// Upstream stand-in: connections, slots, answers and faults. One thread.

#ifndef ORIOLEGRADE_PROGRAMS_UPSTREAM_SERVER_HPP
#define ORIOLEGRADE_PROGRAMS_UPSTREAM_SERVER_HPP

#include "run_counts.hpp"
#include "slot_gate.hpp"
#include "upstream_faults.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <random>
#include <string>

namespace oriolegrade::programs {

struct upstream_settings
{
    std::string name;
    std::size_t slots;
    std::size_t queue_limit;
    std::chrono::milliseconds queue_time;
    std::chrono::milliseconds service_time;
    std::chrono::milliseconds probe_time;
    /// Cost of a new connection.
    std::chrono::milliseconds accept_time;
    /// 0 means no limit.
    std::size_t max_connections;
};

class upstream_server
{
public:
    explicit upstream_server(upstream_settings settings);

    /// Accepts connections for as long as the acceptor is open.
    void serve(boost::asio::ip::tcp::acceptor& acceptor);

private:
    using parser =
        boost::beast::http::request_parser<boost::beast::http::buffer_body>;
    using response =
        boost::beast::http::response<boost::beast::http::buffer_body>;
    using clock = std::chrono::steady_clock;

    /// A request while it is answered.
    struct exchange
    {
        boost::beast::tcp_stream& stream;
        boost::beast::flat_buffer& buffer;
        parser& request;
        std::string id;
        std::string target;
        clock::time_point start = clock::now();
        std::uint64_t upload_bytes = 0;
        std::uint32_t upload_crc = 0;
        bool upload_matches = true;
    };

    void connection(boost::asio::ip::tcp::socket socket);
    bool is_refused(boost::asio::ip::tcp::socket& socket);
    /// One request; false when the connection must be closed.
    /// @param counts the connection counts against the limit; false once it has
    ///        carried a control request
    bool serve_one(boost::beast::tcp_stream& stream,
                   boost::beast::flat_buffer& buffer, bool& counts);
    bool control(exchange& ex);
    bool health(exchange& ex);
    bool work(exchange& ex);
    bool shed(exchange& ex);
    /// Occupies a slot for the service time. False when the client left.
    bool run(exchange& ex);
    bool answer(exchange& ex);
    bool send_text(exchange& ex, boost::beast::http::status status,
                   std::string text, const char* type);
    response make_response(exchange& ex, boost::beast::http::status status);
    bool is_expired(const exchange& ex) const;
    std::string runs_json(std::string_view target) const;

    const upstream_settings settings_;
    upstream_faults faults_;
    slot_gate gate_;
    run_counts runs_;
    std::uint64_t shed_count_ = 0;
    /// End of the time in which the upstream wants no requests.
    clock::time_point quiet_until_{};
    /// Requests that came although the upstream wanted none.
    std::uint64_t in_quiet_ = 0;
    std::uint64_t while_draining_ = 0;
    /// Open connections but those that carry control requests: the next one
    /// must not be refused because the end of such a one is not noticed yet.
    std::size_t connections_ = 0;
    std::mt19937_64 random_{std::random_device()()};
};

} // namespace oriolegrade::programs

#endif
