// Evaluation of one partition of the claims stream in log order.

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
    /// Longest key lifetime that any claim may state. At 1000 claims a second
    /// in the fleet, one hour means 56,000 claims in force in a partition,
    /// all of which each checkpoint repeats.
    state::duration max_lifetime = std::chrono::hours(1);
    /// Records kept while the table waits for a checkpoint.
    std::size_t max_buffered_records = 65536;
};

/// Which claim holds each key. A pure function of the records in log order:
/// the first claim of a free key wins, a release that names the holding nonce
/// frees the key, and clocks only decide when to write a release. Two readers
/// at one offset therefore agree, whatever their clocks say.
///
/// A reader that missed trimmed records cannot know which keys are held. It
/// keeps what it reads until a checkpoint arrives whose offset it has not
/// missed, takes the checkpoint's renewals as the state at that offset, and
/// then evaluates the kept records from there. Until then it is incomplete
/// and decides nothing. Without any checkpoint for the longest key lifetime,
/// everything missed has expired, and it goes on from an empty state.
///
/// Not thread-safe.
class claim_table
{
public:
    using nonce_observer = std::function<void(const state::identifier&)>;

    explicit claim_table(const claim_table_limits& limits = {});

    /// Evaluates one record. Offsets that are not new are ignored.
    /// @param seen receives the nonce of each claim in the record
    void apply(std::uint64_t offset, const state::claim_batch& batch,
               state::time_point now, const nonce_observer& on_nonce);

    /// Moves on past records that cannot be read any more.
    void skip_to(std::uint64_t first_offset, state::time_point now);

    /// Moves past a record that no binary of this version can decode.
    void skip_undecodable(std::uint64_t offset);

    bool complete() const
    {
        return complete_;
    }

    /// Ends an incomplete state whose missed records have all expired.
    void expire_gap(state::time_point now);

    /// Claim that holds the key, or none. Meaningful only when complete.
    std::optional<state::claim> winner(const state::digest256& key) const;

    std::uint64_t next_offset() const
    {
        return next_offset_;
    }

    std::size_t size() const
    {
        return held_.size();
    }

    /// Releases of claims whose lifetime has passed on this host's clock.
    std::vector<state::claim_release> expired(state::time_point now) const;

    /// Renewals of all claims in force, for a checkpoint at next_offset().
    std::vector<state::claim_renewal> renewals(state::time_point now) const;

    /// Offset of the latest checkpoint evaluated; 0 without one.
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
    /// Records below are missed while the table is incomplete.
    std::uint64_t gap_end_ = 0;
    state::time_point gap_detected_at_;
    bool complete_ = true;
};

} // namespace oriolegrade::coordination

#endif
