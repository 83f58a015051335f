// Binding of the platform's log and host list to HTTP/JSON. Models the
// concepts coordination::log_client and coordination::host_list_client.

#ifndef ORIOLEGRADE_TRANSPORT_PLATFORM_CLIENT_HPP
#define ORIOLEGRADE_TRANSPORT_PLATFORM_CLIENT_HPP

#include <oriolegrade/coordination/concepts.hpp>
#include <oriolegrade/transport/http_client.hpp>

namespace oriolegrade::transport {

/// Client of the platform for the fibers of one thread.
class platform_client
{
public:
    /// @param wait time that a read at the end of a stream waits for records
    platform_client(boost::asio::io_context& ioc,
                    const state::endpoint& platform, state::duration wait);

    state::append_result append(std::string_view stream,
                                std::string_view bytes);
    state::read_result read(std::string_view stream, std::uint64_t from,
                            std::size_t max);
    state::host_list_result hosts();

private:
    http_client http_;
    state::duration wait_;
};

static_assert(coordination::log_client<platform_client>);
static_assert(coordination::host_list_client<platform_client>);

} // namespace oriolegrade::transport

#endif
