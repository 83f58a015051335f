// Configuration updates from an agent to the entry process on its host.

#include <oriolegrade/coordination/feed.hpp>

#include <algorithm>
#include <cassert>

namespace oriolegrade::coordination {

namespace {

/// Sorts entries by key, as messages require, and keeps only the latest entry
/// of each key.
void sort_by_key(std::vector<state::entry_ptr>& entries)
{
    std::sort(entries.begin(), entries.end(),
              [](const state::entry_ptr& a, const state::entry_ptr& b) {
                  return a->key != b->key ? a->key < b->key
                                          : a->offset > b->offset;
              });
    const auto end =
        std::unique(entries.begin(), entries.end(),
                    [](const state::entry_ptr& a, const state::entry_ptr& b) {
                        return a->key == b->key;
                    });
    entries.erase(end, entries.end());
}

} // namespace

state::feed_update make_feed_update(const state::configuration& content,
                                    const state::feed_request& request,
                                    std::vector<state::skipped_record> skipped)
{
    state::feed_update update;
    update.kind = request.next_offset == 0 ? state::feed_kind::full
                                           : state::feed_kind::delta;
    update.next_offset = content.next_offset();
    update.base_offset = std::min(request.next_offset, update.next_offset);
    content.for_each([&](const state::entry_ptr& it) {
        if (it->offset >= update.base_offset) {
            update.entries.push_back(it);
        }
    });
    sort_by_key(update.entries);
    update.skipped = std::move(skipped);
    return update;
}

state::feed_update make_feed_delta(std::vector<state::entry_ptr> changed,
                                   std::uint64_t base_offset,
                                   const state::configuration& content,
                                   std::vector<state::skipped_record> skipped)
{
    sort_by_key(changed);
    return {state::feed_kind::delta, base_offset, content.next_offset(),
            std::move(changed), std::move(skipped)};
}

feed_result apply_feed_update(state::configuration_ptr& content,
                              const state::feed_update& update)
{
    assert(content);
    if (update.next_offset <= content->next_offset()) {
        return feed_result::nothing_new;
    }
    if (update.kind == state::feed_kind::delta &&
        update.base_offset > content->next_offset()) {
        return feed_result::gap;
    }
    auto fresh = std::make_shared<state::configuration>();
    if (update.kind == state::feed_kind::full) {
        *fresh = state::configuration::build(update.entries);
    } else {
        *fresh = *content;
        for (const auto& it : update.entries) {
            if (it->offset >= content->next_offset()) {
                fresh->put(it);
            }
        }
    }
    fresh->advance_to(update.next_offset);
    content = std::move(fresh);
    return feed_result::applied;
}

} // namespace oriolegrade::coordination
