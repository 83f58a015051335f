// Applies the records of one partition of the claims stream in log order.

#ifndef ORIOLEGRADE_COORDINATION_CLAIM_TABLE_HPP
#define ORIOLEGRADE_COORDINATION_CLAIM_TABLE_HPP

#include <oriolegrade/state/once_type.hpp>
#include <oriolegrade/state/time_type.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace oriolegrade::coordination {

struct claim_table_limits
{
    /// Upper bound of a key's lifetime. At 1,000 claims per second across all
    /// hosts, one hour means 56,000 active claims in each partition, all of
    /// which every checkpoint writes again.
    state::duration max_lifetime = std::chrono::hours(1);
    /// Records buffered while the table waits for a checkpoint.
    std::size_t max_buffered_records = 65536;
};

/// Maps each key to the claim that holds it. The state is a pure function of
/// the records in log order: the first claim of a free key wins, and a release
/// that names the nonce of the holder frees the key. Clocks only determine when
/// a release is written, so two readers at the same offset have the same state
/// regardless of clock skew.
///
/// A reader that missed trimmed records cannot know which keys are held. It
/// buffers records until it reads a checkpoint whose offset is at or after the
/// end of the gap, restores the state at the checkpoint's offset from its
/// renewals, and replays the buffered records from that offset. Until then the
/// table is incomplete and reports no winners. If no checkpoint arrives within
/// the maximum key lifetime, all missed claims have expired, and the table
/// continues from an empty state.
///
/// Not thread-safe.
class claim_table
{
public:
    using nonce_observer = std::function<void(const state::identifier&)>;

    explicit claim_table(const claim_table_limits& limits = {});

    /// Applies one record. Offsets that were applied before are ignored.
    /// @param on_nonce called with the nonce of each claim in the record
    void apply(std::uint64_t offset, const state::claim_batch& batch,
               state::time_point now, const nonce_observer& on_nonce);

    /// Skips records that the log has trimmed.
    void skip_to(std::uint64_t first_offset, state::time_point now);

    /// Skips a record that no binary of this version can decode.
    void skip_undecodable(std::uint64_t offset);

    bool complete() const
    {
        return complete_;
    }

    /// Completes the table once all missed records have expired.
    void expire_gap(state::time_point now);

    /// Claim that holds the key. Empty when the key is free or the table is
    /// incomplete.
    std::optional<state::claim> winner(const state::digest256& key) const;

    std::uint64_t next_offset() const
    {
        return next_offset_;
    }

    std::size_t size() const
    {
        return held_.size();
    }

    /// Releases for claims that have expired by this host's clock.
    std::vector<state::claim_release> expired(state::time_point now) const;

    /// Renewals of all active claims, for a checkpoint at next_offset().
    std::vector<state::claim_renewal> renewals(state::time_point now) const;

    /// Offset of the latest checkpoint applied; 0 if there was none.
    std::uint64_t last_checkpoint() const
    {
        return last_checkpoint_;
    }

private:
    struct held_claim
    {
        state::claim claim;
        state::time_point expires;
    };

    struct buffered_record
    {
        std::uint64_t offset;
        state::claim_batch batch;
        state::time_point read_at;
    };

    void evaluate(const state::claim_batch& batch, state::time_point now);
    void insert_claim(const state::claim& claim, state::time_point now);
    void buffer_record(std::uint64_t offset, const state::claim_batch& batch,
                       state::time_point now);
    void replay_from(std::uint64_t checkpoint);

    claim_table_limits limits_;
    std::unordered_map<state::digest256, held_claim, state::digest256_hash>
        held_;
    std::vector<buffered_record> buffer_;
    std::uint64_t next_offset_ = 0;
    std::uint64_t last_checkpoint_ = 0;
    /// While the table is incomplete, records below this offset are missing.
    std::uint64_t gap_end_ = 0;
    state::time_point gap_detected_at_;
    bool complete_ = true;
};

} // namespace oriolegrade::coordination

#endif
