// Which requests an incarnation has run, runs now, or will never run.

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

/// The calling attempt, and no other, sends the request to an upstream. It
/// must call finish() or abandon() exactly once.
struct run_granted
{};

/// Another attempt is running; the callback receives its result.
struct wait_for_result
{};

/// The request has ended.
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

/// Called once, from the thread that ends the run and outside all locks. It
/// only wakes a fiber and must not block.
using result_callback = std::function<void(const state::run_result&)>;

struct used_table_limits
{
    std::size_t max_entries = 131072;
    std::size_t max_answer_bytes = 32U << 20U;
    /// A larger answer is not kept; a repeat learns that the request ran.
    std::size_t max_single_answer_bytes = 64U << 10U;
    std::size_t max_waiters = 64;
};

/// Table of one incarnation. Thread-safe.
///
/// Why nothing runs twice. A request starts by one transition under the lock
/// of its shard: a token from absent to running, a claim from reserved to
/// running. An entry is never removed while its request could start again:
/// the entry of a token goes only after the token's expiry, and the shard
/// remembers the latest expiry it forgot, so that an attempt whose expiry
/// check lies before the removal is refused as well. A claim never starts
/// from absent, nor after its key's lifetime, when another may hold the key.
/// Full memory refuses new requests and drops answer bodies; it never drops the
/// fact that a request started.
///
/// Why not-run is never false. An entry that ends as not-run stays so and is
/// never started again; a caller that wants another try uses a new token. A
/// refusal that leaves no entry behind is told as unknown.
class used_table
{
public:
    explicit used_table(const used_table_limits& limits = {});

    /// Table of an imported incarnation.
    used_table(const state::used_table_state& imported,
               const used_table_limits& limits);

    /// Enters the nonce of a claim before the claim is written to the log.
    /// @return false when the claim must not be written
    bool reserve(const state::request_id& id,
                 const state::identifier& fingerprint, std::uint64_t expires_ms,
                 std::uint64_t now_ms);

    /// Asks for the right to run.
    /// @param fingerprint digest of what makes the request this request
    /// @param expires_ms expiry of the verified token; ignored for claims
    /// @param waiter kept only when the result is wait_for_result
    start_result try_start(const state::request_id& id,
                           const state::identifier& fingerprint,
                           std::uint64_t expires_ms, std::uint64_t now_ms,
                           result_callback waiter);

    /// Ends a run whose request may have reached an upstream.
    void finish(const state::request_id& id, const state::run_result& result);

    /// Ends a run as not-run for ever. Allowed only when no byte of the
    /// request was written to an upstream or the upstream proved refusal.
    void abandon(const state::request_id& id);

    /// Gives a reserved claim up for ever; repeats learn not-run.
    /// @return false when it was started meanwhile, or is not here
    bool cancel_reservation(const state::request_id& id);

    /// Forgets the reservation of a claim that lost or was never written.
    void drop_reservation(const state::request_id& id);

    /// Removes expired entries. try_start() and reserve() remove a few too.
    void purge(std::uint64_t now_ms);

    /// Stops all further starts, then returns the table for `successor`.
    /// Runs still under way pass on as unknown. Repeats give a new copy for
    /// the same successor; any other successor gets nothing, since two
    /// importers could both run a token.
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

    /// Aligned, so that threads at neighbouring shards share no cache line.
    struct alignas(64) shard
    {
        mutable std::mutex mutex;
        std::unordered_map<state::request_id, entry, state::request_id_hash>
            entries;
        /// Heap with the earliest expiry in front.
        std::vector<expiry> expiries;
        /// Entries with a kept answer, oldest first. May name removed ones.
        std::deque<state::request_id> answers;
        std::size_t answer_bytes = 0;
        /// Latest expiry of a removed token entry.
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
