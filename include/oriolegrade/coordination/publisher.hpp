// Publishes one record to the log and determines whether it was accepted. An
// append whose reply is lost is resolved by reading the log, and retried with
// the same change id, which readers apply only once.

#ifndef ORIOLEGRADE_COORDINATION_PUBLISHER_HPP
#define ORIOLEGRADE_COORDINATION_PUBLISHER_HPP

#include <oriolegrade/coordination/concepts.hpp>
#include <oriolegrade/coordination/configuration_follower.hpp>
#include <oriolegrade/coordination/configuration_state.hpp>

#include <array>
#include <cassert>
#include <chrono>
#include <concepts>
#include <optional>
#include <string_view>

namespace oriolegrade::coordination {

enum class publish_outcome : std::uint8_t
{
    /// In the log, and in force on every host that has read it.
    accepted,
    /// In the log, but another change of the same revision came first.
    refused,
    /// Certainly not in the log.
    not_published,
    /// It is unknown whether the record is in the log, or what the decision on
    /// it is. Publishing the same change id again is safe.
    unresolved,
};

struct publish_result
{
    publish_outcome outcome = publish_outcome::unresolved;
    /// For accepted and refused: offset of the record.
    std::uint64_t offset = 0;
    /// For accepted and refused: revision in force and the change that won.
    acceptance decision;
};

/// Limits of one publication.
struct publish_limits
{
    unsigned max_appends = 3;
    /// Reads without new records before the result is unresolved.
    unsigned max_empty_reads = 3;
    /// Pause before an append or an empty read is repeated.
    state::duration pause = std::chrono::milliseconds(100);
};

/// @tparam Pause called with the duration to wait; blocks the calling fiber
template <log_client Log, std::invocable<state::duration> Pause>
class publisher
{
public:
    publisher(Log& log, record_decoder decode, Pause pause,
              publish_limits limits = {})
        : log_(log)
        , decode_(std::move(decode))
        , pause_(std::move(pause))
        , limits_(limits)
    {}

    /// Appends a record and reads the log until the decision on it is known.
    /// @param base configuration from before the first attempt to publish this
    ///   change id; the search starts at its offset. With a later one, a
    ///   record that was accepted and then replaced would appear refused.
    /// @param id change id of the record
    /// @param bytes the encoded record
    publish_result publish(const state::configuration_ptr& base,
                           const state::identifier& id, std::string_view bytes)
    {
        assert(id);
        configuration_state replay(decode_, base);
        bool may_be_in_log = false;
        for (unsigned n = 0; n < limits_.max_appends; ++n) {
            if (n > 0) {
                pause_(limits_.pause);
            }
            const auto r = log_.append(configuration_stream, bytes);
            const auto* appended_record = std::get_if<state::appended>(&r);
            may_be_in_log |= !std::holds_alternative<state::not_appended>(r);
            if (!may_be_in_log) {
                continue;
            }
            const auto until =
                appended_record ? appended_record->offset + 1 : 0;
            if (auto found = find(replay, id, until)) {
                return *found;
            }
            if (appended_record) {
                break;
            }
        }
        return {may_be_in_log ? publish_outcome::unresolved
                              : publish_outcome::not_published,
                0,
                {}};
    }

private:
    /// Reads the log until the decision on the record is known. Empty if the
    /// end of the log is reached without it, or the log does not respond.
    /// @param until offset that the log is known to reach
    std::optional<publish_result> find(configuration_state& replay,
                                       const state::identifier& id,
                                       std::uint64_t until)
    {
        configuration_change change;
        for (unsigned empty = 0; empty < limits_.max_empty_reads;) {
            auto answer = log_.read(configuration_stream, replay.next_offset(),
                                    max_read_records);
            if (std::holds_alternative<state::log_trimmed>(answer)) {
                return std::nullopt;
            }
            auto* read = std::get_if<state::log_records>(&answer);
            if (read && apply(replay, *read, change)) {
                if (auto found = result_of_change(change, id)) {
                    return found;
                }
                continue;
            }
            if (read && replay.next_offset() >= until) {
                return std::nullopt;
            }
            ++empty;
            pause_(limits_.pause);
        }
        return std::nullopt;
    }

    /// Returns true if the records advanced the replay.
    static bool apply(configuration_state& replay, state::log_records& read,
                      configuration_change& change)
    {
        return replay.apply({replay.next_offset(), read.next_offset,
                             std::move(read.records)},
                            change) == batch_result::advanced;
    }

    /// The first record of a change id counts; later ones are duplicates.
    static std::optional<publish_result>
    result_of_change(const configuration_change& change,
                     const state::identifier& id)
    {
        for (const auto& it : change.evaluated) {
            if (it.change_id == id) {
                const bool is_refused =
                    it.decision.verdict == acceptance_outcome::stale_base;
                return publish_result{is_refused ? publish_outcome::refused
                                                 : publish_outcome::accepted,
                                      it.offset, it.decision};
            }
        }
        return std::nullopt;
    }

    Log& log_;
    record_decoder decode_;
    Pause pause_;
    publish_limits limits_;
};

} // namespace oriolegrade::coordination

namespace oriolegrade::state {

template <>
struct enum_names<coordination::publish_outcome>
{
    static constexpr std::array<std::string_view, 4> value{
        "accepted", "refused", "not_published", "unresolved"};
};

} // namespace oriolegrade::state

#endif
