// Finds the newest snapshot in the log and tracks its age.

#ifndef ORIOLEGRADE_COORDINATION_LOG_SNAPSHOTS_HPP
#define ORIOLEGRADE_COORDINATION_LOG_SNAPSHOTS_HPP

#include <oriolegrade/coordination/concepts.hpp>
#include <oriolegrade/coordination/configuration_follower.hpp>

#include <cassert>
#include <deque>
#include <functional>
#include <optional>
#include <string_view>

namespace oriolegrade::coordination {

using snapshot_decoder =
    std::function<state::result<state::configuration_snapshot, state::findings>(
        std::string_view bytes)>;

/// A snapshot_source that reads the snapshot stream. Stores only offsets, not
/// the snapshots.
template <log_client Log>
class log_snapshots
{
public:
    log_snapshots(Log& log, snapshot_decoder decode)
        : log_(log)
        , decode_(std::move(decode))
    {
        assert(decode_);
    }

    /// Reads snapshots appended since the last call. Returns false if the log
    /// is unavailable.
    bool refresh(state::time_point now)
    {
        while (true) {
            auto answer = log_.read(snapshot_stream, next_offset_, 1);
            if (const auto* it = std::get_if<state::log_trimmed>(&answer)) {
                if (it->first_offset <= next_offset_) {
                    return false;
                }
                next_offset_ = it->first_offset;
                continue;
            }
            const auto* read = std::get_if<state::log_records>(&answer);
            if (!read) {
                return false;
            }
            if (read->next_offset <= next_offset_) {
                return true;
            }
            next_offset_ = read->next_offset;
            if (!read->records.empty()) {
                add_offset(read->records.back().offset, now);
            }
        }
    }

    /// Newest snapshot that this binary can decode, among the last max_offsets.
    std::optional<state::configuration_snapshot> newest()
    {
        for (auto it = offsets_.rbegin(); it != offsets_.rend(); ++it) {
            auto answer = log_.read(snapshot_stream, *it, 1);
            const auto* read = std::get_if<state::log_records>(&answer);
            if (!read || read->records.empty()) {
                continue;
            }
            auto snapshot = decode_(read->records.front().bytes);
            if (snapshot) {
                return std::move(snapshot).value();
            }
        }
        return std::nullopt;
    }

    /// Time since the newest snapshot was first seen; empty if there is none.
    std::optional<state::duration> age(state::time_point now) const
    {
        if (offsets_.empty()) {
            return std::nullopt;
        }
        return now - newest_seen_at_;
    }

private:
    /// Offsets that newest() tries.
    static constexpr std::size_t max_offsets = 4;

    void add_offset(std::uint64_t offset, state::time_point now)
    {
        offsets_.push_back(offset);
        if (offsets_.size() > max_offsets) {
            offsets_.pop_front();
        }
        newest_seen_at_ = now;
    }

    Log& log_;
    snapshot_decoder decode_;
    std::uint64_t next_offset_ = 0;
    /// Offsets of the latest snapshots, ascending.
    std::deque<std::uint64_t> offsets_;
    /// Time at which the newest of them was first seen.
    state::time_point newest_seen_at_;
};

} // namespace oriolegrade::coordination

#endif
