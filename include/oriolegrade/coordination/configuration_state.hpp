// Builds a host's configuration: applies log records in order and restores
// snapshots. The offset never decreases.

#ifndef ORIOLEGRADE_COORDINATION_CONFIGURATION_STATE_HPP
#define ORIOLEGRADE_COORDINATION_CONFIGURATION_STATE_HPP

#include <oriolegrade/coordination/acceptance.hpp>
#include <oriolegrade/state/config_message_type.hpp>
#include <oriolegrade/state/configuration.hpp>
#include <oriolegrade/state/finding.hpp>
#include <oriolegrade/state/result.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oriolegrade::coordination {

/// Decodes the bytes of one log record. Passed in, since this layer does not
/// depend on an encoding.
using record_decoder =
    std::function<state::result<state::record, state::findings>(
        std::string_view bytes)>;

/// A log record and the decision on it.
struct evaluated_record
{
    std::uint64_t offset = 0;
    state::record_key key;
    state::identifier change_id;
    std::string operator_name;
    acceptance decision;
};

/// Result of applying a batch or restoring a snapshot. `changed` is empty if
/// nothing new came into force.
struct configuration_change
{
    /// Configuration after the change; never null.
    state::configuration_ptr content;
    /// Entries that came into force, in log order or, after a restore, in no
    /// particular order.
    std::vector<state::entry_ptr> changed;
    std::vector<evaluated_record> evaluated;
    std::vector<state::skipped_record> skipped;
};

enum class batch_result : std::uint8_t
{
    /// The batch advanced the configuration.
    advanced,
    /// The host has already applied the whole batch.
    nothing_new,
    /// Records are missing between the host's offset and the batch.
    gap,
};

/// Maximum skipped records kept for status reports.
inline constexpr std::size_t max_kept_skipped = 256;

/// Limits on records of unknown schema versions that a snapshot carries.
/// Beyond them the host stops offering snapshots, since records would be
/// missing.
inline constexpr std::size_t max_kept_deferred = 1'024;
inline constexpr std::size_t max_kept_deferred_bytes = std::size_t{8} << 20U;

/// Not thread-safe. The configurations that it returns are immutable.
class configuration_state
{
public:
    explicit configuration_state(record_decoder decode);
    /// Continues from a configuration, which must not be null.
    configuration_state(record_decoder decode, state::configuration_ptr start);

    const state::configuration_ptr& current() const
    {
        return current_;
    }
    std::uint64_t next_offset() const
    {
        return current_->next_offset();
    }

    /// Applies the records from the current offset on; ignores earlier ones.
    /// @param change overwritten with the changes that the batch made
    batch_result apply(const state::record_batch& batch,
                       configuration_change& change);

    /// Replaces the configuration with a snapshot of a higher offset. For any
    /// other snapshot, returns false and changes nothing.
    bool restore(const state::configuration_snapshot& snapshot,
                 configuration_change& change);

    /// Snapshot to store or to offer to peers. Empty if this binary dropped
    /// entries or records, since the snapshot would be incomplete.
    std::optional<state::configuration_snapshot> snapshot() const;

    /// The latest max_kept_skipped records that could not be applied.
    const std::vector<state::skipped_record>& skipped() const
    {
        return skipped_;
    }

private:
    void apply_record(const state::log_record& it, state::configuration& conf,
                      configuration_change& change);
    void skip(const state::log_record& it, const state::findings& errors,
              configuration_change& change);
    void add_skipped(state::skipped_record it, configuration_change& change);
    void defer(const state::log_record& it);

    record_decoder decode_;
    /// Never null; its offset never decreases.
    state::configuration_ptr current_;
    std::vector<state::skipped_record> skipped_;
    /// Sorted by offset.
    std::vector<state::log_record> deferred_;
    std::size_t deferred_bytes_ = 0;
    /// False while an entry or a deferred record is missing.
    bool complete_ = true;
};

} // namespace oriolegrade::coordination

namespace oriolegrade::state {

template <>
struct enum_names<coordination::batch_result>
{
    static constexpr std::array<std::string_view, 3> value{
        "advanced", "nothing_new", "gap"};
};

} // namespace oriolegrade::state

#endif
