// Lines of requests.

#include <oriolegrade/transport/gateway/request_log.hpp>

#include <oriolegrade/transport/event_log.hpp>

#include <atomic>

namespace oriolegrade::transport {

namespace {

/// Lines of requests that one process writes in a second, of those that were
/// answered and of the others each. Beyond it they are counted, so that a burst
/// of callers costs no burst of log output.
constexpr std::uint32_t most_lines_per_second = 50;

std::int64_t milliseconds_of(state::duration d)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

/// Lines of the second in progress. Shared by all threads.
class line_budget
{
public:
    /// True when one more line fits into this second; otherwise it is counted
    /// as left out.
    bool take()
    {
        const auto now =
            std::chrono::duration_cast<std::chrono::seconds>(
                std::chrono::steady_clock::now().time_since_epoch())
                .count();
        if (second_.exchange(now, std::memory_order_relaxed) != now) {
            lines_.store(0, std::memory_order_relaxed);
        }
        const bool fits = lines_.fetch_add(1, std::memory_order_relaxed) <
                          most_lines_per_second;
        if (!fits) {
            left_out_.fetch_add(1, std::memory_order_relaxed);
        }
        return fits;
    }
    /// Lines left out since the last call.
    std::uint64_t take_left_out()
    {
        return left_out_.exchange(0, std::memory_order_relaxed);
    }

private:
    std::atomic<std::int64_t> second_{0};
    std::atomic<std::uint32_t> lines_{0};
    std::atomic<std::uint64_t> left_out_{0};
};

/// Answered requests are the most by far, and who looks for a request that was
/// refused or failed has nothing but its line.
line_budget& budget_of(request_end end)
{
    static line_budget answered;
    static line_budget others;
    return end == request_end::answered ? answered : others;
}

} // namespace

void request_line::write(request_end end, std::string_view reason) const
{
    const auto level =
        end == request_end::answered ? log_level::info : log_level::warning;
    if (!is_logged(level)) {
        return;
    }
    auto& budget = budget_of(end);
    if (!budget.take()) {
        return;
    }
    std::string upstreams;
    for (const auto& it : sends) {
        upstreams += upstreams.empty() ? "" : ",";
        upstreams += it;
    }
    std::string connection_numbers;
    for (const auto it : connections) {
        connection_numbers += connection_numbers.empty() ? "" : ",";
        connection_numbers += std::to_string(it);
    }
    std::string ends;
    for (const auto it : results) {
        ends += ends.empty() ? "" : ",";
        ends += state::name_of(it);
    }
    event line(level, "request");
    line.with("id", request_id)
        .with("end", state::name_of(end))
        .with("reason", reason)
        .with("ms", milliseconds_of(age()))
        .with("waited_ms",
              milliseconds_of(first_placed ? *first_placed - began : age()))
        .with("rules", rules_version)
        .with("route", route)
        .with("service", service)
        .with("upstreams", upstreams)
        .with("connections", connection_numbers)
        .with("results", ends);
    if (!workspace.empty()) {
        line.with("workspace", workspace);
    }
    if (skipped_answers > 0) {
        line.with("skipped_answers", skipped_answers);
    }
    if (read_behind > 0) {
        line.with("read_behind", read_behind)
            .with("turn_ms", milliseconds_of(turn_wait));
    }
    if (const auto n = budget.take_left_out()) {
        line.with("left_out", n);
    }
}

} // namespace oriolegrade::transport
