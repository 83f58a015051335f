// State changes of requests, each under the lock of one shard.

#include <oriolegrade/coordination/used_table.hpp>

#include <algorithm>
#include <cassert>

namespace oriolegrade::coordination {

using state::entry_state;
using state::reply_reason;
using state::run_outcome;

namespace {

/// Expired entries removed by one call, to keep the time under the lock short.
constexpr std::size_t purge_per_call = 4;

/// Wait before an expired entry that is still running is looked at again.
constexpr std::uint64_t running_recheck_ms = 60'000;

start_result refuse(reply_reason reason, state::attempt_history history)
{
    return start_refused{reason, state::reported_outcome(reason, history)};
}

constexpr auto no_record = state::attempt_history::earlier_attempts_possible;

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
        auto& in = shard_of(it.id);
        if (in.entries.contains(it.id)) {
            continue;
        }
        entry fresh;
        fresh.fingerprint = it.fingerprint;
        fresh.expires_ms = it.expires_ms;
        fresh.state = it.state == entry_state::reserved ? entry_state::reserved
                                                        : entry_state::done;
        auto* const placed = insert(in, it.id, std::move(fresh));
        if (it.state == entry_state::done) {
            keep_answer(in, it.id, *placed, it.result);
        }
    }
}

used_table::shard& used_table::shard_of(const state::request_id& id)
{
    // The high bits: the map below uses the low ones.
    return shards_[state::request_id_hash()(id) >> 58U];
}

used_table::entry* used_table::insert(shard& in, const state::request_id& id,
                                      entry fresh)
{
    in.expiries.push_back({fresh.expires_ms, id});
    std::push_heap(in.expiries.begin(), in.expiries.end(), std::greater<>());
    return &in.entries.insert_or_assign(id, std::move(fresh)).first->second;
}

bool used_table::reserve(const state::request_id& id,
                         const state::identifier& fingerprint,
                         std::uint64_t expires_ms, std::uint64_t now_ms)
{
    auto& in = shard_of(id);
    const std::lock_guard lock(in.mutex);
    purge_some(in, now_ms, purge_per_call);
    if (in.exported || in.entries.contains(id) ||
        in.entries.size() >= limits_.max_entries / shard_count) {
        return false;
    }
    entry fresh;
    fresh.fingerprint = fingerprint;
    fresh.expires_ms = expires_ms;
    fresh.state = entry_state::reserved;
    insert(in, id, std::move(fresh));
    return true;
}

start_result used_table::try_start(const state::request_id& id,
                                   const state::identifier& fingerprint,
                                   std::uint64_t expires_ms,
                                   std::uint64_t now_ms, result_callback waiter)
{
    auto& in = shard_of(id);
    const std::lock_guard lock(in.mutex);
    purge_some(in, now_ms, purge_per_call);
    const auto found = in.entries.find(id);
    if (found == in.entries.end()) {
        entry fresh;
        fresh.fingerprint = fingerprint;
        fresh.expires_ms = expires_ms;
        return start_absent(in, id, std::move(fresh), now_ms);
    }
    if (found->second.fingerprint != fingerprint) {
        return refuse(reply_reason::binding_conflict, no_record);
    }
    return join(in, found->second, now_ms, std::move(waiter));
}

start_result used_table::start_absent(shard& in, const state::request_id& id,
                                      entry fresh, std::uint64_t now_ms)
{
    if (in.exported) {
        return refuse(reply_reason::handed_over, no_record);
    }
    if (id.kind == state::request_id_kind::claim) {
        return refuse(reply_reason::incarnation_gone, no_record);
    }
    if (fresh.expires_ms <= std::max(now_ms, in.purged_through_ms)) {
        return refuse(reply_reason::token_expired, no_record);
    }
    if (in.entries.size() >= limits_.max_entries / shard_count) {
        return refuse(reply_reason::table_full, no_record);
    }
    insert(in, id, std::move(fresh));
    return run_granted{};
}

