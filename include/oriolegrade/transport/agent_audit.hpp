// An agent's audit trail: recent events for operators, and all of them into
// the log in batches.

#ifndef ORIOLEGRADE_TRANSPORT_AGENT_AUDIT_HPP
#define ORIOLEGRADE_TRANSPORT_AGENT_AUDIT_HPP

#include <oriolegrade/coordination/audit_buffer.hpp>
#include <oriolegrade/transport/agent_log.hpp>
#include <oriolegrade/transport/fiber_signal.hpp>

#include <deque>
#include <string>
#include <vector>

namespace oriolegrade::transport {

/// Used by the fibers of one thread.
class agent_audit
{
public:
    /// Events kept for operators.
    static constexpr std::size_t max_recent = 2'048;

    /// @param incarnation of this process
    agent_audit(const std::string& host, std::uint64_t incarnation,
                agent_log& log);

    /// Adds an event with the time of the call.
    void add(state::audit_event event);

    /// Adds a refused access. Beyond a rate they are only counted, and the
    /// next event tells how many.
    void add_denied(const std::string& subject, const std::string& detail);

    /// Adapts the rate of appends to the number of live hosts.
    void set_hosts(std::size_t hosts)
    {
        buffer_.set_delay(coordination::audit_delay(hosts));
    }

    /// Appends due batches, for ever.
    void write_loop();

    /// Events from a number on, at most `max`, oldest first.
    /// @param next set to the number after the last one given
    std::vector<state::audit_event> recent(std::uint64_t from, std::size_t max,
                                           std::uint64_t& next) const;

    const coordination::audit_buffer& buffer() const
    {
        return buffer_;
    }

private:
    agent_log& log_;
    coordination::audit_buffer buffer_;
    std::deque<state::audit_event> recent_;
    /// Number of the event after the last one in recent_.
    std::uint64_t next_ = 0;
    fiber_signal added_;
    /// Refused accesses that may be added in the current interval.
    unsigned denials_left_ = 0;
    state::time_point denials_from_;
    std::uint64_t denials_omitted_ = 0;
};

} // namespace oriolegrade::transport

#endif
