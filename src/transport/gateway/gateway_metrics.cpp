// Text form of the metrics.

#include <oriolegrade/transport/gateway/gateway_metrics.hpp>

#include <algorithm>

namespace oriolegrade::transport {

namespace {

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
    return out;
}

} // namespace oriolegrade::transport
