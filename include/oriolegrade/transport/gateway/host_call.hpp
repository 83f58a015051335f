// Single calls to another gateway.

#ifndef ORIOLEGRADE_TRANSPORT_GATEWAY_HOST_CALL_HPP
#define ORIOLEGRADE_TRANSPORT_GATEWAY_HOST_CALL_HPP

#include <oriolegrade/state/endpoint.hpp>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace oriolegrade::transport {

/// Body of the answer; empty without an answer of status 200 in time, and for
/// a peer without a port. Blocks the calling fiber.
/// @param limit time until the answer begins, and for each further part
std::optional<std::string> call_host(boost::asio::io_context& ioc,
                                     const state::endpoint& peer,
                                     std::string_view path,
                                     const std::string& body,
                                     std::chrono::milliseconds limit);

} // namespace oriolegrade::transport

#endif
