// Lines of requests.

#include <oriolegrade/transport/gateway/request_log.hpp>

#include <oriolegrade/state/enum_names.hpp>
#include <oriolegrade/transport/event_log.hpp>

#include <array>
#include <atomic>
#include <functional>

namespace oriolegrade::transport {

/// Kinds of lines that do not displace each other.
enum class line_kind : std::uint8_t
{
    /// Answered by the first upstream that got the request: the most by far.
    answered,
    /// Ended without a send. A storm of callers can bring any number.
    unsent,
    /// Sent more than once, or sent and not answered. What callers were told
    /// rests on what became of the sends. Upstreams in trouble and the budget
    /// of extra sends bound their number.
    doubtful,
};

} // namespace oriolegrade::transport

namespace oriolegrade::state {

template <>
struct enum_names<transport::line_kind>
{
    static constexpr std::array<std::string_view, 3> value{"answered", "unsent",
                                                           "doubtful"};
};

} // namespace oriolegrade::state

namespace oriolegrade::transport {

namespace {

/// Lines that one process writes in a second, by kind. Beyond it they are
/// counted, so that a burst of callers costs no burst of log output.
constexpr std::array<std::uint32_t, state::enum_size<line_kind>>
    most_lines_per_second{50, 50, 200};

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
    bool take(std::uint32_t most)
    {
        const auto now =
            std::chrono::duration_cast<std::chrono::seconds>(
                std::chrono::steady_clock::now().time_since_epoch())
                .count();
        if (second_.exchange(now, std::memory_order_relaxed) != now) {
            lines_.store(0, std::memory_order_relaxed);
        }
        const bool fits = lines_.fetch_add(1, std::memory_order_relaxed) < most;
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

line_kind kind_of(const request_line& line, request_end end)
{
    const bool is_answered = end == request_end::answered;
    if (line.sends.empty() && !is_answered) {
        return line_kind::unsent;
    }
    return is_answered && line.sends.size() <= 1 ? line_kind::answered
                                                 : line_kind::doubtful;
}

line_budget& budget_of(line_kind kind)
{
    static std::array<line_budget, state::enum_size<line_kind>> budgets;
    return budgets[state::index_of(kind)];
}

/// Texts of the items, separated by commas.
template <class Item, class TextOf>
std::string joined(const std::vector<Item>& items, TextOf text_of)
{
    std::string out;
    for (const auto& it : items) {
        out += out.empty() ? "" : ",";
        out += text_of(it);
    }
    return out;
}

} // namespace

void request_line::write(request_end end, std::string_view reason) const
{
    const auto level =
        end == request_end::answered ? log_level::info : log_level::warning;
    if (!is_logged(level)) {
        return;
    }
    const auto kind = kind_of(*this, end);
    auto& budget = budget_of(kind);
    if (!budget.take(most_lines_per_second[state::index_of(kind)])) {
        return;
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
        .with("upstreams", joined(sends, std::identity()))
        .with("kinds", joined(kinds, state::name_of<state::send_kind>))
        .with("connections",
              joined(connections, [](auto it) { return std::to_string(it); }))
        .with("results", joined(results, state::name_of<state::send_result>));
    if (answer_began) {
        line.with("answer_ms", milliseconds_of(*answer_began - began));
    }
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
