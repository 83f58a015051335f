// Whole reads and changes of the directory of hosts.

#include <oriolegrade/coordination/host_directory.hpp>

namespace oriolegrade::coordination {

std::vector<state::host_member> host_directory::hosts() const
{
    std::vector<state::host_member> out;
    out.reserve(hosts_.size());
    for (const auto& it : hosts_) {
        out.push_back(it.second);
    }
    return out;
}

void host_directory::replace(const state::directory_read& read)
{
    hosts_.clear();
    for (const auto& it : read.hosts) {
        hosts_.emplace(it.name, it);
    }
    next_offset_ = read.next_offset;
    read_ = true;
}

void host_directory::take_record(const state::directory_read& record)
{
    replace(record);
    recorded();
}

void host_directory::take_newest(const state::directory_read& newest)
{
    replace(newest);
}

void host_directory::apply(const state::directory_changes& changes)
{
    for (const auto& it : changes.changes) {
        if (it.host) {
            hosts_[it.name] = *it.host;
        } else {
            hosts_.erase(it.name);
        }
    }
    next_offset_ = changes.next_offset;
}

state::directory_read host_directory::record() const
{
    return {hosts(), next_offset_};
}

} // namespace oriolegrade::coordination
