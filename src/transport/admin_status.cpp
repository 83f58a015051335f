// Status answers of the administration API: hosts, audit and metrics.

#include <oriolegrade/transport/admin_api.hpp>

#include <oriolegrade/protocol/audit_json.hpp>

#include <boost/lexical_cast/try_lexical_convert.hpp>

#include <algorithm>

namespace oriolegrade::transport {

namespace {

using coordination::publish_outcome;
using state::audit_kind;

/// Events of one answer.
constexpr std::size_t max_listed_events = 1'000;
/// Findings named in the audit event of a malformed file.
constexpr std::size_t max_named_findings = 3;

audit_kind kind_of(publish_outcome outcome)
{
    switch (outcome) {
    case publish_outcome::accepted:
        return audit_kind::change_accepted;
    case publish_outcome::refused:
        return audit_kind::change_refused;
    case publish_outcome::not_published:
        return audit_kind::change_not_published;
    case publish_outcome::unresolved:
        return audit_kind::change_unresolved;
    }
    return audit_kind::change_unresolved;
}

std::string detail_of(const coordination::publish_result& result)
{
    switch (result.outcome) {
    case publish_outcome::accepted:
        return "offset=" + std::to_string(result.offset) +
               " revision=" + std::to_string(result.decision.revision);
    case publish_outcome::refused:
        return "offset=" + std::to_string(result.offset) +
               " reason=stale_base winner=" + result.decision.winner +
               " winner_change=" + to_string(result.decision.winner_change);
    case publish_outcome::not_published:
        return "reason=log_unavailable";
    case publish_outcome::unresolved:
        return "reason=answer_lost";
    }
    return {};
}

std::string_view state_of(const coordination::member& it)
{
    if (!it.has_gossip) {
        return "listed";
    }
    if (it.info.state != state::member_state::dead && it.is_leaving()) {
        return "leaving";
    }
    return state::name_of(it.info.state);
}

protocol::host_status to_status(const state::member_info& it,
                                std::string_view state)
{
    return {it.name, it.data_centre, state, it.gossip, it.next_offset};
}

/// Number behind `key` in the query of a target, or 0.
std::uint64_t query_number(std::string_view target, std::string_view key)
{
    const auto query = target.substr(std::min(target.find('?'), target.size()));
    auto place = query.find(key);
    std::uint64_t number = 0;
    if (place == std::string_view::npos) {
        return number;
    }
    place += key.size();
    const auto digits = query.substr(place, query.find('&', place) - place);
    return boost::conversion::try_lexical_convert(digits, number) ? number : 0;
}

/// Text of the Prometheus exposition format.
class exposition
{
public:
    void gauge(std::string_view name, std::uint64_t value)
    {
        line("gauge", name, value);
    }
    void counter(std::string_view name, std::uint64_t value)
    {
        line("counter", name, value);
    }
    void summary(std::string_view name, const latency_summary& it)
    {
        const std::string key(name);
        text_ += "# TYPE " + key + " summary\n";
        text_ +=
            key + "{quantile=\"0.5\"} " + std::to_string(it.median()) + "\n";
        text_ += key + "{quantile=\"0.99\"} " + std::to_string(it.p99()) + "\n";
        text_ += key + "_sum " + std::to_string(it.sum()) + "\n";
        text_ += key + "_count " + std::to_string(it.count()) + "\n";
    }
    std::string take()
    {
        return std::move(text_);
    }

private:
    void line(std::string_view type, std::string_view name, std::uint64_t value)
    {
        const std::string key(name);
        text_ += "# TYPE " + key + " " + std::string(type) + "\n";
        text_ += key + " " + std::to_string(value) + "\n";
    }

