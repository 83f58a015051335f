// Notices that a caller closed its connection while it waits for an answer.

#ifndef ORIOLEGRADE_TRANSPORT_DISCONNECT_WATCH_HPP
#define ORIOLEGRADE_TRANSPORT_DISCONNECT_WATCH_HPP

#include <oriolegrade/transport/tcp.hpp>

#include <functional>
#include <memory>

namespace oriolegrade::transport {

/// Watches while it lives. Only for a connection whose request was read to
/// its end: bytes of a following request end the watch.
class disconnect_watch
{
public:
    disconnect_watch(tcp_stream& stream, std::function<void()> on_close);
    ~disconnect_watch();

    disconnect_watch(const disconnect_watch&) = delete;
    disconnect_watch& operator=(const disconnect_watch&) = delete;

private:
    tcp_stream& stream_;
    /// Empty once the watch has ended; shared with the pending handler.
    std::shared_ptr<std::function<void()>> on_close_;
};

} // namespace oriolegrade::transport

#endif
