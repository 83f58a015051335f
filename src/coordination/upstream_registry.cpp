// Ordering of entries, removals and the grace period.

#include <oriolegrade/coordination/upstream_registry.hpp>

#include <algorithm>
#include <set>

namespace oriolegrade::coordination {

namespace {

/// True when the change may affect the placement of requests.
bool affects_placement(const state::registered_upstream& a,
                       const state::registered_upstream& b)
{
    return a.service != b.service || a.address != b.address ||
           a.data_centre != b.data_centre || a.slots != b.slots ||
           a.state != b.state || a.born != b.born;
}

} // namespace

bool upstream_registry::in_grace(state::time_point now) const
{
    return store_recovered_ != state::time_point::min() &&
           now - store_recovered_ < reregistration_grace;
}

void upstream_registry::write(const state::registered_upstream& it)
{
    const auto removed = tombstones_.find(it.id);
    if (removed != tombstones_.end()) {
        if (it.order() <= removed->second.order) {
            return;
        }
        tombstones_.erase(removed);
    }
    auto [found, added] = entries_.try_emplace(it.id);
    auto& known = found->second;
    if (!added && it.order() < known.upstream.order()) {
        return;
    }
    if (added || affects_placement(known.upstream, it)) {
        ++revision_;
    }
    known.upstream = it;
    known.kept_until = state::time_point::max();
}

void upstream_registry::remove(const std::string& id, state::time_point now)
{
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        return;
    }
    if (in_grace(now)) {
        found->second.kept_until = std::min(
            found->second.kept_until, store_recovered_ + reregistration_grace);
        return;
    }
    tombstones_[id] = {found->second.upstream.order(), now};
    entries_.erase(found);
    ++revision_;
}

void upstream_registry::apply(const state::registry_change& change,
                              state::time_point now)
{
    switch (change.kind) {
    case state::registry_change_kind::written:
        write(*change.entry);
        break;
    case state::registry_change_kind::removed:
        remove(change.id, now);
        break;
    case state::registry_change_kind::unreadable:
        break;
    }
}

void upstream_registry::replace(const std::vector<state::registry_change>& all,
                                state::time_point now)
{
    std::set<std::string> present;
    for (const auto& it : all) {
        if (it.kind != state::registry_change_kind::removed) {
            present.insert(it.id);
        }
        apply(it, now);
    }
    std::vector<std::string> missing;
    for (const auto& it : entries_) {
        if (!present.contains(it.first)) {
            missing.push_back(it.first);
        }
    }
    for (const auto& id : missing) {
        remove(id, now);
    }
}

void upstream_registry::read_failed(state::time_point now)
{
    reads_failing_since_ = std::min(reads_failing_since_, now);
}

void upstream_registry::read_succeeded(state::time_point now)
{
    if (reads_failing_since_ != state::time_point::max() &&
        now - reads_failing_since_ >= entry_lapse_time) {
        store_recovered_ = now;
    }
    reads_failing_since_ = state::time_point::max();
}

void upstream_registry::advance(state::time_point now)
{
    for (auto it = entries_.begin(); it != entries_.end();) {
        if (it->second.kept_until <= now) {
            tombstones_[it->first] = {it->second.upstream.order(), now};
            it = entries_.erase(it);
            ++revision_;
        } else {
            ++it;
        }
    }
    std::erase_if(tombstones_, [&](const auto& it) {
        return now - it.second.at > tombstone_retention;
    });
}

bool upstream_registry::has_lapsed_entries() const
{
    return std::any_of(entries_.begin(), entries_.end(), [](const auto& it) {
        return it.second.kept_until != state::time_point::max();
    });
}

const state::registered_upstream*
upstream_registry::find(const std::string& id) const
{
    const auto it = entries_.find(id);
    return it == entries_.end() ? nullptr : &it->second.upstream;
}

std::vector<state::registered_upstream>
upstream_registry::upstreams_of(const std::string& service) const
{
    std::vector<state::registered_upstream> out;
    for (const auto& it : entries_) {
        if (it.second.upstream.service == service) {
            out.push_back(it.second.upstream);
        }
    }
    return out;
}

std::vector<state::registry_change> upstream_registry::entries() const
{
    std::vector<state::registry_change> out;
    out.reserve(entries_.size());
    for (const auto& [id, it] : entries_) {
        out.push_back({state::registry_change_kind::written, id, it.upstream});
    }
    return out;
}

} // namespace oriolegrade::coordination
