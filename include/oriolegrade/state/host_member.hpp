// A host of the fleet, as the other hosts know it.

#ifndef ORIOLEGRADE_STATE_HOST_MEMBER_HPP
#define ORIOLEGRADE_STATE_HOST_MEMBER_HPP

#include <oriolegrade/state/endpoint.hpp>

#include <cstdint>
#include <string>

namespace oriolegrade::state {

struct host_member
{
    std::string name;
    std::string data_centre;
    /// Address for streams from other hosts.
    endpoint control;
    /// CPU share in thousandths of a core; at least 1.
    std::uint32_t cpu_milli = 1000;

    bool operator==(const host_member&) const = default;
};

} // namespace oriolegrade::state

#endif
