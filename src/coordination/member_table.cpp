// Merge rules for updates about members.

#include <oriolegrade/coordination/member_table.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace oriolegrade::coordination {

using state::member_state;

namespace {

bool is_active(const member& it)
{
    return it.has_gossip && it.info.state != member_state::dead;
}

/// True if `update` replaces `known`: it has a higher incarnation, or a worse
/// state of the same incarnation.
bool is_newer(const state::member_info& update, const state::member_info& known)
{
    if (update.incarnation != known.incarnation) {
        return update.incarnation > known.incarnation;
    }
    return update.state > known.state;
}

} // namespace

std::uint32_t member_hash(const state::member_info& info)
{
    const std::uint64_t seed = info.incarnation * 8 + index_of(info.state) * 2 +
                               (info.leaving ? 1 : 0);
    auto hash = XXH3_64bits_withSeed(info.name.data(), info.name.size(), seed);
    for (const auto& it : info.incarnations) {
        hash = XXH3_64bits_withSeed(&it, sizeof it, hash);
    }
    return static_cast<std::uint32_t>(hash);
}

member* member_table::find(std::string_view name)
{
    const auto it = members_.find(name);
    return it == members_.end() ? nullptr : &it->second;
}

member* member_table::find_or_add(const std::string& name)
{
    if (auto* known = find(name)) {
        return known;
    }
    if (members_.size() >= max_members) {
        return nullptr;
    }
    auto& fresh = members_[name];
    fresh.info.name = name;
    return &fresh;
}

void member_table::add_to_index(member& it)
{
    active_count_ += is_active(it) ? 1 : 0;
    const auto [slot, inserted] =
        by_hash_.try_emplace(member_hash(it.info), &it);
    if (!inserted && slot->second != &it) {
        slot->second = nullptr;
    }
}

void member_table::remove_from_index(const member& it)
{
    active_count_ -= is_active(it) ? 1 : 0;
    const auto slot = by_hash_.find(member_hash(it.info));
    if (slot != by_hash_.end() && slot->second == &it) {
        by_hash_.erase(slot);
    }
}

bool member_table::merge(const state::member_info& update,
                         state::time_point now)
{
    auto* it = find_or_add(update.name);
    if (!it) {
        return false;
    }
    if (!it->has_gossip || is_newer(update, it->info)) {
        replace(*it, update, now);
        return true;
    }
    if (update.incarnation < it->info.incarnation) {
        return false;
    }
    if (update.next_offset > it->info.next_offset) {
        it->info.next_offset = update.next_offset;
        it->progress_since = now;
    }
    return false;
}

void member_table::replace(member& it, const state::member_info& update,
                           state::time_point now)
{
    const bool same_incarnation =
        it.has_gossip && update.incarnation == it.info.incarnation;
    const auto known_offset = same_incarnation ? it.info.next_offset : 0;
    remove_from_index(it);
    it.info = update;
    it.info.next_offset = std::max(known_offset, update.next_offset);
    it.has_gossip = true;
    it.state_since = now;
    it.progress_since = now;
    add_to_index(it);
}

const member* member_table::find_by_hash(std::uint32_t hash) const
{
    const auto slot = by_hash_.find(hash);
    return slot == by_hash_.end() ? nullptr : slot->second;
}

bool member_table::merge(const state::member_progress& progress,
                         state::time_point now)
{
    const auto slot = by_hash_.find(progress.claim);
    if (slot == by_hash_.end()) {
        return false;
    }
    auto* it = slot->second;
    if (it && progress.next_offset > it->info.next_offset) {
        it->info.next_offset = progress.next_offset;
        it->progress_since = now;
    }
    return true;
}

void member_table::merge(const state::host_list& list, std::string_view self,
                         state::time_point now)
{
    for (auto& [name, it] : members_) {
        it.listed.reset();
    }
    for (const auto& host : list.hosts) {
        if (host.name == self) {
            continue;
        }
        auto* it = find_or_add(host.name);
        if (!it) {
            continue;
        }
        it->listed = host.state;
        if (!it->has_gossip) {
            it->info.gossip = host.address;
            it->info.data_centre = host.data_centre;
            it->state_since = now;
        }
    }
    std::erase_if(members_, [](const auto& it) {
        return !it.second.has_gossip && !it.second.listed;
    });
}

void member_table::set_state(member& it, state::member_state state,
                             state::time_point now)
{
    remove_from_index(it);
    it.info.state = state;
    it.state_since = now;
    add_to_index(it);
}

void member_table::remove_dead(state::time_point limit)
{
    for (auto it = members_.begin(); it != members_.end();) {
        const auto& m = it->second;
        const bool dead = m.has_gossip && m.info.state == member_state::dead;
        if (dead && !m.listed && m.state_since < limit) {
            remove_from_index(m);
            it = members_.erase(it);
        } else {
            ++it;
        }
    }
}

} // namespace oriolegrade::coordination
