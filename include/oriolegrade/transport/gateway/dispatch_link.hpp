// Stream of one host to the dispatcher of another, opened when needed and
// again after it was lost.

#ifndef ORIOLEGRADE_TRANSPORT_GATEWAY_DISPATCH_LINK_HPP
#define ORIOLEGRADE_TRANSPORT_GATEWAY_DISPATCH_LINK_HPP

#include <oriolegrade/protocol/dispatch_messages.hpp>
#include <oriolegrade/transport/stream_client.hpp>

#include <functional>
#include <memory>
#include <string>

namespace oriolegrade::transport {

inline constexpr std::string_view dispatch_path = "/dispatch";
inline constexpr std::string_view fleet_view_path = "/view";
inline constexpr std::string_view source_path = "/source";

/// Limits of streams between gateways.
stream_limits gateway_stream_limits();

/// Lives on the control thread.
class dispatch_link
{
public:
    using frame_callback =
        std::function<void(const protocol::dispatcher_frame&)>;

    /// @param hello gives the first frame of each new stream
    /// @param on_frame called for each frame of the dispatcher
    /// @param on_lost called when a stream ends or cannot be opened
    dispatch_link(boost::asio::io_context& ioc, const state::endpoint& peer,
                  std::function<protocol::entry_hello()> hello,
                  frame_callback on_frame, std::function<void()> on_lost);
    ~dispatch_link();

    dispatch_link(const dispatch_link&) = delete;
    dispatch_link& operator=(const dispatch_link&) = delete;

    /// Sends a frame, after the hello when the stream is new.
    void send(const protocol::entry_frame& frame);

    /// Ends the stream; its connection may have gone silent.
    void reset();

    bool is_open() const;

private:
    struct connection;

    std::shared_ptr<connection> state_;
};

} // namespace oriolegrade::transport

#endif
