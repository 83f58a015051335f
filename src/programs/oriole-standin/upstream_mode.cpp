// Start of the mode `upstream`.

#include "upstream_mode.hpp"

#include "standin_flags.hpp"
#include "upstream_server.hpp"

#include <oriolegrade/transport/event_log.hpp>
#include <oriolegrade/transport/fiber_scheduler.hpp>

#include <iostream>

DEFINE_uint32(slots, 4, "requests that run at once");
DEFINE_uint32(queue, 0, "requests that wait for a slot; 0 means 4 per slot");
DEFINE_uint32(queue_ms, 1000, "longest wait for a slot before shedding");
DEFINE_uint32(service_ms, 5, "time that a request occupies its slot");
DEFINE_uint32(probe_ms, 25, "time that a health probe takes");
DEFINE_uint32(accept_ms, 1, "time that a new connection takes");
DEFINE_uint32(max_connections, 0, "further connections are reset; 0: no limit");

namespace oriolegrade::programs {

namespace {

namespace asio = boost::asio;

upstream_settings settings_from_flags()
{
    using ms = std::chrono::milliseconds;
    return {FLAGS_name,
            FLAGS_slots,
            FLAGS_queue != 0 ? FLAGS_queue : 4 * FLAGS_slots,
            ms(FLAGS_queue_ms),
            ms(FLAGS_service_ms),
            ms(FLAGS_probe_ms),
            ms(FLAGS_accept_ms),
            FLAGS_max_connections};
}

boost::system::error_code open(asio::ip::tcp::acceptor& acceptor)
{
    boost::system::error_code ec;
    const auto colon = FLAGS_listen.rfind(':');
    const auto address =
        asio::ip::make_address_v4(FLAGS_listen.substr(0, colon), ec);
    if (ec || colon == std::string::npos) {
        return asio::error::invalid_argument;
    }
    const int port = std::atoi(FLAGS_listen.c_str() + colon + 1);
    acceptor.open(asio::ip::tcp::v4(), ec);
    acceptor.set_option(asio::socket_base::reuse_address(true), ec);
    acceptor.bind({address, static_cast<std::uint16_t>(port)}, ec);
    if (!ec) {
        acceptor.listen(1024, ec);
    }
    return ec;
}

} // namespace

int run_upstream()
{
    if (FLAGS_slots == 0) {
        std::cerr << "--slots must be at least 1\n";
        return 2;
    }
    int code = 0;
    transport::run_fibers([&](asio::io_context& ioc) {
        asio::ip::tcp::acceptor acceptor(ioc);
        if (const auto ec = open(acceptor)) {
            transport::event(transport::log_level::error, "listen_failed")
                .with("address", FLAGS_listen)
                .with("reason", ec.message());
            code = 1;
            return;
        }
        std::cout << "listening " << acceptor.local_endpoint() << std::endl;
        upstream_server server(settings_from_flags());
        server.serve(acceptor);
    });
    return code;
}

} // namespace oriolegrade::programs
