// Decides when a host writes its record into the directory of hosts.
//
// Load pattern: all hosts lose power and start again in the same second. The
// store takes the records of a topic one after another, 2 ms each. With 443
// hosts that wrote before they read, half of them knew no other host 0.8 s
// after their start, and their callers waited that long for a place. The
// directory still names every host, so nothing has to be written.

#ifndef ORIOLEGRADE_COORDINATION_HOST_ANNOUNCEMENT_HPP
#define ORIOLEGRADE_COORDINATION_HOST_ANNOUNCEMENT_HPP

#include <oriolegrade/state/host_member.hpp>

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

namespace oriolegrade::coordination {

class host_announcement
{
public:
    explicit host_announcement(state::host_member self)
        : self_(std::move(self))
    {}

    /// The store told which hosts the directory names.
    void read_directory(const std::vector<state::host_member>& hosts)
    {
        due_ = !names_self(hosts);
        misses_ = 0;
    }
    /// Another host told which hosts it knows. Its view may be older than the
    /// last announcement.
    void heard_view(const std::vector<state::host_member>& hosts)
    {
        misses_ = names_self(hosts) ? 0 : misses_ + 1;
        if (misses_ >= max_misses) {
            due_ = true;
        }
    }
    /// The record was written.
    void announced()
    {
        due_ = false;
        misses_ = 0;
    }

    bool is_due() const
    {
        return due_;
    }

private:
    /// Views in a row without this host after which it announces itself again.
    /// The removal of its record by an earlier process may take effect late,
    /// after this process found the record.
    static constexpr std::uint32_t max_misses = 2;

    bool names_self(const std::vector<state::host_member>& hosts) const
    {
        return std::find(hosts.begin(), hosts.end(), self_) != hosts.end();
    }

    state::host_member self_;
    /// Until the directory has been read, the host takes itself for unknown.
    bool due_ = true;
    std::uint32_t misses_ = 0;
};

} // namespace oriolegrade::coordination

#endif
