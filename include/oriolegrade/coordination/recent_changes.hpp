// Entries changed lately, so that a receiver that is a little behind gets the
// difference instead of the whole configuration.

#ifndef ORIOLEGRADE_COORDINATION_RECENT_CHANGES_HPP
#define ORIOLEGRADE_COORDINATION_RECENT_CHANGES_HPP

#include <oriolegrade/state/config_message_type.hpp>
#include <oriolegrade/state/configuration.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace oriolegrade::coordination {

class recent_changes
{
public:
    /// @param max_entries changes that are kept
    explicit recent_changes(std::size_t max_entries)
        : max_entries_(max_entries)
    {}

    /// Takes a new configuration and the entries that differ from the one
    /// before.
    void advance(state::configuration_ptr conf,
                 const std::vector<state::entry_ptr>& changed,
                 std::vector<state::skipped_record> skipped);

    /// Takes a configuration that does not follow from the one before, for
    /// example a snapshot.
    void replace(state::configuration_ptr conf);

    const state::configuration_ptr& current() const
    {
        return current_;
    }

    /// Update for a receiver that has everything before `next_offset`: the
    /// changes since, or all entries when the changes are no longer kept.
    state::feed_update update_since(std::uint64_t next_offset) const;

private:
    std::size_t max_entries_;
    state::configuration_ptr current_ =
        std::make_shared<const state::configuration>();
    /// In order of offset; every change since first_kept_ is here.
    std::deque<state::entry_ptr> changes_;
    std::uint64_t first_kept_ = 0;
    /// Records that the last advances skipped; bounded like the changes.
    std::deque<state::skipped_record> skipped_;
};

} // namespace oriolegrade::coordination

#endif
