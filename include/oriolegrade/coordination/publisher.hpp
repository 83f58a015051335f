// Publishes one record to the log and finds out whether it is in force. An
// append whose answer is lost is resolved by reading, and repeated with the
// same change id, which readers count once.

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
    /// In the log, and in force wherever the log is read.
    accepted,
    /// In the log, but another change of the same revision was first.
    refused,
    /// Certainly not in the log.
    not_published,
    /// In the log or not, or its judgement is not known yet. Publishing the
    /// same change id again is safe.
    unresolved,
};

struct publish_result
{
    publish_outcome outcome = publish_outcome::unresolved;
    /// For accepted and refused: offset of the record.
    std::uint64_t offset = 0;
    /// For accepted and refused: revision in force and the winner.
    acceptance judgement;
};

/// Bounds of one publication.
struct publish_limits
{
    unsigned max_appends = 3;
    /// Reads that bring nothing new before the result stays unresolved.
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

    /// Appends a record and reads the log until it is judged.
    /// @param known a configuration from before the first attempt to publish
    ///   this change id; the search begins at its offset. With a later one, a
    ///   record that was accepted and then replaced would look refused.
    /// @param id change id of the record
    /// @param bytes the encoded record
    publish_result publish(const state::configuration_ptr& known,
                           const state::identifier& id, std::string_view bytes)
    {
        assert(id);
        configuration_state replay(decode_, known);
        bool may_be_in_log = false;
        for (unsigned n = 0; n < limits_.max_appends; ++n) {
            if (n > 0) {
                pause_(limits_.pause);
            }
            const auto r = log_.append(configuration_stream, bytes);
            const auto* done = std::get_if<state::appended>(&r);
            may_be_in_log |= !std::holds_alternative<state::not_appended>(r);
            if (!may_be_in_log) {
                continue;
            }
            const auto until = done ? done->offset + 1 : 0;
            if (auto found = find(replay, id, until)) {
                return *found;
            }
            if (done) {
                break;
            }
        }
        return {may_be_in_log ? publish_outcome::unresolved
                              : publish_outcome::not_published,
                0,
                {}};
    }

private:
    /// Reads on until the record is judged. Empty when the end of the log is
    /// reached without it, or the log does not answer.
    /// @param until the log reaches at least to this offset
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
                if (auto found = judgement_of(change, id)) {
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

    /// True when the records moved the replay on.
    static bool apply(configuration_state& replay, state::log_records& read,
                      configuration_change& change)
    {
        return replay.apply({replay.next_offset(), read.next_offset,
                             std::move(read.records)},
                            change) == batch_result::advanced;
    }

    /// The first record of a change id counts; later ones are repetitions.
    static std::optional<publish_result>
    judgement_of(const configuration_change& change,
                 const state::identifier& id)
    {
        for (const auto& it : change.judged) {
            if (it.change_id == id) {
                const bool lost =
                    it.judgement.verdict == acceptance_outcome::stale_base;
                return publish_result{lost ? publish_outcome::refused
                                           : publish_outcome::accepted,
                                      it.offset, it.judgement};
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
