// Import and export of incarnations.

#include <oriolegrade/coordination/incarnation_set.hpp>

namespace oriolegrade::coordination {

incarnation_set::incarnation_set(const state::authority_state& own,
                                 state::time_point now,
                                 state::duration token_lifetime,
                                 const used_table_limits& limits)
    : token_lifetime_(token_lifetime)
    , limits_(limits)
    , own_(std::make_shared<held_incarnation>(own, now, token_lifetime, limits))
    , held_(std::make_shared<const held_map>(
          held_map{{own_->authority.incarnation(), own_}}))
{}

held_incarnation_ptr
incarnation_set::find(const state::identifier& incarnation) const
{
    const auto map = held_.read();
    const auto found = map->find(incarnation);
    return found == map->end() ? nullptr : found->second;
}

std::vector<state::identifier> incarnation_set::held_ids() const
{
    std::vector<state::identifier> ids{own_->authority.incarnation()};
    for (const auto& [id, held] : *held_.read()) {
        if (id != ids.front()) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::vector<state::handover_state>
incarnation_set::export_all(const state::identifier& successor,
                            state::time_point now)
{
    const std::lock_guard lock(import_mutex_);
    stopping_ = true;
    std::vector<state::handover_state> out;
    for (const auto& [id, held] : *held_.read()) {
        auto used = held->used.export_state(successor);
        if (used) {
            out.push_back({successor, held->authority.export_state(now),
                           std::move(*used)});
        }
    }
    return out;
}

import_result incarnation_set::import(const state::handover_state& from,
                                      state::time_point now)
{
    if (from.successor != own_->authority.incarnation()) {
        return import_result::not_for_us;
    }
    const std::lock_guard lock(import_mutex_);
    if (stopping_) {
        return import_result::stopping;
    }
    auto map = *held_.read();
    const auto [it, inserted] = map.try_emplace(from.authority.incarnation);
    if (!inserted) {
        return import_result::repeated;
    }
    it->second =
        std::make_shared<held_incarnation>(from, now, token_lifetime_, limits_);
    held_.publish(std::make_shared<const held_map>(std::move(map)));
    return import_result::imported;
}

} // namespace oriolegrade::coordination
