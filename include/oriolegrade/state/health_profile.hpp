// Costs from which health decisions are derived, and the named profiles of the
// deployments.

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

/// Costs from which the ejection thresholds are derived. Only their ratio
/// matters. Both are above zero, in any common unit.
struct health_costs
{
    /// Cost of taking one healthy upstream out of service.
    double false_ejection = 1.0;
    /// Cost of one second in which a failing upstream receives requests.
    double detection_second = 1.0;

    bool operator==(const health_costs&) const = default;
};

/// Costs of each profile, indexed by health_profile. For prairie_rest, a
/// healthy upstream out of service costs as much as 20 s of late detection,
/// because its members tolerate waiting but not lost capacity. For hanbit it
/// costs as much as half a second, because planners notice slow responses
/// immediately. docs/measurements-detection.md has the resulting detection
/// times and false ejections.
inline constexpr std::array<health_costs, enum_size<health_profile>>
    profile_costs{health_costs{20.0, 1.0}, health_costs{1.0, 2.0}};

constexpr const health_costs& costs_of(health_profile profile)
{
    return profile_costs[index_of(profile)];
}

/// Maximum ratio of the two costs, in either direction. Beyond it, the
/// thresholds would never eject an upstream, or eject any upstream.
inline constexpr double max_cost_ratio = 1e6;

/// Adds a finding for each invalid cost.
/// @param place location of the costs in the input, a JSON pointer
void check_costs(const health_costs& costs, const std::string& place,
                 findings& found);

} // namespace oriolegrade::state

#endif
