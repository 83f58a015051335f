// Validates changes against the configuration in force before an operator
// publishes them. The result is advisory: only the acceptance rule decides
// whether a record takes effect.

#ifndef ORIOLEGRADE_COORDINATION_CHANGE_CHECK_HPP
#define ORIOLEGRADE_COORDINATION_CHANGE_CHECK_HPP

#include <oriolegrade/state/configuration.hpp>
#include <oriolegrade/state/finding.hpp>
#include <oriolegrade/state/record_type.hpp>

#include <string>
#include <vector>

namespace oriolegrade::coordination {

/// Checks records that are to be published together, in this order. Reports
/// base revisions that are not in force, routes to unknown services, and a
/// path and method that another route already has.
/// @param places JSON pointer of each record
state::findings check_changes(const state::configuration& current,
                              const std::vector<state::record>& records,
                              const std::vector<std::string>& pointers);

} // namespace oriolegrade::coordination

#endif
