// State transitions of requests, each under the lock of one shard.

#include <oriolegrade/coordination/used_table.hpp>

#include <algorithm>
#include <cassert>

namespace oriolegrade::coordination {

using state::entry_state;
using state::reply_reason;
using state::run_outcome;

namespace {

/// Expired entries removed by one call; bounds the time under the lock.
constexpr std::size_t max_purged_per_call = 4;

/// Delay before an expired entry that is still running is checked again.
constexpr std::uint64_t running_recheck_ms = 60'000;

start_result refuse(reply_reason reason, state::attempt_history history)
{
    return start_refused{reason, state::reported_outcome(reason, history)};
}

constexpr auto attempts_possible =
    state::attempt_history::earlier_attempts_possible;

} // namespace

used_table::used_table(const used_table_limits& limits)
    : limits_(limits)
{}

used_table::used_table(const state::used_table_state& imported,
                       const used_table_limits& limits)
    : limits_(limits)
{
    for (auto& it : shards_) {
        it.purged_through_ms = imported.purged_through_ms;
    }
    for (const auto& it : imported.records) {
        auto& sh = shard_of(it.id);
        if (sh.entries.contains(it.id)) {
            continue;
        }
        entry new_entry;
        new_entry.fingerprint = it.fingerprint;
        new_entry.expires_ms = it.expires_ms;
        new_entry.state = it.state == entry_state::reserved
                              ? entry_state::reserved
                              : entry_state::done;
        auto* const placed = insert(sh, it.id, std::move(new_entry));
        if (it.state == entry_state::done) {
            store_answer(sh, it.id, *placed, it.result);
        }
    }
}

used_table::shard& used_table::shard_of(const state::request_id& id)
{
    // The high bits select the shard, as its hash map uses the low ones.
    return shards_[state::request_id_hash()(id) >> 58U];
}

used_table::entry* used_table::insert(shard& sh, const state::request_id& id,
                                      entry new_entry)
{
    sh.expiries.push_back({new_entry.expires_ms, id});
    std::push_heap(sh.expiries.begin(), sh.expiries.end(), std::greater<>());
    return &sh.entries.insert_or_assign(id, std::move(new_entry)).first->second;
}

bool used_table::reserve(const state::request_id& id,
                         const state::identifier& fingerprint,
                         std::uint64_t expires_ms, std::uint64_t now_ms)
{
    auto& sh = shard_of(id);
    const std::lock_guard lock(sh.mutex);
    purge_expired(sh, now_ms, max_purged_per_call);
    if (sh.exported || sh.entries.contains(id) ||
        sh.entries.size() >= limits_.max_entries / shard_count) {
        return false;
    }
    entry new_entry;
    new_entry.fingerprint = fingerprint;
    new_entry.expires_ms = expires_ms;
    new_entry.state = entry_state::reserved;
    insert(sh, id, std::move(new_entry));
    return true;
}

start_result used_table::try_start(const state::request_id& id,
                                   const state::identifier& fingerprint,
                                   std::uint64_t expires_ms,
                                   std::uint64_t now_ms, result_callback waiter)
{
    auto& sh = shard_of(id);
    const std::lock_guard lock(sh.mutex);
    purge_expired(sh, now_ms, max_purged_per_call);
    const auto found = sh.entries.find(id);
    if (found == sh.entries.end()) {
        entry new_entry;
        new_entry.fingerprint = fingerprint;
        new_entry.expires_ms = expires_ms;
        return start_new(sh, id, std::move(new_entry), now_ms);
    }
    if (found->second.fingerprint != fingerprint) {
        return refuse(reply_reason::binding_conflict, attempts_possible);
    }
    return attach_attempt(sh, found->second, now_ms, std::move(waiter));
}

start_result used_table::start_new(shard& sh, const state::request_id& id,
                                   entry new_entry, std::uint64_t now_ms)
{
    if (sh.exported) {
        return refuse(reply_reason::handed_over, attempts_possible);
    }
    if (id.kind == state::request_id_kind::claim) {
        return refuse(reply_reason::incarnation_gone, attempts_possible);
    }
    if (new_entry.expires_ms <= std::max(now_ms, sh.purged_through_ms)) {
        return refuse(reply_reason::token_expired, attempts_possible);
    }
    if (sh.entries.size() >= limits_.max_entries / shard_count) {
        return refuse(reply_reason::table_full, attempts_possible);
    }
    insert(sh, id, std::move(new_entry));
    return run_granted{};
}

start_result used_table::attach_attempt(shard& sh, entry& it,
                                        std::uint64_t now_ms,
                                        result_callback waiter) const
{
    switch (it.state) {
    case entry_state::reserved:
        if (sh.exported) {
            return refuse(reply_reason::handed_over, attempts_possible);
        }
        if (it.expires_ms <= now_ms) {
            return refuse(reply_reason::token_expired, attempts_possible);
        }
        it.state = entry_state::running;
        return run_granted{};
    case entry_state::running:
        if (it.waiters.size() >= limits_.max_waiters) {
            return refuse(reply_reason::limit, attempts_possible);
        }
        if (waiter) {
            it.waiters.push_back(std::move(waiter));
        }
        return wait_for_result{};
    case entry_state::done:
        break;
    }
    return replay{it.result};
}

void used_table::finish(const state::request_id& id,
                        const state::run_result& result)
{
    end_run(id, result);
}

void used_table::abandon(const state::request_id& id)
{
    end_run(id, {run_outcome::not_run, nullptr});
}

void used_table::end_run(const state::request_id& id,
                         const state::run_result& result)
{
    auto& sh = shard_of(id);
    std::vector<result_callback> waiters;
    {
        const std::lock_guard lock(sh.mutex);
        const auto found = sh.entries.find(id);
        assert(found != sh.entries.end() &&
               found->second.state == entry_state::running);
        auto& it = found->second;
        it.state = entry_state::done;
        waiters = std::move(it.waiters);
        it.waiters = {};
        store_answer(sh, id, it, result);
    }
    for (const auto& waiter : waiters) {
        waiter(result);
    }
}

void used_table::store_answer(shard& sh, const state::request_id& id, entry& it,
                              state::run_result result)
{
    it.result.outcome = result.outcome;
    const auto bytes = result.answer ? result.answer->bytes() : 0;
    const auto budget = limits_.max_answer_bytes / shard_count;
    if (!result.answer || bytes > limits_.max_single_answer_bytes ||
        bytes > budget) {
        return;
    }
    while (sh.answer_bytes + bytes > budget) {
        const auto oldest = sh.entries.find(sh.answers.front());
        sh.answers.pop_front();
        if (oldest != sh.entries.end()) {
            evict_answer(sh, oldest->second);
        }
    }
    it.result.answer = std::move(result.answer);
    sh.answer_bytes += bytes;
    sh.answers.push_back(id);
}

void used_table::evict_answer(shard& sh, entry& it)
{
    if (it.result.answer) {
        sh.answer_bytes -= it.result.answer->bytes();
        it.result.answer = nullptr;
    }
}

bool used_table::cancel_reservation(const state::request_id& id)
{
    auto& sh = shard_of(id);
    const std::lock_guard lock(sh.mutex);
    const auto found = sh.entries.find(id);
    // After an export, the successor decides on reserved claims.
    if (sh.exported || found == sh.entries.end() ||
        found->second.state != entry_state::reserved) {
        return false;
    }
    found->second.state = entry_state::done;
    found->second.result.outcome = run_outcome::not_run;
    return true;
}

void used_table::drop_reservation(const state::request_id& id)
{
    auto& sh = shard_of(id);
    const std::lock_guard lock(sh.mutex);
    const auto found = sh.entries.find(id);
    if (found != sh.entries.end() &&
        found->second.state == entry_state::reserved) {
        sh.entries.erase(found);
    }
}

void used_table::purge(std::uint64_t now_ms)
{
    for (auto& sh : shards_) {
        const std::lock_guard lock(sh.mutex);
        purge_expired(sh, now_ms, sh.expiries.size());
    }
}

void used_table::purge_expired(shard& sh, std::uint64_t now_ms,
                               std::size_t max_removed)
{
    for (; max_removed > 0 && !sh.expiries.empty(); --max_removed) {
        const auto first = sh.expiries.front();
        if (first.at_ms > now_ms) {
            break;
        }
        std::pop_heap(sh.expiries.begin(), sh.expiries.end(), std::greater<>());
        sh.expiries.pop_back();
        const auto found = sh.entries.find(first.id);
        if (found == sh.entries.end()) {
            continue;
        }
        if (found->second.state == entry_state::running) {
            sh.expiries.push_back({now_ms + running_recheck_ms, first.id});
            std::push_heap(sh.expiries.begin(), sh.expiries.end(),
                           std::greater<>());
            continue;
        }
        if (first.id.kind == state::request_id_kind::token) {
            sh.purged_through_ms =
                std::max(sh.purged_through_ms, found->second.expires_ms);
        }
        evict_answer(sh, found->second);
        sh.entries.erase(found);
    }
    // Drop ids of removed entries, which would otherwise accumulate.
    while (!sh.answers.empty() && !sh.entries.contains(sh.answers.front())) {
        sh.answers.pop_front();
    }
}

std::optional<state::used_table_state>
used_table::export_state(const state::identifier& successor)
{
    {
        const std::lock_guard lock(successor_mutex_);
        if (successor_ && successor_ != successor) {
            return std::nullopt;
        }
        successor_ = successor;
    }
    for (auto& sh : shards_) {
        const std::lock_guard lock(sh.mutex);
        sh.exported = true;
    }
    state::used_table_state out;
    for (auto& sh : shards_) {
        const std::lock_guard lock(sh.mutex);
        out.purged_through_ms =
            std::max(out.purged_through_ms, sh.purged_through_ms);
        for (const auto& [id, it] : sh.entries) {
            // A run in progress may have written bytes to an upstream, so it
            // is exported with its default result, unknown.
            const auto passed = it.state == entry_state::reserved
                                    ? entry_state::reserved
                                    : entry_state::done;
            out.records.push_back(
                {id, it.fingerprint, it.expires_ms, passed, it.result});
        }
    }
    return out;
}

state::identifier used_table::successor() const
{
    const std::lock_guard lock(successor_mutex_);
    return successor_;
}

std::size_t used_table::size() const
{
    std::size_t sum = 0;
    for (const auto& sh : shards_) {
        const std::lock_guard lock(sh.mutex);
        sum += sh.entries.size();
    }
    return sum;
}

std::size_t used_table::answer_bytes() const
{
    std::size_t sum = 0;
    for (const auto& sh : shards_) {
        const std::lock_guard lock(sh.mutex);
        sum += sh.answer_bytes;
    }
    return sum;
}

} // namespace oriolegrade::coordination
