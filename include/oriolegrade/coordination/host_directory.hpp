// The directory of hosts as one host has read it.
//
// Load pattern: all hosts start in the same second, and each has to learn of
// every other. Read from a record of each host, in pages of 50, this takes nine
// calls to the store per host at 443 hosts, and the calls of all hosts grow
// with the square of their number. One record names all hosts; a host reads it
// and the changes since, which are two calls at any number of hosts.

#ifndef ORIOLEGRADE_COORDINATION_HOST_DIRECTORY_HPP
#define ORIOLEGRADE_COORDINATION_HOST_DIRECTORY_HPP

#include <oriolegrade/state/host_member.hpp>
#include <oriolegrade/state/source_type.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace oriolegrade::coordination {

/// Hosts that one record may name. With more it would exceed the store's 256
/// KiB, at some 100 bytes a host; they are then read one by one.
inline constexpr std::size_t max_recorded_hosts = 2000;

class host_directory
{
public:
    /// True when hosts have been read, so that changes can be applied.
    bool is_read() const
    {
        return read_;
    }
    /// Offset of the first change that has not been applied.
    std::uint64_t next_offset() const
    {
        return next_offset_;
    }
    std::vector<state::host_member> hosts() const;

    /// Takes the hosts of the record that names all.
    void take_record(const state::directory_read& record);
    /// Takes the hosts of their own records.
    void take_newest(const state::directory_read& newest);
    void apply(const state::directory_changes& changes);
    /// The history since next_offset() is gone.
    void forget()
    {
        read_ = false;
    }

    /// True when the record that names all hosts names others than these.
    bool is_record_due() const
    {
        return read_ && hosts_ != recorded_ &&
               hosts_.size() <= max_recorded_hosts;
    }
    /// The record to write.
    state::directory_read record() const;
    /// The record was written.
    void recorded()
    {
        recorded_ = hosts_;
    }

private:
    using host_map = std::map<std::string, state::host_member>;

    void replace(const state::directory_read& read);

    host_map hosts_;
    /// Hosts of the record as it was last read or written.
    host_map recorded_;
    std::uint64_t next_offset_ = 0;
    bool read_ = false;
};

} // namespace oriolegrade::coordination

#endif
