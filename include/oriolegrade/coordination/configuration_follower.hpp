// Keeps a host's configuration up to date with the log: reads from the next
// offset, and restores a snapshot if the log was trimmed past it.

#ifndef ORIOLEGRADE_COORDINATION_CONFIGURATION_FOLLOWER_HPP
#define ORIOLEGRADE_COORDINATION_CONFIGURATION_FOLLOWER_HPP

#include <oriolegrade/coordination/concepts.hpp>
#include <oriolegrade/coordination/configuration_state.hpp>

#include <concepts>
#include <optional>
#include <string_view>
#include <variant>

namespace oriolegrade::coordination {

inline constexpr std::string_view configuration_stream = "configuration";
inline constexpr std::string_view snapshot_stream = "snapshots";

/// Maximum records per read of the log.
inline constexpr std::size_t max_read_records = 256;

/// Provides the newest available snapshot, from the log or from peers.
template <class Source>
concept snapshot_source = requires(Source& s)
{
    {
        s.newest()
        } -> std::same_as<std::optional<state::configuration_snapshot>>;
};

enum class follow_result : std::uint8_t
{
    /// Records were read; there may be more.
    advanced,
    /// The log has no records past the host's offset.
    at_end,
    /// A snapshot replaced the configuration; there may be records after it.
    restored,
    /// The log was trimmed past the host's offset, and no newer snapshot was
    /// found.
    needs_snapshot,
    /// The log did not respond.
    unavailable,
};

/// Not thread-safe. Calls block the calling fiber in the log client.
template <log_client Log, snapshot_source Snapshots>
class configuration_follower
{
public:
    configuration_follower(Log& log, Snapshots& snapshots,
                           record_decoder decode)
        : log_(log)
        , snapshots_(snapshots)
        , state_(std::move(decode))
    {}

    const configuration_state& state() const
    {
        return state_;
    }

    /// Performs one read of the log.
    /// @param change overwritten with the changes that the read made
    follow_result read(configuration_change& change)
    {
        change = {state_.current(), {}, {}, {}};
        auto answer = log_.read(configuration_stream, state_.next_offset(),
                                max_read_records);
        if (std::holds_alternative<state::log_unavailable>(answer)) {
            return follow_result::unavailable;
        }
        if (std::holds_alternative<state::log_trimmed>(answer)) {
            return restore_newest(change);
        }
        auto& read = std::get<state::log_records>(answer);
        const state::record_batch batch{state_.next_offset(), read.next_offset,
                                        std::move(read.records)};
        return state_.apply(batch, change) == batch_result::advanced
                   ? follow_result::advanced
                   : follow_result::at_end;
    }

    /// Applies records that another host read and forwarded.
    batch_result receive(const state::record_batch& batch,
                         configuration_change& change)
    {
        return state_.apply(batch, change);
    }

    /// Restores a snapshot if its offset is higher than the current one.
    bool restore(const state::configuration_snapshot& snapshot,
                 configuration_change& change)
    {
        return state_.restore(snapshot, change);
    }

    /// Restores the newest snapshot of the source, at startup or after the log
    /// was trimmed.
    follow_result restore_newest(configuration_change& change)
    {
        const auto snapshot = snapshots_.newest();
        return snapshot && state_.restore(*snapshot, change)
                   ? follow_result::restored
                   : follow_result::needs_snapshot;
    }

private:
    Log& log_;
    Snapshots& snapshots_;
    configuration_state state_;
};

} // namespace oriolegrade::coordination

namespace oriolegrade::state {

template <>
struct enum_names<coordination::follow_result>
{
    static constexpr std::array<std::string_view, 5> value{
        "advanced", "at_end", "restored", "needs_snapshot", "unavailable"};
};

} // namespace oriolegrade::state

#endif