    std::string text_;
};

} // namespace

void admin_api::audit_result(const protocol::record_result& result,
                             const std::string& operator_name)
{
    state::audit_event event;
    event.kind = kind_of(result.published->outcome);
    event.actor = operator_name;
    event.subject =
        std::string(state::name_of(result.key.kind)) + "/" + result.key.name;
    event.change_id = result.change_id;
    event.detail =
        "schema_version=" + std::to_string(result.key.schema_version) + " " +
        detail_of(*result.published);
    audit_.add(std::move(event));
}

void admin_api::audit_invalid(const state::findings& findings,
                              const std::string& operator_name)
{
    state::audit_event event;
    event.kind = audit_kind::change_invalid;
    event.actor = operator_name;
    event.subject = "records";
    event.detail = "findings=" + std::to_string(findings.items().size());
    const auto named = std::min(findings.items().size(), max_named_findings);
    for (std::size_t n = 0; n < named; ++n) {
        const auto& it = findings.items()[n];
        event.detail +=
            " " + it.place + "=" + std::string(state::name_of(it.code));
    }
    audit_.add(std::move(event));
}

http_answer admin_api::show_history(std::string_view kind,
                                    std::string_view name) const
{
    const auto wanted = state::enum_from_name<state::record_kind>(kind);
    const auto changes = wanted
                             ? configuration_.changes().history(*wanted, name)
                             : std::vector<coordination::evaluated_record>();
    if (changes.empty()) {
        return json_answer(404, protocol::encode_error("no such change"));
    }
    return json_answer(200, protocol::encode_history(changes));
}

http_answer admin_api::list_hosts() const
{
    const auto& members = membership_.members();
    std::vector<protocol::host_status> hosts;
    hosts.push_back(to_status(members.self(),
                              members.self().leaving ? "leaving" : "alive"));
    for (const auto& [name, it] : members.members().all()) {
        hosts.push_back(to_status(it.info, state_of(it)));
    }
    std::sort(hosts.begin(), hosts.end(),
              [](const auto& a, const auto& b) { return a.name < b.name; });
    return json_answer(200, protocol::encode_hosts(hosts));
}

http_answer admin_api::list_audit(std::string_view target) const
{
    std::uint64_t next = 0;
    const auto events =
        audit_.recent(query_number(target, "from="), max_listed_events, next);
    return json_answer(
        200, protocol::encode_audit_events(settings_.name, events, next));
}

http_answer admin_api::metrics() const
{
    const auto& conf = *configuration_.current();
    exposition out;
    out.gauge("oriole_configuration_next_offset", conf.next_offset());
    out.gauge("oriole_configuration_entries", conf.size());
    out.gauge("oriole_configuration_skipped_records",
              configuration_.skipped().size());
    out.gauge("oriole_configuration_reader",
              configuration_.is_reader() ? 1 : 0);
    out.gauge("oriole_log_available", configuration_.log_available() ? 1 : 0);
    out.gauge("oriole_members_live", membership_.members().live().size());
    out.gauge("oriole_audit_waiting_events", audit_.buffer().size());
    out.counter("oriole_audit_lost_events_total", audit_.buffer().lost());
    const auto& gossip = membership_.traffic();
    out.counter("oriole_gossip_sent_bytes_total", gossip.sent_bytes);
    out.counter("oriole_gossip_received_bytes_total", gossip.received_bytes);
    out.counter("oriole_gossip_sent_datagrams_total", gossip.sent_datagrams);
    out.counter("oriole_gossip_received_datagrams_total",
                gossip.received_datagrams);
    out.counter("oriole_gossip_refused_datagrams_total",
                gossip.refused_datagrams);
    out.counter("oriole_push_sent_bytes_total", push_.traffic().sent_bytes);
    out.counter("oriole_push_received_bytes_total",
                push_.traffic().received_bytes);
    out.counter("oriole_push_gaps_total", push_.traffic().gaps);
    out.summary("oriole_append_seconds", configuration_.log().append_latency());
    out.summary("oriole_apply_seconds", configuration_.apply_latency());
    out.summary("oriole_publish_seconds", configuration_.publish_latency());
    return text_answer(200, out.take());
}

} // namespace oriolegrade::transport
