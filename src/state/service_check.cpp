// Validation of the health-related parts of a service.

#include <oriolegrade/state/service_check.hpp>

#include <unordered_set>

namespace oriolegrade::state {

std::uint64_t total_slots(const service_spec& service)
{
    std::uint64_t n = 0;
    for (const auto& it : service.upstreams) {
        n += it.slots;
    }
    return n;
}

void check_service_health(const service_spec& service, const std::string& place,
                          findings& found)
{
    check_costs(service.costs, place + "/costs", found);
    if (service.upstreams.empty()) {
        found.add(finding_code::out_of_range, place + "/upstreams",
                  "a service needs at least one upstream");
    }
    std::unordered_set<endpoint, endpoint_hash> seen;
    for (std::size_t n = 0; n < service.upstreams.size(); ++n) {
        const auto& it = service.upstreams[n];
        const auto location = place + "/upstreams/" + std::to_string(n);
        if (it.slots == 0) {
            found.add(finding_code::out_of_range, location + "/slots",
                      "an upstream needs at least one slot");
        }
        if (!seen.insert(it.address).second) {
            found.add(finding_code::duplicate, location + "/address",
                      "the address is listed twice");
        }
    }
    if (service.floor_slots > total_slots(service)) {
        found.add(finding_code::out_of_range, place + "/floor_slots",
                  "the floor is above the capacity of all upstreams");
    }
}

} // namespace oriolegrade::state
