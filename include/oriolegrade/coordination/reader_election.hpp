// Selects the hosts that read the log on behalf of the others. Hosts need not
// agree: too many readers cause extra reads, and with too few, hosts read the
// log themselves.

#ifndef ORIOLEGRADE_COORDINATION_READER_ELECTION_HPP
#define ORIOLEGRADE_COORDINATION_READER_ELECTION_HPP

#include <oriolegrade/state/time_type.hpp>

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace oriolegrade::coordination {

/// Hosts in rendezvous order for `purpose`, in order of preference. Each host
/// computes the same order from the same names, and the loss of a host does
/// not reorder the others.
/// @param hosts live hosts of one data centre, or of all
std::vector<std::string> reader_order(std::vector<std::string> hosts,
                                      std::string_view purpose);

/// Position of `host` in that order, from 0; hosts.size() if it is not listed.
std::size_t reader_rank(const std::vector<std::string>& hosts,
                        std::string_view host, std::string_view purpose);

/// Time without an update from a reader after which a host reads the log
/// itself. Changes must be in force within 4 s.
inline constexpr state::duration reader_timeout = std::chrono::seconds(1);

/// Decides when a host reads the log.
class read_schedule
{
public:
    explicit read_schedule(state::time_point start)
        : last_update_(start)
    {}

    /// To be called when a reader confirmed a log offset, new or not.
    void on_log_update(state::time_point now)
    {
        last_update_ = now;
    }

    /// @param is_reader this host is among the elected readers
    bool should_read(state::time_point now, bool is_reader) const
    {
        return is_reader || now - last_update_ >= reader_timeout;
    }

private:
    state::time_point last_update_;
};

} // namespace oriolegrade::coordination

#endif
