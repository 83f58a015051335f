// Validation of the parts of a service that health decisions depend on: costs,
// slots and floor.

#ifndef ORIOLEGRADE_STATE_SERVICE_CHECK_HPP
#define ORIOLEGRADE_STATE_SERVICE_CHECK_HPP

#include <oriolegrade/state/finding.hpp>
#include <oriolegrade/state/record_type.hpp>

#include <cstdint>
#include <string>

namespace oriolegrade::state {

/// Sum of the slots of all upstreams.
std::uint64_t total_slots(const service_spec& service);

/// Adds a finding for each error that would make health decisions impossible:
/// invalid costs, no upstream, an upstream without slots, a duplicate address,
/// a floor above the total capacity.
/// @param place location of the service in the input, a JSON pointer
void check_service_health(const service_spec& service, const std::string& place,
                          findings& found);

} // namespace oriolegrade::state

#endif
