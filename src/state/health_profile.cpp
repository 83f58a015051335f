// Validation of the costs of health decisions.

#include <oriolegrade/state/health_profile.hpp>

#include <cmath>

namespace oriolegrade::state {

namespace {

bool check_cost(double cost, const std::string& place, findings& found)
{
    if (std::isfinite(cost) && cost > 0) {
        return true;
    }
    found.add(finding_code::out_of_range, place,
              "a cost must be a finite number above zero");
    return false;
}

} // namespace

void check_costs(const health_costs& costs, const std::string& place,
                 findings& found)
{
    const bool first =
        check_cost(costs.false_ejection, place + "/false_ejection", found);
    const bool second =
        check_cost(costs.detection_second, place + "/detection_second", found);
    if (!first || !second) {
        return;
    }
    const double ratio = costs.false_ejection / costs.detection_second;
    if (!(ratio <= max_cost_ratio && ratio >= 1 / max_cost_ratio)) {
        found.add(finding_code::out_of_range, place,
                  "the ratio of the costs must lie between 1e-6 and 1e6");
    }
}

} // namespace oriolegrade::state
