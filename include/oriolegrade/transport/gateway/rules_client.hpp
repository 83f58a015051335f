// Way of a worker thread to the follower of the rules on the control thread.

#ifndef ORIOLEGRADE_TRANSPORT_GATEWAY_RULES_CLIENT_HPP
#define ORIOLEGRADE_TRANSPORT_GATEWAY_RULES_CLIENT_HPP

#include <oriolegrade/state/time_type.hpp>
#include <oriolegrade/transport/fiber_signal.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <concepts>
#include <functional>
#include <memory>
#include <utility>

namespace oriolegrade::transport {

/// Brings in newer rules when asked.
template <class Refresher>
concept rules_refresher = requires(Refresher& r, state::time_point limit)
{
    /// Blocks the calling fiber until a look for newer rules has ended, at most
    /// until the limit.
    {
        r.refresh(limit)
        } -> std::same_as<void>;
};

/// Belongs to one worker thread.
class rules_client
{
public:
    /// Looks for newer rules, on the control thread; calls back at the end.
    using refresh_call = std::function<void(std::function<void()> done)>;

    rules_client(boost::asio::io_context& own, boost::asio::io_context& control,
                 refresh_call call)
        : own_(own)
        , control_(control)
        , call_(std::move(call))
    {}

    void refresh(state::time_point limit)
    {
        const auto wait = std::make_shared<refresh_wait>();
        boost::asio::post(control_, [this, wait] {
            call_([this, wait] {
                boost::asio::post(own_, [wait] {
                    wait->ended = true;
                    wait->signal.notify();
                });
            });
        });
        wait->signal.wait_until(limit, [&wait] { return wait->ended; });
    }

private:
    /// Used by the worker's thread, also by its handlers.
    struct refresh_wait
    {
        bool ended = false;
        fiber_signal signal;
    };

    boost::asio::io_context& own_;
    boost::asio::io_context& control_;
    refresh_call call_;
};

static_assert(rules_refresher<rules_client>);

} // namespace oriolegrade::transport

#endif
