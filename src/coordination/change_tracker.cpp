// Storage and status of recent configuration changes.

#include <oriolegrade/coordination/change_tracker.hpp>

#include <algorithm>

namespace oriolegrade::coordination {

void change_tracker::add(const std::vector<evaluated_record>& evaluated)
{
    for (const auto& it : evaluated) {
        if (!changes_.try_emplace(it.change_id, it).second) {
            continue;
        }
        order_.push_back(it.change_id);
        if (order_.size() > max_changes) {
            changes_.erase(order_.front());
            order_.pop_front();
        }
    }
}

std::optional<change_status>
change_tracker::status(const state::identifier& id,
                       const std::vector<host_progress>& hosts) const
{
    const auto it = changes_.find(id);
    if (it == changes_.end()) {
        return std::nullopt;
    }
    change_status out{it->second, 0, hosts.size(), {}};
    for (const auto& host : hosts) {
        if (host.next_offset > it->second.offset) {
            ++out.applied;
        } else {
            out.lagging.push_back(host.host);
        }
    }
    std::sort(out.lagging.begin(), out.lagging.end());
    return out;
}

std::vector<evaluated_record>
change_tracker::history(state::record_kind kind, std::string_view name) const
{
    std::vector<evaluated_record> out;
    for (const auto& id : order_) {
        const auto& it = changes_.at(id);
        if (it.key.kind == kind && it.key.name == name) {
            out.push_back(it);
        }
    }
    return out;
}

} // namespace oriolegrade::coordination
