// JSON bodies of the administration API.

#ifndef ORIOLEGRADE_PROTOCOL_ADMIN_JSON_HPP
#define ORIOLEGRADE_PROTOCOL_ADMIN_JSON_HPP

#include <oriolegrade/coordination/change_tracker.hpp>
#include <oriolegrade/coordination/publisher.hpp>
#include <oriolegrade/state/configuration.hpp>
#include <oriolegrade/state/finding.hpp>
#include <oriolegrade/state/health_verdict.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oriolegrade::protocol {

/// A record with the result of its publication; no result for a validation.
struct record_result
{
    state::record_key key;
    state::identifier change_id;
    std::optional<coordination::publish_result> published;
};

std::string encode_findings(const state::findings& list);
std::string encode_results(const std::vector<record_result>& results);
std::string encode_error(std::string_view message);

/// Keys, revisions and change ids of entries, sorted by key.
std::string encode_entry_list(std::vector<state::entry_ptr> entries);
/// The same with bodies.
std::string encode_entries(std::vector<state::entry_ptr> entries);

/// Judgements of changes, in the order given.
std::string
encode_history(const std::vector<coordination::evaluated_record>& changes);

/// A host as an agent sees it.
struct host_status
{
    std::string name;
    std::string data_centre;
    /// `alive`, `suspect`, `dead`, `leaving`, or `listed` when only the
    /// platform's list names it.
    std::string_view state;
    state::endpoint address;
    std::uint64_t applied_offset = 0;
};

std::string encode_hosts(const std::vector<host_status>& hosts);

std::string encode_change(const coordination::change_status& status);

/// Upstreams of all services with the verdicts on them.
std::string encode_upstreams(const state::configuration& conf,
                             const std::vector<state::verdict_set>& verdicts);

} // namespace oriolegrade::protocol

#endif
