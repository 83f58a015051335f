// The platform's log as an agent uses it: keeps the records of the last read
// for other hosts, and measures appends.

#ifndef ORIOLEGRADE_TRANSPORT_AGENT_LOG_HPP
#define ORIOLEGRADE_TRANSPORT_AGENT_LOG_HPP

#include <oriolegrade/state/config_message_type.hpp>
#include <oriolegrade/transport/latency_summary.hpp>
#include <oriolegrade/transport/platform_client.hpp>

#include <utility>

namespace oriolegrade::transport {

/// Models coordination::log_client. Used by the fibers of one thread.
class agent_log
{
public:
    /// @param wait time that a read waits at the end of a stream while
    ///        waiting is on
    agent_log(boost::asio::io_context& ioc, const state::endpoint& platform,
              state::duration wait);

    state::append_result append(std::string_view stream,
                                std::string_view bytes);
    state::read_result read(std::string_view stream, std::uint64_t from,
                            std::size_t max);

    /// Off at first, so that a booting host finds the end at once.
    void set_waiting(bool waiting)
    {
        waiting_ = waiting;
    }

    /// Gives away the records of the last read of the configuration that
    /// succeeded.
    state::record_batch take_last_read()
    {
        return std::exchange(last_read_, {});
    }
    /// When its answer arrived.
    state::time_point last_arrival() const
    {
        return last_arrival_;
    }
    const latency_summary& append_latency() const
    {
        return append_latency_;
    }

private:
    platform_client prompt_;
    platform_client patient_;
    bool waiting_ = false;
    state::record_batch last_read_;
    state::time_point last_arrival_;
    latency_summary append_latency_;
};

static_assert(coordination::log_client<agent_log>);

} // namespace oriolegrade::transport

#endif
