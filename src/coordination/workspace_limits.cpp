// Lock-free table of workspace limits.

#include <oriolegrade/coordination/workspace_limits.hpp>

#include <algorithm>
#include <cassert>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace oriolegrade::coordination {

namespace {

/// Flag in `in_flight` of a slot that is being assigned to another workspace.
constexpr std::uint32_t reassigning = 1U << 31U;
/// Maximum length of a probe sequence. With 16, a half-full table of 65,536
/// slots had no free slot for the 20,218th of 34,000 workspaces.
constexpr std::size_t max_probes = 64;

} // namespace

struct workspace_limits::slot
{
    /// Hash of the workspace; zero while unused. Changes only while the flag
    /// `reassigning` is set.
    std::atomic<std::uint64_t> key{0};
    /// Time at which the token bucket is full again (generic cell rate
    /// algorithm).
    std::atomic<std::int64_t> full_at{0};
    /// Requests in flight. While above zero the slot is not reassigned.
    std::atomic<std::uint32_t> in_flight{0};
};

workspace_limits::workspace_limits(std::size_t slots, std::uint64_t hash_seed)
    : mask_(slots - 1)
    , seed_(hash_seed)
    , slots_(new slot[slots])
{
    assert(slots >= max_probes && (slots & (slots - 1)) == 0);
}

workspace_limits::~workspace_limits() = default;

workspace_limits::permit::~permit()
{
    if (slot_) {
        slot_->in_flight.fetch_sub(1, std::memory_order_acq_rel);
    }
}

std::size_t workspace_limits::bytes() const
{
    return (mask_ + 1) * sizeof(slot);
}

/// Assigns an unused or idle slot to `key`, with one request in flight. Fails
/// when the slot is in use or another thread is reassigning it.
bool workspace_limits::try_reassign(slot& s, std::uint64_t key,
                                    state::time_point now)
{
    std::uint32_t idle = 0;
    if (s.full_at.load(std::memory_order_relaxed) >
            now.time_since_epoch().count() ||
        !s.in_flight.compare_exchange_strong(idle, reassigning + 1,
                                             std::memory_order_acq_rel)) {
        return false;
    }
    s.key.store(key, std::memory_order_relaxed);
    s.full_at.store(0, std::memory_order_relaxed);
    s.in_flight.fetch_sub(reassigning, std::memory_order_release);
    return true;
}

/// Slot of `key`, with one more request in flight; null when all slots of the
/// probe sequence are in use. Two threads that see a new workspace at the same
/// time may assign it two slots; the later slot becomes idle and is reused.
workspace_limits::slot* workspace_limits::acquire_slot(std::uint64_t key,
                                                       state::time_point now)
{
    for (std::size_t i = 0; i < max_probes; ++i) {
        auto& s = slots_[(key + i) & mask_];
        const auto found = s.key.load(std::memory_order_relaxed);
        if (found == 0) {
            // A workspace takes the first free slot, and a used slot never
            // becomes unused, so the key is not further along the sequence.
            break;
        }
        if (found != key) {
            continue;
        }
        const auto before = s.in_flight.fetch_add(1, std::memory_order_acq_rel);
        if (before < reassigning &&
            s.key.load(std::memory_order_relaxed) == key) {
            return &s;
        }
        s.in_flight.fetch_sub(1, std::memory_order_acq_rel);
    }
    for (std::size_t i = 0; i < max_probes; ++i) {
        auto& s = slots_[(key + i) & mask_];
        if (try_reassign(s, key, now)) {
            return &s;
        }
    }
    return nullptr;
}

state::result<workspace_limits::permit, workspace_refusal>
workspace_limits::try_begin(std::string_view workspace,
                            const state::workspace_spec& spec,
                            state::time_point now)
{
    const auto key = std::max<std::uint64_t>(
        XXH3_64bits_withSeed(workspace.data(), workspace.size(), seed_), 1);
    slot* s = acquire_slot(key, now);
    if (!s) {
        return workspace_refusal::table_full;
    }
    permit held(s);
    if (s->in_flight.load(std::memory_order_relaxed) > spec.max_concurrent) {
        return workspace_refusal::concurrency;
    }
    if (spec.requests_per_second <= 0) {
        return workspace_refusal::rate;
    }
    const auto emission_interval =
        static_cast<std::int64_t>(1e9 / spec.requests_per_second);
    const auto at = now.time_since_epoch().count();
    auto full_at = s->full_at.load(std::memory_order_relaxed);
    // A failed exchange means that another request took a token, so the number
    // of iterations is bounded by the number of tokens.
    for (;;) {
        const auto next = std::max(full_at, at) + emission_interval;
        if (next - at >
            emission_interval * std::max<std::int64_t>(spec.burst, 1)) {
            return workspace_refusal::rate;
        }
        if (s->full_at.compare_exchange_weak(full_at, next,
                                             std::memory_order_relaxed)) {
            return held;
        }
    }
}

} // namespace oriolegrade::coordination
