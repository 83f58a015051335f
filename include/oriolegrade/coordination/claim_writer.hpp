// Appends claims to one partition and resolves them in log order.

#ifndef ORIOLEGRADE_COORDINATION_CLAIM_WRITER_HPP
#define ORIOLEGRADE_COORDINATION_CLAIM_WRITER_HPP

#include <oriolegrade/coordination/claim_table.hpp>
#include <oriolegrade/coordination/concepts.hpp>
#include <oriolegrade/state/enum_names.hpp>
#include <oriolegrade/state/once_type.hpp>
#include <oriolegrade/state/partition.hpp>
#include <oriolegrade/state/time_type.hpp>

#include <algorithm>
#include <array>
#include <concepts>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace oriolegrade::coordination {

/// Encodes and decodes a batch as a log record. Implemented in the protocol
/// layer.
template <class Codec>
concept claim_codec = requires(const Codec& c, const state::claim_batch& batch,
                               std::string_view bytes)
{
    {
        c.encode(batch)
        } -> std::same_as<std::string>;
    {
        c.decode(bytes)
        } -> std::same_as<std::optional<state::claim_batch>>;
};

enum class claim_status : std::uint8_t
{
    won,
    lost,
    /// The claim is not in the log and cannot enter it.
    not_claimed,
    /// The claim may be in the log or may still be appended.
    unresolved,
};

struct claim_answer
{
    claim_status status = claim_status::unresolved;
    /// Claim that holds the key; set for `won` and `lost`.
    state::claim winner;
};

/// Called exactly once and without locks held. Must only wake a fiber.
using claim_callback = std::function<void(const claim_answer&)>;

struct claim_writer_limits
{
    std::size_t max_batch = 256;
    std::size_t max_queued_claims = 4096;
    /// Longest time that a claim waits for others before an append.
    state::duration max_batch_delay = std::chrono::milliseconds(20);
    /// Minimum interval between two appends of claims. At this rate, 64
    /// partitions make 200 appends per second; the log accepts several hundred.
    state::duration append_gap = std::chrono::milliseconds(320);
    /// Interval between attempts to resolve pending claims.
    state::duration retry_interval = std::chrono::milliseconds(50);
    /// A claim still pending after this time is answered `unresolved`, or
    /// `not_claimed` when no append may have succeeded.
    state::duration resolve_timeout = std::chrono::seconds(2);
    /// Interval between checkpoints: a third of the log's retention.
    state::duration checkpoint_interval = std::chrono::hours(1);
    std::size_t max_records_per_read = 256;
};

struct claim_writer_counters
{
    std::uint64_t appends = 0;
    std::uint64_t claims_appended = 0;
    std::uint64_t undecodable_records = 0;
};

/// submit() and winner() may be called from any thread. A single fiber calls
/// pump(). No lock is held while the log client blocks.
///
/// Safety of unresolved claims: an append whose acknowledgement was lost may
/// still enter the log later and win. The writer therefore answers `won` only
/// after applying the claim in log order, and `not_claimed` only if every
/// append of the claim returned not_appended. Otherwise it answers
/// `unresolved`, and the claimant cancels the reservation of the nonce in its
/// used table before it answers the caller (resolve_claim()). This guarantees:
/// (1) Only the claimant's incarnation may run the nonce, and the cancellation
/// is final, so the claim never runs, whether or not it wins.
/// (2) Another incarnation runs the key only with a different nonce that wins,
/// and a key has one winner at a time.
/// (3) The caller receives `unknown`, since an earlier winner may have run. A
/// repeat looks up the winner: if it is the cancelled nonce, its incarnation
/// proves not-run; if that incarnation is gone, the answer is `unknown`.
template <log_client Log, claim_codec Codec>
class claim_writer
{
public:
    claim_writer(Log& log, Codec codec, std::uint32_t partition,
                 const claim_writer_limits& limits = {},
                 const claim_table_limits& table_limits = {})
        : log_(log)
        , codec_(std::move(codec))
        , stream_(state::claim_stream(partition))
        , limits_(limits)
        , table_(table_limits)
    {}

    /// Queues a claim. If the queue is full, calls `done` immediately with
    /// `not_claimed`.
    void submit(const state::claim& claim, state::time_point now,
                claim_callback done)
    {
        {
            const std::lock_guard lock(mutex_);
            if (queue_.size() + pending_.size() < limits_.max_queued_claims) {
                queue_.push_back({claim, now, std::move(done)});
                return;
            }
        }
        done({claim_status::not_claimed, {}});
    }

    /// Claim that holds the key, up to the offset this host has read.
    std::optional<state::claim> winner(const state::digest256& key) const
    {
        const std::lock_guard lock(mutex_);
        return table_.winner(key);
    }

    bool complete() const
    {
        const std::lock_guard lock(mutex_);
        return table_.complete();
    }

