// Deduplication table of an incarnation: records which requests have run, are
// running, or will never run.

#ifndef ORIOLEGRADE_COORDINATION_USED_TABLE_HPP
#define ORIOLEGRADE_COORDINATION_USED_TABLE_HPP

#include <oriolegrade/state/once_type.hpp>
#include <oriolegrade/state/reply_reason.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace oriolegrade::coordination {

/// The calling attempt has the exclusive right to send the request to an
/// upstream. It must call finish() or abandon() exactly once.
struct run_granted
{};

/// Another attempt is running; its result is passed to the callback.
struct wait_for_result
{};

/// The request has already ended with this result.
struct replay
{
    state::run_result result;
};

struct start_refused
{
    state::reply_reason reason;
    state::run_outcome outcome;
};

using start_result =
    std::variant<run_granted, wait_for_result, replay, start_refused>;

/// Called once, on the thread that ends the run and without locks held. Must
/// not block; it only wakes a fiber.
using result_callback = std::function<void(const state::run_result&)>;

struct used_table_limits
{
    std::size_t max_entries = 131072;
    std::size_t max_answer_bytes = 32U << 20U;
    /// Larger answers are not stored; a repeat is only told that the request
    /// ran.
    std::size_t max_single_answer_bytes = 64U << 10U;
    std::size_t max_waiters = 64;
};

/// Thread-safe.
///
/// At-most-once execution: a request starts with a single transition under the
/// lock of its shard: absent to running for a token, reserved to running for a
/// claim. An entry is never removed while its request could start again. The
/// entry of a token is removed only after the token expires, and the shard
/// keeps the latest expiry that it purged, so that an attempt whose expiry
/// check preceded the removal is refused too. A claim never starts from absent,
/// nor after its key's lifetime, when another claim may hold the key.
///
/// When the table is full, it refuses new requests and drops answer bodies, but
/// never the record that a request started.
///
/// Correctness of not-run: an entry that ends as not-run is final and never
/// starts again; a caller that wants to retry uses a new token. A refusal that
/// leaves no entry is reported as unknown.
class used_table
{
public:
    explicit used_table(const used_table_limits& limits = {});

    /// Restores the table of an imported incarnation.
    used_table(const state::used_table_state& imported,
               const used_table_limits& limits);

    /// Reserves the nonce of a claim before the claim is appended to the log.
    /// @return false if the claim must not be appended
    bool reserve(const state::request_id& id,
                 const state::identifier& fingerprint, std::uint64_t expires_ms,
                 std::uint64_t now_ms);

    /// Requests the right to run.
    /// @param fingerprint digest that identifies the content of the request
    /// @param expires_ms expiry of the verified token; ignored for claims
    /// @param waiter stored only if the result is wait_for_result
    start_result try_start(const state::request_id& id,
                           const state::identifier& fingerprint,
                           std::uint64_t expires_ms, std::uint64_t now_ms,
                           result_callback waiter);

    /// Ends a run whose request may have reached an upstream.
    void finish(const state::request_id& id, const state::run_result& result);

    /// Ends a run permanently as not-run. Allowed only if no byte of the
    /// request was written to an upstream, or the upstream proved that it
    /// refused.
    void abandon(const state::request_id& id);

    /// Permanently cancels a reserved claim; repeats are answered not-run.
    /// @return false if the claim has started, is unknown or was exported
    bool cancel_reservation(const state::request_id& id);

    /// Removes the reservation of a claim that lost or was never appended.
    void drop_reservation(const state::request_id& id);

    /// Removes all expired entries. try_start() and reserve() each remove a
    /// few.
    void purge(std::uint64_t now_ms);

    /// Refuses all further starts and returns the table for `successor`. Runs
    /// in progress are exported as unknown. Repeated calls return a new copy
    /// for the same successor and nothing for any other, since two importers
    /// could both run a token.
    std::optional<state::used_table_state>
    export_state(const state::identifier& successor);

    /// Successor named by export_state(), or none.
    state::identifier successor() const;

    std::size_t size() const;
    std::size_t answer_bytes() const;

private:
    struct entry
    {
        state::identifier fingerprint;
        std::uint64_t expires_ms = 0;
        state::entry_state state = state::entry_state::running;
        state::run_result result;
        std::vector<result_callback> waiters;
    };

    struct expiry
    {
        std::uint64_t at_ms;
        state::request_id id;

        bool operator>(const expiry& other) const
        {
            return at_ms > other.at_ms;
        }
    };

    /// Aligned to a cache line to avoid false sharing between shards.
    struct alignas(64) shard
    {
        mutable std::mutex mutex;
        std::unordered_map<state::request_id, entry, state::request_id_hash>
            entries;
        /// Min-heap by expiry.
        std::vector<expiry> expiries;
        /// Entries with a stored answer, oldest first. May contain ids of
        /// removed entries.
        std::deque<state::request_id> answers;
        std::size_t answer_bytes = 0;
        /// Latest expiry among purged token entries.
        std::uint64_t purged_through_ms = 0;
        bool exported = false;
    };

    static constexpr std::size_t shard_count = 64;

    shard& shard_of(const state::request_id& id);
    entry* insert(shard& sh, const state::request_id& id, entry new_entry);
    start_result start_new(shard& sh, const state::request_id& id,
                           entry new_entry, std::uint64_t now_ms);
    start_result attach_attempt(shard& sh, entry& it, std::uint64_t now_ms,
                                result_callback waiter) const;
    void end_run(const state::request_id& id, const state::run_result& result);
    void store_answer(shard& sh, const state::request_id& id, entry& it,
                      state::run_result result);
    static void evict_answer(shard& sh, entry& it);
    static void purge_expired(shard& sh, std::uint64_t now_ms,
                              std::size_t max_removed);

    used_table_limits limits_;
    std::array<shard, shard_count> shards_;
    mutable std::mutex successor_mutex_;
    state::identifier successor_;
};

} // namespace oriolegrade::coordination

#endif