start_result used_table::join(shard& in, entry& it, std::uint64_t now_ms,
                              result_callback waiter) const
{
    switch (it.state) {
    case entry_state::reserved:
        if (in.exported) {
            return refuse(reply_reason::handed_over, no_record);
        }
        if (it.expires_ms <= now_ms) {
            return refuse(reply_reason::token_expired, no_record);
        }
        it.state = entry_state::running;
        return run_granted{};
    case entry_state::running:
        if (it.waiters.size() >= limits_.max_waiters) {
            return refuse(reply_reason::limit, no_record);
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
    auto& in = shard_of(id);
    std::vector<result_callback> waiters;
    {
        const std::lock_guard lock(in.mutex);
        const auto found = in.entries.find(id);
        assert(found != in.entries.end() &&
               found->second.state == entry_state::running);
        auto& it = found->second;
        it.state = entry_state::done;
        waiters = std::move(it.waiters);
        it.waiters = {};
        keep_answer(in, id, it, result);
    }
    for (const auto& waiter : waiters) {
        waiter(result);
    }
}

void used_table::keep_answer(shard& in, const state::request_id& id, entry& it,
                             state::run_result result)
{
    it.result.outcome = result.outcome;
    const auto bytes = result.answer ? result.answer->bytes() : 0;
    const auto budget = limits_.max_answer_bytes / shard_count;
    if (!result.answer || bytes > limits_.max_one_answer_bytes ||
        bytes > budget) {
        return;
    }
    while (in.answer_bytes + bytes > budget) {
        const auto oldest = in.entries.find(in.answers.front());
        in.answers.pop_front();
        if (oldest != in.entries.end()) {
            forget_answer(in, oldest->second);
        }
    }
    it.result.answer = std::move(result.answer);
    in.answer_bytes += bytes;
    in.answers.push_back(id);
}

void used_table::forget_answer(shard& in, entry& it)
{
    if (it.result.answer) {
        in.answer_bytes -= it.result.answer->bytes();
        it.result.answer = nullptr;
    }
}

bool used_table::give_up(const state::request_id& id)
{
    auto& in = shard_of(id);
    const std::lock_guard lock(in.mutex);
    const auto found = in.entries.find(id);
    // After an export the successor decides about reserved claims.
    if (in.exported || found == in.entries.end() ||
        found->second.state != entry_state::reserved) {
        return false;
    }
    found->second.state = entry_state::done;
    found->second.result.outcome = run_outcome::not_run;
    return true;
}

void used_table::drop_reservation(const state::request_id& id)
{
    auto& in = shard_of(id);
    const std::lock_guard lock(in.mutex);
    const auto found = in.entries.find(id);
    if (found != in.entries.end() &&
        found->second.state == entry_state::reserved) {
        in.entries.erase(found);
    }
}

void used_table::purge(std::uint64_t now_ms)
{
    for (auto& in : shards_) {
        const std::lock_guard lock(in.mutex);
        purge_some(in, now_ms, in.expiries.size());
    }
}

void used_table::purge_some(shard& in, std::uint64_t now_ms, std::size_t most)
{
    for (; most > 0 && !in.expiries.empty(); --most) {
        const auto first = in.expiries.front();
        if (first.at_ms > now_ms) {
            break;
        }
        std::pop_heap(in.expiries.begin(), in.expiries.end(), std::greater<>());
        in.expiries.pop_back();
        const auto found = in.entries.find(first.id);
        if (found == in.entries.end()) {
            continue;
        }
        if (found->second.state == entry_state::running) {
            in.expiries.push_back({now_ms + running_recheck_ms, first.id});
            std::push_heap(in.expiries.begin(), in.expiries.end(),
                           std::greater<>());
            continue;
        }
        if (first.id.kind == state::request_id_kind::token) {
            in.purged_through_ms =
                std::max(in.purged_through_ms, found->second.expires_ms);
        }
        forget_answer(in, found->second);
        in.entries.erase(found);
    }
    // Names of removed entries at the front would otherwise pile up.
    while (!in.answers.empty() && !in.entries.contains(in.answers.front())) {
        in.answers.pop_front();
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
    for (auto& in : shards_) {
        const std::lock_guard lock(in.mutex);
        in.exported = true;
    }
    state::used_table_state out;
    for (auto& in : shards_) {
        const std::lock_guard lock(in.mutex);
        out.purged_through_ms =
            std::max(out.purged_through_ms, in.purged_through_ms);
        for (const auto& [id, it] : in.entries) {
            // A run under way may have written bytes: its default result,
            // unknown, passes on.
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
    for (const auto& in : shards_) {
        const std::lock_guard lock(in.mutex);
        sum += in.entries.size();
    }
    return sum;
}

std::size_t used_table::answer_bytes() const
{
    std::size_t sum = 0;
    for (const auto& in : shards_) {
        const std::lock_guard lock(in.mutex);
        sum += in.answer_bytes;
    }
    return sum;
}

} // namespace oriolegrade::coordination