    claim_writer_counters counters() const
    {
        const std::lock_guard lock(mutex_);
        return counters_;
    }

    /// Time of the next necessary pump(); empty if there is nothing to do until
    /// the next submit().
    std::optional<state::time_point> next_due() const
    {
        const std::lock_guard lock(mutex_);
        std::optional<state::time_point> at;
        if (!pending_.empty()) {
            at = last_pump_ + limits_.retry_interval;
        }
        if (!queue_.empty()) {
            const auto queued = queue_due();
            at = at ? std::min(*at, queued) : queued;
        }
        return at;
    }

    /// Reads new records, answers resolved claims and appends due ones.
    void pump(state::time_point now)
    {
        {
            const std::lock_guard lock(mutex_);
            last_pump_ = now;
        }
        read_new_records(now);
        resolve_pending(now);
        if (append_due(now)) {
            read_new_records(now);
            resolve_pending(now);
        }
    }

    /// Appends releases of expired claims and, if due, a checkpoint. Only the
    /// partition's elected writer needs to call this; concurrent writers are
    /// harmless.
    void maintain(state::time_point now)
    {
        read_new_records(now);
        write_releases(now);
        if (now >= next_checkpoint_) {
            next_checkpoint_ =
                now + (write_checkpoint(now) ? limits_.checkpoint_interval
                                             : limits_.resolve_timeout);
        }
    }

private:
    struct pending_claim
    {
        state::claim claim;
        state::time_point submitted;
        claim_callback done;
        /// At least one append was not refused.
        bool may_be_in_log = false;
        /// No append has been acknowledged yet.
        bool needs_append = true;
        bool seen_in_log = false;
    };

    using completions = std::vector<std::pair<claim_callback, claim_answer>>;

    static void invoke_callbacks(const completions& all)
    {
        for (const auto& [done, answer] : all) {
            done(answer);
        }
    }

    void read_new_records(state::time_point now)
    {
        for (;;) {
            const auto from = next_offset();
            const auto got =
                log_.read(stream_, from, limits_.max_records_per_read);
            const std::lock_guard lock(mutex_);
            if (const auto* trimmed = std::get_if<state::log_trimmed>(&got)) {
                if (trimmed->first_offset <= from) {
                    return;
                }
                table_.skip_to(trimmed->first_offset, now);
                continue;
            }
            const auto* records = std::get_if<state::log_records>(&got);
            if (records == nullptr || records->records.empty()) {
                break;
            }
            for (const auto& it : records->records) {
                apply(it, now);
            }
            if (table_.next_offset() == from) {
                break;
            }
        }
        const std::lock_guard lock(mutex_);
        table_.expire_gap(now);
    }

    void apply(const state::log_record& it, state::time_point now)
    {
        const auto batch = codec_.decode(it.bytes);
        if (!batch) {
            ++counters_.undecodable_records;
            table_.skip_undecodable(it.offset);
            return;
        }
        table_.apply(it.offset, *batch, now, [&](const auto& nonce) {
            const auto found = pending_.find(nonce);
            if (found != pending_.end()) {
                found->second.seen_in_log = true;
            }
        });
    }

    std::uint64_t next_offset() const
    {
        const std::lock_guard lock(mutex_);
        return table_.next_offset();
    }

    /// Answers pending claims that the log has decided or that timed out.
    void resolve_pending(state::time_point now)
    {
        completions out;
        {
            const std::lock_guard lock(mutex_);
            for (auto it = pending_.begin(); it != pending_.end();) {
                const auto answer = decide(it->second, now);
                if (answer) {
                    out.emplace_back(std::move(it->second.done), *answer);
                    it = pending_.erase(it);
                } else {
                    ++it;
                }
            }
        }
        invoke_callbacks(out);
    }

    std::optional<claim_answer> decide(const pending_claim& it,
                                       state::time_point now) const
    {
        if (it.seen_in_log && table_.complete()) {
            const auto holder = table_.winner(it.claim.key);
            if (!holder) {
                // The winner was released by a later record of the same read.
                return claim_answer{claim_status::unresolved, {}};
            }
            return claim_answer{holder->nonce == it.claim.nonce
                                    ? claim_status::won
                                    : claim_status::lost,
                                *holder};
        }
        if (now - it.submitted < limits_.resolve_timeout) {
            return std::nullopt;
        }
        return claim_answer{it.may_be_in_log ? claim_status::unresolved
                                             : claim_status::not_claimed,
                            {}};
    }

    /// Earliest time to append the queued claims.
    state::time_point queue_due() const
    {
        const auto ready =
            queue_.size() >= limits_.max_batch
                ? queue_.front().submitted
                : queue_.front().submitted + limits_.max_batch_delay;
        return std::max(ready, last_append_ + limits_.append_gap);
    }

