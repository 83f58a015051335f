// Temporary avoidance of an upstream by one host, based on its own evidence.
// Only a verdict of the fleet ejects an upstream.

#ifndef ORIOLEGRADE_COORDINATION_LOCAL_AVOIDANCE_HPP
#define ORIOLEGRADE_COORDINATION_LOCAL_AVOIDANCE_HPP

#include <oriolegrade/coordination/health_event.hpp>
#include <oriolegrade/coordination/sequential_test.hpp>
#include <oriolegrade/state/evidence.hpp>
#include <oriolegrade/state/time_type.hpp>

#include <optional>

namespace oriolegrade::coordination {

/// Avoidance of one upstream by one host.
class local_avoidance
{
public:
    /// Counts one request. Shed requests have no effect.
    /// @return the event when avoidance starts
    std::optional<health_event> add(const state::endpoint& upstream,
                                    state::evidence_kind kind,
                                    state::time_point now);

    /// True while the host should pick another upstream. Half of the
    /// log-likelihood ratio is kept, so that further failures restart the
    /// avoidance sooner.
    bool avoided(state::time_point now) const
    {
        return now < until_;
    }
    /// End of the current avoidance; in the past when there is none.
    state::time_point until() const
    {
        return until_;
    }
    double score() const
    {
        return test_.score();
    }

private:
    sequential_test test_;
    state::time_point until_{};
    /// Number of avoidances without a quiet period between them; each one
    /// doubles the next.
    unsigned repeats_ = 0;
};

} // namespace oriolegrade::coordination

#endif
