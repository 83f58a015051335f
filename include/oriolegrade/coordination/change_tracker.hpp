// Tracks recent configuration changes: whether each was accepted, and on how
// many live hosts it is in force.

#ifndef ORIOLEGRADE_COORDINATION_CHANGE_TRACKER_HPP
#define ORIOLEGRADE_COORDINATION_CHANGE_TRACKER_HPP

#include <oriolegrade/coordination/configuration_state.hpp>

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace oriolegrade::coordination {

/// Log position up to which a live host has applied records.
struct host_progress
{
    std::string host;
    std::uint64_t next_offset = 0;
};

struct change_status
{
    evaluated_record record;
    /// Live hosts that have applied the log past the record.
    std::size_t applied = 0;
    std::size_t live = 0;
    /// Live hosts that have not applied it, sorted by name.
    std::vector<std::string> lagging;
};

/// Stores the decisions on the most recent changes.
class change_tracker
{
public:
    /// About four days at 2,400 changes a day.
    static constexpr std::size_t max_changes = 10'000;

    /// Adds evaluated records. For a repeated change id the first decision is
    /// kept.
    void add(const std::vector<evaluated_record>& evaluated);

    /// Status of a change. Empty if it is unknown or older than max_changes
    /// others.
    /// @param hosts live hosts, this one included
    std::optional<change_status>
    status(const state::identifier& id,
           const std::vector<host_progress>& hosts) const;

    /// Stored changes of an entry name, in all schema versions, oldest first.
    std::vector<evaluated_record> history(state::record_kind kind,
                                          std::string_view name) const;

    std::size_t size() const
    {
        return order_.size();
    }

private:
    std::unordered_map<state::identifier, evaluated_record,
                       state::identifier_hash>
        changes_;
    /// Keys of changes_, oldest first.
    std::deque<state::identifier> order_;
};

} // namespace oriolegrade::coordination

#endif
