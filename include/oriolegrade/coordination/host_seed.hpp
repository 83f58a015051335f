// Per-host seed for tie-breaking. Hosts that decide independently from the
// same data at the same moment would otherwise all select the same one of
// several equivalent choices.

#ifndef ORIOLEGRADE_COORDINATION_HOST_SEED_HPP
#define ORIOLEGRADE_COORDINATION_HOST_SEED_HPP

#include <cstdint>
#include <string_view>

namespace oriolegrade::coordination {

/// @param host name, unique in the fleet
/// @return uniformly distributed over the hosts and unchanged by a restart
std::uint64_t host_seed(std::string_view host);

} // namespace oriolegrade::coordination

#endif
