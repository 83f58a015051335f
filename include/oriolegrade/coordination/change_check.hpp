// Checks of a change against the configuration in force, for the operator who
// is about to publish it. They are advice: whether a record is in force is
// decided by the acceptance rule alone.

#ifndef ORIOLEGRADE_COORDINATION_CHANGE_CHECK_HPP
#define ORIOLEGRADE_COORDINATION_CHANGE_CHECK_HPP

#include <oriolegrade/state/configuration.hpp>
#include <oriolegrade/state/finding.hpp>
#include <oriolegrade/state/record_type.hpp>

#include <string>
#include <vector>

namespace oriolegrade::coordination {

/// Findings about records that would be published together, in their order: a
/// base revision that is not in force, a route to a service that does not
/// exist, and a path and method that another route has.
/// @param places JSON pointer of each record
state::findings check_changes(const state::configuration& current,
                              const std::vector<state::record>& records,
                              const std::vector<std::string>& pointers);

} // namespace oriolegrade::coordination

#endif
