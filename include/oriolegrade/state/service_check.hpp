// Validation of what the health decisions need from a service: costs, slots
// and floor.

#ifndef ORIOLEGRADE_STATE_SERVICE_CHECK_HPP
#define ORIOLEGRADE_STATE_SERVICE_CHECK_HPP

#include <oriolegrade/state/finding.hpp>
#include <oriolegrade/state/record_type.hpp>

#include <cstdint>
#include <string>

namespace oriolegrade::state {

/// Slots of all upstreams together.
std::uint64_t total_slots(const service_spec& service);

/// Adds a finding for each fault that would make health decisions
/// impossible: bad costs, no upstream, an upstream without slots, an upstream
/// named twice, a floor above the whole capacity.
/// @param place place of the service in the input, a JSON pointer
void check_service_health(const service_spec& service, const std::string& place,
                          findings& found);

} // namespace oriolegrade::state

#endif
