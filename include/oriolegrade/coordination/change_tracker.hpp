// Status of changes for operators: accepted or not, and on how many live
// hosts in force.

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

/// How far a live host has applied the log.
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
    /// Live hosts that have not, sorted by name.
    std::vector<std::string> lagging;
};

/// Remembers the judgement of the latest changes.
class change_tracker
{
public:
    /// About four days at 2,400 changes a day.
    static constexpr std::size_t max_changes = 10'000;

    /// Records judgements. The first one of a change id stands.
    void add(const std::vector<evaluated_record>& evaluated);

    /// Status of a change. Empty for one that is unknown or older than
    /// max_changes others.
    /// @param hosts live hosts, this one included
    std::optional<change_status>
    status(const state::identifier& id,
           const std::vector<host_progress>& hosts) const;

    /// Remembered changes of a name, in all schema versions, oldest first.
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
