// Formats the results of the load tool.

#include "report.hpp"

#include <boost/json.hpp>

#include <iomanip>
#include <ostream>

namespace oriolegrade::programs {

namespace {

namespace json = boost::json;

struct named_quantile
{
    const char* name;
    double p;
};

constexpr std::array quantiles{
    named_quantile{"p50", 0.5}, named_quantile{"p90", 0.9},
    named_quantile{"p99", 0.99}, named_quantile{"p999", 0.999}};

json::object latency_json(const latency_summary& it)
{
    json::object out{{"count", it.count()}, {"mean", it.mean()}};
    for (const auto& q : quantiles) {
        out[q.name] = it.quantile(q.p);
    }
    out["max"] = it.max();
    return out;
}

std::string outcome_name(std::size_t i)
{
    return i < state::enum_size<state::run_outcome>
               ? std::string(state::name_of(static_cast<state::run_outcome>(i)))
               : "none";
}

/// Calls `visit(class, result, count)` for each count that is not zero.
template <class Visitor>
void for_each_final(const tally_counts& counts, Visitor visit)
{
    for (std::size_t c = 0; c < counts.finals_by_class.size(); ++c) {
        for (std::size_t r = 0; r < counts.finals_by_class[c].size(); ++r) {
            if (counts.finals_by_class[c][r] > 0) {
                visit(state::name_of(static_cast<load_class>(c)),
                      state::name_of(static_cast<final_result>(r)),
                      counts.finals_by_class[c][r]);
            }
        }
    }
}

json::object counts_json(const tally_counts& counts)
{
    json::object finals;
    for_each_final(counts, [&](auto type, auto result, auto n) {
        auto& entry = finals[json::string_view(type.data(), type.size())];
        if (!entry.is_object()) {
            entry.emplace_object();
        }
        entry.get_object()[json::string_view(result.data(), result.size())] = n;
    });
    json::object statuses;
    for (const auto& [status, n] : counts.statuses) {
        statuses[std::to_string(status)] = n;
    }
    json::object outcomes;
    for (std::size_t i = 0; i < counts.outcomes.size(); ++i) {
        outcomes[outcome_name(i)] = counts.outcomes[i];
    }
    json::object ends;
    for (std::size_t i = 0; i < counts.attempt_ends.size(); ++i) {
        const auto name = state::name_of(static_cast<attempt_end>(i));
        ends[json::string_view(name.data(), name.size())] =
            counts.attempt_ends[i];
    }
    return {{"sent", counts.sent},
            {"skipped", counts.skipped},
            {"repeats", counts.repeats},
            {"tokens_from_428", counts.tokens_from_428},
            {"truncated", counts.truncated},
            {"foreign", counts.foreign},
            {"finals", finals},
            {"statuses", statuses},
            {"outcomes", outcomes},
            {"attempts", ends}};
}

json::object audit_json(const audit_result& audit)
{
    json::array unreadable;
    for (const auto& it : audit.unreadable) {
        unreadable.emplace_back(state::to_string(it));
    }
    return {{"duplicates", audit.duplicates},
            {"duplicate_ids", json::value_from(audit.duplicate_ids)},
            {"false_not_run", audit.false_not_run},
            {"false_not_run_after_unknown", audit.false_not_run_after_unknown},
            {"false_not_run_ids", json::value_from(audit.false_not_run_ids)},
            {"ok_never_run", audit.ok_never_run},
            {"once_runs", audit.once_runs},
            {"in_quiet", audit.in_quiet},
            {"while_draining", audit.while_draining},
            {"unreadable", unreadable}};
}

void print_latency(std::ostream& out, const char* name,
                   const latency_summary& it)
{
    out << std::left << std::setw(18) << name << std::right << std::fixed
        << std::setprecision(3);
    for (const auto& q : quantiles) {
        out << std::setw(10) << it.quantile(q.p);
    }
    out << std::setw(10) << it.max() << '\n';
}

void print_audit(std::ostream& out, const audit_result& audit)
{
    out << "runs of non-idempotent requests: " << audit.once_runs
        << "\nduplicates: " << audit.duplicates
        << "\nfalse not-run: " << audit.false_not_run << " ("
        << audit.false_not_run_after_unknown
        << " after an attempt of unknown outcome)"
        << "\nok but never run: " << audit.ok_never_run
        << "\nrequests within wishes for quiet: " << audit.in_quiet
        << "\nrequests at upstreams that drain: " << audit.while_draining
        << '\n';
    for (const auto& it : audit.unreadable) {
        out << "counts not readable: " << state::to_string(it) << '\n';
    }
}

} // namespace

bool load_report::is_clean() const
{
    const auto& counts = results.counts();
    return counts.truncated == 0 && counts.foreign == 0 &&
           (!audit || (audit->duplicates == 0 && audit->false_not_run == 0 &&
                       audit->unreadable.empty()));
}

std::string to_json(const load_report& report)
{
    auto out = counts_json(report.results.counts());
    out["run"] = report.settings.run_id;
    out["rate"] = report.settings.rate;
    out["duration_ms"] = report.settings.duration.count();
    out["latency_ms"] = latency_json(report.results.total_ms());
    out["added_ms"] = latency_json(report.results.added_ms());
    if (report.audit) {
        out["audit"] = audit_json(*report.audit);
    }
    out["clean"] = report.is_clean();
    return json::serialize(out);
}

void print_table(std::ostream& out, const load_report& report)
{
    const auto& counts = report.results.counts();
    out << "sent " << counts.sent << ", skipped " << counts.skipped
        << ", repeats " << counts.repeats << ", tokens from 428 "
        << counts.tokens_from_428 << "\nmilliseconds           p50       p90"
        << "       p99      p999       max\n";
    print_latency(out, "total", report.results.total_ms());
    print_latency(out, "added", report.results.added_ms());
    for_each_final(counts, [&](auto type, auto result, auto n) {
        out << std::left << std::setw(12) << type << std::setw(14) << result
            << std::right << std::setw(10) << n << '\n';
    });
    for (const auto& [status, n] : counts.statuses) {
        out << "status " << status << std::setw(22) << n << '\n';
    }
    for (std::size_t i = 0; i < counts.outcomes.size(); ++i) {
        out << "outcome " << std::left << std::setw(14) << outcome_name(i)
            << std::right << std::setw(10) << counts.outcomes[i] << '\n';
    }
    out << "truncated: " << counts.truncated << "\nforeign: " << counts.foreign
        << '\n';
    if (report.audit) {
        print_audit(out, *report.audit);
    }
    out << (report.is_clean() ? "clean" : "NOT CLEAN") << '\n';
}

} // namespace oriolegrade::programs
