// Lines of requests.

#include <oriolegrade/transport/gateway/request_log.hpp>

#include <oriolegrade/transport/event_log.hpp>

#include <atomic>

namespace oriolegrade::transport {

namespace {

/// Lines that one process writes in a second. Beyond it they are counted, so
/// that a burst of callers costs no burst of log output.
class line_allowance
{
public:
    explicit line_allowance(std::uint32_t lines_per_second)
        : lines_per_second_(lines_per_second)
    {}

    /// True when one more line fits into this second.
    bool take()
    {
        const auto now =
            std::chrono::duration_cast<std::chrono::seconds>(
                std::chrono::steady_clock::now().time_since_epoch())
                .count();
        if (second_.exchange(now, std::memory_order_relaxed) != now) {
            lines_.store(0, std::memory_order_relaxed);
        }
        return lines_.fetch_add(1, std::memory_order_relaxed) <
               lines_per_second_;
    }

private:
    const std::uint32_t lines_per_second_;
    std::atomic<std::int64_t> second_{0};
    std::atomic<std::uint32_t> lines_{0};
};

line_allowance usual_lines{50};
/// Requests whose outcome rests on what several sends, or a failed one, came
/// to. Upstreams in trouble and the budget of extra sends bound them.
line_allowance unusual_lines{200};
std::atomic<std::uint64_t> left_out{0};

/// True when an upstream got the request and did not answer it at once.
bool is_unusual(const request_line& line, request_end end)
{
    return !line.sends.empty() &&
           (end != request_end::answered || line.sends.size() > 1);
}

std::int64_t milliseconds_of(state::duration d)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

} // namespace

void request_line::write(request_end end, std::string_view reason) const
{
    const auto level =
        end == request_end::answered ? log_level::info : log_level::warning;
    if (!is_logged(level)) {
        return;
    }
    auto& allowance = is_unusual(*this, end) ? unusual_lines : usual_lines;
    if (!allowance.take()) {
        left_out.fetch_add(1, std::memory_order_relaxed);
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
    if (skipped_answers > 0) {
        line.with("skipped_answers", skipped_answers);
    }
    if (read_behind > 0) {
        line.with("read_behind", read_behind)
            .with("turn_ms", milliseconds_of(turn_wait));
    }
    if (const auto n = left_out.exchange(0, std::memory_order_relaxed)) {
        line.with("left_out", n);
    }
}

} // namespace oriolegrade::transport
