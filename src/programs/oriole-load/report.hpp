// Table and JSON report of a run.

#ifndef ORIOLEGRADE_PROGRAMS_LOAD_REPORT_HPP
#define ORIOLEGRADE_PROGRAMS_LOAD_REPORT_HPP

#include "load_worker.hpp"
#include "run_audit.hpp"

#include <iosfwd>

namespace oriolegrade::programs {

struct load_report
{
    const load_settings& settings;
    const tally& results;
    /// Empty when no stand-ins were named.
    std::optional<audit_result> audit;

    /// Nothing contradicts the fleet's promises.
    bool is_clean() const;
};

std::string to_json(const load_report& report);
void print_table(std::ostream& out, const load_report& report);

} // namespace oriolegrade::programs

#endif
