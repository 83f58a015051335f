// Costs that health decisions weigh against each other, and the named
// profiles that the deployments ship with.

#ifndef ORIOLEGRADE_STATE_HEALTH_PROFILE_HPP
#define ORIOLEGRADE_STATE_HEALTH_PROFILE_HPP

#include <oriolegrade/state/enum_names.hpp>
#include <oriolegrade/state/finding.hpp>

#include <array>
#include <cstdint>
#include <string>

namespace oriolegrade::state {

enum class health_profile : std::uint8_t
{
    prairie_rest,
    hanbit,
};

template <>
struct enum_names<health_profile>
{
    static constexpr std::array<std::string_view, 2> value{"prairie_rest",
                                                           "hanbit"};
};

/// Costs that the thresholds of ejection are derived from. Only their ratio
/// matters. Both are above zero, in any common unit.
struct health_costs
{
    /// Cost of taking one healthy upstream out of service.
    double false_ejection = 1.0;
    /// Cost of one second in which a failing upstream receives work.
    double detection_second = 1.0;

    bool operator==(const health_costs&) const = default;
};

/// Costs of each profile, indexed by health_profile. A healthy upstream out of
/// service costs prairie_rest as much as 20 s of late detection, since its
/// members tolerate waiting but not lost capacity; hanbit half a second, since
/// planners notice a slow answer at once. docs/measurements-detection.md shows
/// what follows from them.
inline constexpr std::array<health_costs, enum_size<health_profile>>
    profile_costs{health_costs{20.0, 1.0}, health_costs{1.0, 2.0}};

constexpr const health_costs& costs_of(health_profile profile)
{
    return profile_costs[index_of(profile)];
}

/// Largest accepted ratio between the two costs, either way. Beyond it the
/// thresholds would stop or trigger ejection altogether.
inline constexpr double max_cost_ratio = 1e6;

/// Adds a finding for each impossible cost.
/// @param place place of the costs in the input, a JSON pointer
void check_costs(const health_costs& costs, const std::string& place,
                 findings& found);

} // namespace oriolegrade::state

#endif
