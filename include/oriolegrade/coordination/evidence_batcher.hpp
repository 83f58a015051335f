// Batches the evidence that a host sends to the collectors. Anything but
// successes is sent at once, together with the pending successes of the same
// service. Successes alone are batched for a short time, and longer when a host
// has traffic to more services than its message budget covers.

#ifndef ORIOLEGRADE_COORDINATION_EVIDENCE_BATCHER_HPP
#define ORIOLEGRADE_COORDINATION_EVIDENCE_BATCHER_HPP

#include <oriolegrade/coordination/verdict_cache.hpp>
#include <oriolegrade/state/evidence.hpp>

namespace oriolegrade::coordination {

/// True when a batch contains anything but successes, or when the host
/// suspects itself.
bool has_negative_evidence(const state::evidence_batch& batch);

class evidence_batcher
{
public:
    /// @param success_interval minimum delay of successes
    /// @param messages_per_second budget; messages with anything but successes
    ///        consume it but are not delayed by it. While successes are
    ///        delayed, the collector receives the failures of several hosts
    ///        without the successes between them, which favours false
    ///        ejections. The budget should therefore cover all services of a
    ///        small fleet.
    evidence_batcher(state::duration success_interval,
                     double messages_per_second)
        : success_interval_(success_interval)
        , rate_(messages_per_second)
    {}

    void add(const state::evidence_batch& batch, state::time_point now);
    /// Removes and returns the batches that are due.
    std::vector<state::evidence_batch> take_due(state::time_point now);
    /// Time at which a batch may be due next; max() when none is pending.
    state::time_point next_due() const;
    /// Requests not reported because too many services had pending batches.
    std::uint64_t dropped() const
    {
        return dropped_;
    }

private:
    struct waiting
    {
        state::evidence_batch batch;
        state::time_point due;
        bool urgent = false;
    };

    void refill(state::time_point now);

    state::duration success_interval_;
    double rate_;
    /// Token bucket of messages; its capacity is half a second's budget, but at
    /// least one message. Negative after a burst of failures.
    double tokens_ = 0;
    state::time_point refilled_{};
    std::map<service_key, waiting> waiting_;
    std::uint64_t dropped_ = 0;
};

} // namespace oriolegrade::coordination

#endif
