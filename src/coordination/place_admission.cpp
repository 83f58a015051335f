// Expected waits, and the refusals that follow from them.

#include <oriolegrade/coordination/place_admission.hpp>

#include <oriolegrade/coordination/retry_after.hpp>
#include <oriolegrade/coordination/scaled_duration.hpp>

#include <algorithm>

namespace oriolegrade::coordination {

namespace {

/// Share of the usual latency that must be left before the deadline. Half of
/// the requests are faster than the mean.
constexpr double min_time_share = 0.7;
/// Share of the slots of upstreams out of service that is expected to become
/// available in time for a waiting request.
constexpr double held_slot_share = 0.3;

} // namespace

state::duration place_admission::expected_wait(const service_capacity& capacity,
                                               std::size_t ahead)
{
    const auto in_service = static_cast<double>(capacity.slots_in_service);
    const auto others = static_cast<double>(capacity.slots) - in_service;
    const double slots = in_service + held_slot_share * others;
    return scaled(capacity.usual,
                  static_cast<double>(ahead + 1) / std::max(slots, 1.0));
}

state::duration place_admission::shortest_wait(const service_capacity& capacity,
                                               std::size_t ahead)
{
    const auto slots = std::max<std::uint64_t>(capacity.slots, 1);
    return scaled(capacity.usual, min_time_share * static_cast<double>(ahead) /
                                      static_cast<double>(slots));
}

bool place_admission::misses_deadline(state::time_point deadline,
                                      state::duration wait,
                                      state::duration usual,
                                      state::time_point now)
{
    return now + wait + scaled(usual, min_time_share) > deadline;
}

state::place_refusal place_admission::refuse(state::place_refusal_reason reason,
                                             std::uint64_t number,
                                             state::duration wait,
                                             state::duration usual) const
{
    return {reason, spread_retry_after(std::max(wait, usual), number, seed_)};
}

} // namespace oriolegrade::coordination
