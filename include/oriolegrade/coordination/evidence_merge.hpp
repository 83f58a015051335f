// Evidence of a host on its way to the collectors. Anything but successes is
// sent at once, with the successes of the service that wait; successes alone
// are merged for a short time.

#ifndef ORIOLEGRADE_COORDINATION_EVIDENCE_MERGE_HPP
#define ORIOLEGRADE_COORDINATION_EVIDENCE_MERGE_HPP

#include <oriolegrade/coordination/verdict_book.hpp>
#include <oriolegrade/state/evidence.hpp>

namespace oriolegrade::coordination {

/// True when a batch may speak against an upstream.
bool holds_bad_evidence(const state::evidence_batch& batch);

class evidence_merge
{
public:
    /// @param success_interval longest wait of successes; a longer one saves
    ///        messages, but lets failures of several hosts meet without the
    ///        successes between them, which favours false ejections
    explicit evidence_merge(state::duration success_interval)
        : success_interval_(success_interval)
    {}

    void add(const state::evidence_batch& batch, state::time_point now);
    /// Batches to send now.
    std::vector<state::evidence_batch> take_due(state::time_point now);
    /// When take_due has something next; max() when nothing waits.
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
    };

    state::duration success_interval_;
    std::map<service_key, waiting> waiting_;
    std::uint64_t dropped_ = 0;
};

} // namespace oriolegrade::coordination

#endif
