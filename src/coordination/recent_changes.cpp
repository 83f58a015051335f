// Differences between the current configuration and an earlier offset.

#include <oriolegrade/coordination/recent_changes.hpp>

#include <cassert>

namespace oriolegrade::coordination {

namespace {

std::vector<state::entry_ptr> all_entries(const state::configuration& conf)
{
    std::vector<state::entry_ptr> entries;
    entries.reserve(conf.size());
    conf.for_each([&](const state::entry_ptr& it) { entries.push_back(it); });
    return entries;
}

} // namespace

void recent_changes::advance(state::configuration_ptr conf,
                             const std::vector<state::entry_ptr>& changed,
                             std::vector<state::skipped_record> skipped)
{
    assert(conf->next_offset() >= current_->next_offset());
    current_ = std::move(conf);
    changes_.insert(changes_.end(), changed.begin(), changed.end());
    while (changes_.size() > max_entries_) {
        first_kept_ = changes_.front()->offset + 1;
        changes_.pop_front();
    }
    for (auto& it : skipped) {
        skipped_.push_back(std::move(it));
    }
    while (skipped_.size() > max_entries_) {
        skipped_.pop_front();
    }
}

void recent_changes::replace(state::configuration_ptr conf)
{
    assert(conf->next_offset() >= current_->next_offset());
    current_ = std::move(conf);
    changes_.clear();
    skipped_.clear();
    first_kept_ = current_->next_offset();
}

state::feed_update recent_changes::update_since(std::uint64_t next_offset) const
{
    state::feed_update update;
    update.next_offset = current_->next_offset();
    for (const auto& it : skipped_) {
        if (it.offset >= next_offset) {
            update.skipped.push_back(it);
        }
    }
    if (next_offset == 0 || next_offset < first_kept_) {
        update.kind = state::feed_kind::full;
        update.entries = all_entries(*current_);
        return update;
    }
    update.kind = state::feed_kind::delta;
    update.base_offset = next_offset;
    for (const auto& it : changes_) {
        if (it->offset >= next_offset) {
            update.entries.push_back(it);
        }
    }
    return update;
}

} // namespace oriolegrade::coordination
