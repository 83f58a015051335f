// Tells hosts apart where all of them decide alone from the same knowledge at
// the same moment: each takes another one of the choices that look alike.

#ifndef ORIOLEGRADE_COORDINATION_HOST_SEED_HPP
#define ORIOLEGRADE_COORDINATION_HOST_SEED_HPP

#include <cstdint>
#include <string_view>

namespace oriolegrade::coordination {

/// @param host name, unique in the fleet
/// @return evenly distributed over the hosts and the same after a restart
std::uint64_t host_seed(std::string_view host);

} // namespace oriolegrade::coordination

#endif
