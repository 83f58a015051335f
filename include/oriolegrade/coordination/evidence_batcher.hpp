// Evidence of a host on its way to the collectors. Anything but successes is
// sent at once, with the successes of the service that wait. Successes alone
// are merged for a short time, and longer when a host has traffic to more
// services than its budget of messages allows.

#ifndef ORIOLEGRADE_COORDINATION_EVIDENCE_BATCHER_HPP
#define ORIOLEGRADE_COORDINATION_EVIDENCE_BATCHER_HPP

#include <oriolegrade/coordination/verdict_cache.hpp>
#include <oriolegrade/state/evidence.hpp>

namespace oriolegrade::coordination {

/// True when a batch may speak against an upstream.
bool has_negative_evidence(const state::evidence_batch& batch);

class evidence_batcher
{
public:
    /// @param success_interval least wait of successes
    /// @param messages_per_second budget; messages with anything but successes
    ///        use it up but do not wait for it. While successes wait, failures
    ///        of several hosts meet at the collector without the successes
    ///        between them, which favours false ejections: the budget should
    ///        cover all services of a small fleet.
    evidence_batcher(state::duration success_interval,
                     double messages_per_second)
        : success_interval_(success_interval)
        , rate_(messages_per_second)
    {}

    void add(const state::evidence_batch& batch, state::time_point now);
    /// Batches to send now.
    std::vector<state::evidence_batch> take_due(state::time_point now);
    /// When take_due may have something next; max() when nothing waits.
    state::time_point next_due() const;
    /// Requests dropped because too many services were waiting.
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
    /// Messages that may be sent now; at most those of half a second.
    double tokens_ = 0;
    state::time_point refilled_{};
    std::map<service_key, waiting> waiting_;
    std::uint64_t dropped_ = 0;
};

} // namespace oriolegrade::coordination

#endif
