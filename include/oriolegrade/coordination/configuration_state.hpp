// The configuration that a host has built so far: applies log records in
// order, restores snapshots, and never goes back to a lower offset.

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

/// Decodes the bytes of one log record. Passed in, since decisions do not
/// depend on an encoding.
using record_decoder =
    std::function<state::result<state::record, state::findings>(
        std::string_view bytes)>;

/// A record of the log and how it was judged.
struct evaluated_record
{
    std::uint64_t offset = 0;
    state::record_key key;
    state::identifier change_id;
    std::string operator_name;
    acceptance decision;
};

/// What one step changed. `changed` is empty when nothing new is in force.
struct configuration_change
{
    /// Configuration after the step; never null.
    state::configuration_ptr content;
    /// Entries that came into force, in log order or, after a restore, in no
    /// particular order.
    std::vector<state::entry_ptr> changed;
    std::vector<evaluated_record> evaluated;
    std::vector<state::skipped_record> skipped;
};

enum class batch_result : std::uint8_t
{
    /// The configuration moved on.
    advanced,
    /// The host has all of it already.
    nothing_new,
    /// Records are missing between the host's offset and the batch.
    gap,
};

/// Skipped records that are kept for the host's status.
inline constexpr std::size_t max_kept_skipped = 256;

/// Records of unknown schema versions that a snapshot carries. Beyond these
/// bounds the host stops offering snapshots, since they would lack records.
inline constexpr std::size_t max_kept_deferred = 1'024;
inline constexpr std::size_t max_kept_deferred_bytes = std::size_t{8} << 20U;

/// Not thread-safe. The configurations that it hands out are immutable.
class configuration_state
{
public:
    explicit configuration_state(record_decoder decode);
    /// Goes on from a configuration; not null.
    configuration_state(record_decoder decode, state::configuration_ptr start);

    const state::configuration_ptr& current() const
    {
        return current_;
    }
    std::uint64_t next_offset() const
    {
        return current_->next_offset();
    }

    /// Applies the records that follow on the current offset; ignores those
    /// below it.
    /// @param change overwritten with what the batch changed
    batch_result apply(const state::record_batch& batch,
                       configuration_change& change);

    /// Replaces the content by a snapshot of a higher offset. False, and
    /// nothing changed, for any other snapshot.
    bool restore(const state::configuration_snapshot& snapshot,
                 configuration_change& change);

    /// Content to write or to offer to peers. Empty when this binary left
    /// entries out, so that its content would be incomplete.
    std::optional<state::configuration_snapshot> snapshot() const;

    /// Records that are not in force, the latest max_kept_skipped.
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
    /// In order of offset.
    std::vector<state::log_record> deferred_;
    std::size_t deferred_bytes_ = 0;
    /// No entry or deferred record is missing.
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
