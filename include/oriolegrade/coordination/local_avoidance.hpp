// What one host does on its own evidence: it avoids an upstream for a while.
// Only the fleet's verdict ejects.

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
    /// Counts one request. Shed requests change nothing.
    /// @return the event when avoidance begins
    std::optional<health_event> add(const state::endpoint& upstream,
                                    state::evidence_kind kind,
                                    state::time_point now);

    /// True while the host should pick another upstream. Afterwards the next
    /// failure decides quickly, because half of the ratio is kept.
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
    /// Avoidances without a quiet period in between; lengthens the next one.
    unsigned repeats_ = 0;
};

} // namespace oriolegrade::coordination

#endif
