// Text form of the metrics.

#include <oriolegrade/transport/gateway/gateway_metrics.hpp>

#include <algorithm>
#include <cmath>

namespace oriolegrade::transport {

namespace {

/// Text of a label value, in which quotes and backslashes are escaped.
std::string escaped(std::string_view text)
{
    std::string out;
    for (const char c : text) {
        if (c == '"' || c == '\\') {
            out += '\\';
        }
        out += c;
    }
    return out;
}

/// One line for each counter of a workspace that is not 0: there are thousands
/// of workspaces with a few reasons each.
template <class Enum, class Counters>
void add_lines(std::string& out, std::string_view name,
               std::string_view workspace, std::string_view label,
               const Counters& counters)
{
    for (std::size_t n = 0; n < counters.size(); ++n) {
        if (const std::uint64_t count = counters[n]; count > 0) {
            out.append("oriole_").append(name).append("{workspace=\"");
            out.append(workspace).append("\",").append(label).append("=\"");
            out.append(state::enum_names<Enum>::value[n]).append("\"} ");
            out.append(std::to_string(count)).append("\n");
        }
    }
}

void add_line(std::string& out, std::string_view name, std::string_view label,
              std::string_view value, std::uint64_t n)
{
    out.append("oriole_").append(name);
    if (!label.empty()) {
        out.append("{").append(label).append("=\"");
        out.append(value).append("\"}");
    }
    out.append(" ").append(std::to_string(n)).append("\n");
}

} // namespace

void gateway_metrics::count(request_end end, state::duration took)
{
    ends_[state::index_of(end)].fetch_add(1, std::memory_order_relaxed);
    const auto ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(took).count();
    const auto it = std::lower_bound(bounds_ms.begin(), bounds_ms.end(), ms);
    latency_[static_cast<std::size_t>(it - bounds_ms.begin())].fetch_add(
        1, std::memory_order_relaxed);
}

void gateway_metrics::set_quotas(const state::quota_holdings& lent,
                                 const state::quota_holdings& borrowed,
                                 double delegated)
{
    const std::array<double, state::enum_size<quota_gauge>> values{
        lent.rate_per_s, lent.cap, borrowed.rate_per_s, borrowed.cap,
        delegated};
    for (std::size_t n = 0; n < values.size(); ++n) {
        quotas_[n].store(values[n], std::memory_order_relaxed);
    }
}

void gateway_metrics::set_workspaces(
    const std::vector<state::traffic_workspace>& all)
{
    const auto old = workspaces_.read();
    if (all.empty() && old->empty()) {
        return;
    }
    auto table = std::make_shared<workspace_table>();
    table->reserve(all.size());
    for (const auto& it : all) {
        const auto known = old->find(it.name);
        table->emplace(it.name, known != old->end()
                                    ? known->second
                                    : std::make_shared<workspace_counters>());
    }
    workspaces_.publish(std::move(table));
}

std::shared_ptr<gateway_metrics::workspace_counters>
gateway_metrics::counters_of(std::string_view workspace) const
{
    const auto table = workspaces_.read();
    const auto it = table->find(workspace);
    return it == table->end() ? nullptr : it->second;
}

void gateway_metrics::count(std::string_view workspace, request_end end)
{
    if (const auto it = counters_of(workspace)) {
        it->ends[state::index_of(end)].fetch_add(1, std::memory_order_relaxed);
    }
}

void gateway_metrics::count(std::string_view workspace,
                            state::reply_reason reason)
{
    if (const auto it = counters_of(workspace)) {
        it->replies[state::index_of(reason)].fetch_add(
            1, std::memory_order_relaxed);
    }
}

void gateway_metrics::count(std::string_view workspace,
                            state::place_refusal_reason reason)
{
    if (const auto it = counters_of(workspace)) {
        it->refusals[state::index_of(reason)].fetch_add(
            1, std::memory_order_relaxed);
    }
}

std::string gateway_metrics::to_text() const
{
    std::string out;
    for (std::size_t n = 0; n < ends_.size(); ++n) {
        add_line(out, "requests_total", "end",
                 state::enum_names<request_end>::value[n], ends_[n]);
    }
    for (std::size_t n = 0; n < sends_.size(); ++n) {
        add_line(out, "sends_total", "result",
                 state::enum_names<state::send_result>::value[n], sends_[n]);
    }
    std::uint64_t sum = 0;
    for (std::size_t n = 0; n < latency_.size(); ++n) {
        sum += latency_[n];
        add_line(out, "request_ms_bucket", "le",
                 n < bounds_ms.size() ? std::to_string(bounds_ms[n]) : "+Inf",
                 sum);
    }
    for (std::size_t n = 0; n < read_ahead_.size(); ++n) {
        add_line(out, "read_ahead_total", "in_front", std::to_string(n + 1),
                 read_ahead_[n]);
    }
    add_line(out, "local_placements_total", "", "", fallbacks_);
    add_line(out, "skipped_answers_total", "", "", skipped_answers_);
    add_line(out, "unknown_keys_total", "", "", unknown_keys_);
    for (std::size_t n = 0; n < quotas_.size(); ++n) {
        const auto value = std::max(0.0, quotas_[n].load());
        add_line(out, "quota", "part", state::enum_names<quota_gauge>::value[n],
                 static_cast<std::uint64_t>(std::llround(value)));
    }
    add_line(out, "caller_memory_bytes", "", "", memory_used_);
    add_line(out, "caller_memory_refusals_total", "", "", memory_refusals_);
    const auto workspaces = workspaces_.read();
    for (const auto& it : *workspaces) {
        const auto name = escaped(it.first);
        add_lines<request_end>(out, "workspace_requests_total", name, "end",
                               it.second->ends);
        add_lines<state::reply_reason>(out, "workspace_refusals_total", name,
                                       "reason", it.second->replies);
        add_lines<state::place_refusal_reason>(out, "workspace_refusals_total",
                                               name, "reason",
                                               it.second->refusals);
    }
    return out;
}

} // namespace oriolegrade::transport