    /// Moves due claims from the queue to pending_. Claims of keys that are
    /// already held are answered without an append.
    completions take_due(state::time_point now)
    {
        completions out;
        const bool is_due = !queue_.empty() && queue_due() <= now;
        for (std::size_t i = 0; is_due && i < limits_.max_batch; ++i) {
            if (queue_.empty()) {
                break;
            }
            auto it = std::move(queue_.front());
            queue_.pop_front();
            if (const auto holder = table_.winner(it.claim.key)) {
                const auto status = holder->nonce == it.claim.nonce
                                        ? claim_status::won
                                        : claim_status::lost;
                out.emplace_back(std::move(it.done),
                                 claim_answer{status, *holder});
            } else if (pending_.contains(it.claim.nonce)) {
                // Only the first submission tracks the result of the append,
                // so a duplicate is answered `unresolved`.
                out.emplace_back(std::move(it.done), claim_answer{});
            } else {
                const auto nonce = it.claim.nonce;
                pending_.emplace(nonce, std::move(it));
            }
        }
        return out;
    }

    /// @return true if an append was attempted
    bool append_due(state::time_point now)
    {
        completions out;
        state::claim_batch batch;
        {
            const std::lock_guard lock(mutex_);
            out = take_due(now);
            const bool paced = now - last_append_ < limits_.append_gap;
            for (const auto& [nonce, it] : pending_) {
                if (!paced && it.needs_append && !it.seen_in_log &&
                    batch.claims.size() < limits_.max_batch) {
                    batch.claims.push_back(it.claim);
                }
            }
        }
        invoke_callbacks(out);
        if (batch.claims.empty()) {
            return false;
        }
        const auto result = append(batch);
        out.clear();
        {
            const std::lock_guard lock(mutex_);
            last_append_ = now;
            counters_.claims_appended += batch.claims.size();
            for (const auto& it : batch.claims) {
                record_append_result(it.nonce, result, out);
            }
        }
        invoke_callbacks(out);
        return true;
    }

    void record_append_result(const state::identifier& nonce,
                              const state::append_result& result,
                              completions& out)
    {
        const auto found = pending_.find(nonce);
        if (found == pending_.end()) {
            return;
        }
        auto& it = found->second;
        if (!std::holds_alternative<state::not_appended>(result)) {
            it.may_be_in_log = true;
            it.needs_append =
                std::holds_alternative<state::append_unknown>(result);
        } else if (!it.may_be_in_log) {
            out.emplace_back(std::move(it.done),
                             claim_answer{claim_status::not_claimed, {}});
            pending_.erase(found);
        }
    }

    state::append_result append(const state::claim_batch& batch)
    {
        {
            const std::lock_guard lock(mutex_);
            ++counters_.appends;
        }
        return log_.append(stream_, codec_.encode(batch));
    }

    void write_releases(state::time_point now)
    {
        state::claim_batch batch;
        {
            const std::lock_guard lock(mutex_);
            batch.releases = table_.expired(now);
        }
        if (batch.releases.size() > limits_.max_batch) {
            batch.releases.resize(limits_.max_batch);
        }
        if (!batch.releases.empty()) {
            append(batch);
            read_new_records(now);
        }
    }

    /// @return false if the checkpoint must be retried
    bool write_checkpoint(state::time_point now)
    {
        std::vector<state::claim_renewal> all;
        state::claim_checkpoint checkpoint;
        {
            const std::lock_guard lock(mutex_);
            if (!table_.complete()) {
                return false;
            }
            all = table_.renewals(now);
            checkpoint.offset = table_.next_offset();
        }
        // A checkpoint is valid only if all of its renewals precede it in the
        // log, so it is abandoned at the first unacknowledged append.
        for (std::size_t i = 0; i < all.size(); i += limits_.max_batch) {
            const auto end = std::min(all.size(), i + limits_.max_batch);
            state::claim_batch part;
            part.renewals.assign(all.begin() + static_cast<long>(i),
                                 all.begin() + static_cast<long>(end));
            if (!std::holds_alternative<state::appended>(append(part))) {
                return false;
            }
        }
        state::claim_batch last;
        last.checkpoint = checkpoint;
        return std::holds_alternative<state::appended>(append(last));
    }

    Log& log_;
    Codec codec_;
    std::string stream_;
    claim_writer_limits limits_;
    mutable std::mutex mutex_;
    claim_table table_;
    std::deque<pending_claim> queue_;
    std::map<state::identifier, pending_claim> pending_;
    claim_writer_counters counters_;
    state::time_point last_pump_;
    state::time_point last_append_;
    state::time_point next_checkpoint_;
};

} // namespace oriolegrade::coordination

namespace oriolegrade::state {

template <>
struct enum_names<coordination::claim_status>
{
    static constexpr std::array<std::string_view, 4> value{
        "won", "lost", "not_claimed", "unresolved"};
};

} // namespace oriolegrade::state

#endif
