// Compares what callers were told with what the stand-ins ran.

#ifndef ORIOLEGRADE_PROGRAMS_LOAD_RUN_AUDIT_HPP
#define ORIOLEGRADE_PROGRAMS_LOAD_RUN_AUDIT_HPP

#include "tally.hpp"

#include <boost/asio/io_context.hpp>

namespace oriolegrade::programs {

struct audit_result
{
    /// Runs beyond the first of non-idempotent requests, over all stand-ins.
    std::uint64_t duplicates = 0;
    std::vector<std::string> duplicate_ids;
    /// Requests reported not-run that a stand-in ran.
    std::uint64_t false_not_run = 0;
    /// Those among them with an earlier attempt of unknown outcome.
    std::uint64_t false_not_run_after_unknown = 0;
    std::vector<std::string> false_not_run_ids;
    /// Non-idempotent requests answered with success that no stand-in ran.
    std::uint64_t ok_never_run = 0;
    std::uint64_t once_runs = 0;
    /// Requests that the stand-ins got, since their start, while they wanted
    /// none; see oriole-standin's /control.
    std::uint64_t in_quiet = 0;
    std::uint64_t while_draining = 0;
    /// Stand-ins whose counts could not be read: nothing is proved.
    std::vector<state::endpoint> unreadable;
};

/// Reads the counts of the run from the stand-ins. Call on a fiber thread.
audit_result audit_runs(boost::asio::io_context& ioc,
                        const std::vector<state::endpoint>& upstreams,
                        const std::string& run_id, const tally_counts& counts);

} // namespace oriolegrade::programs

#endif
