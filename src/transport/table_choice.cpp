// Picks, and what attempts teach.

#include <oriolegrade/transport/table_choice.hpp>

#include <oriolegrade/coordination/deadline.hpp>

#include <chrono>

namespace oriolegrade::transport {

namespace {

using coordination::pick_refusal;
using state::attempt_result;

/// Reports larger than this are a fault of the upstream.
constexpr std::uint64_t max_reported_slots = 1U << 16U;

/// Attempts of other threads may take the last place between pick and
/// try_begin().
constexpr int pick_tries = 3;

} // namespace

std::optional<std::uint32_t> slots_in_use(std::string_view report)
{
    const auto slash = report.find('/');
    if (slash == std::string_view::npos) {
        return std::nullopt;
    }
    const auto in_use = protocol::parse_number(report.substr(0, slash));
    const auto slots = protocol::parse_number(report.substr(slash + 1));
    if (!in_use || !slots || *in_use > max_reported_slots) {
        return std::nullopt;
    }
    return static_cast<std::uint32_t>(*in_use);
}

table_choice::table_choice(service_table_ptr table,
                           const state::route_spec& route,
                           state::time_point deadline, thread_choices& thread)
    : table_(std::move(table))
    , route_(route)
    , deadline_(deadline)
    , thread_(thread)
{
    if (table_) {
        table_->controls->budget.deposit();
    }
}

table_choice::table_choice(const table_choice& first,
                           const state::route_spec& route)
    : table_(first.table_)
    , route_(route)
    , deadline_(first.deadline_)
    , thread_(first.thread_)
    , tried_(first.tried_)
{}

table_choice::~table_choice()
{
    if (current_) {
        ended(attempt_result::caller_lost, nullptr, {});
    }
}

void table_choice::begin(const coordination::pick_choice& picked)
{
    const auto& it = table_->picks->candidates[picked.index];
    current_ = picked;
    tried_.push_back(it.address);
    record_.service = table_->controls;
    record_.upstream = it.address;
    record_.request = route_.request;
    record_.began = std::chrono::steady_clock::now();
    record_.slow_fallback = route_.deadline / 2;
    record_.counted = false;
    thread_.evidence->begin(record_);
}

coordination::pick_result table_choice::pick()
{
    constexpr coordination::two_choices_picker picker{};
    const coordination::pick_request request{
        route_.request != state::request_class::non_idempotent, tried_};
    return picker.pick(*table_->picks, request, thread_.random,
                       std::chrono::steady_clock::now());
}

std::optional<chosen_upstream> table_choice::try_next()
{
    for (int i = 0; i < pick_tries; ++i) {
        const auto picked = pick();
        if (!picked) {
            refusal_ = picked.error() == pick_refusal::over_limit
                           ? state::reply_reason::shed
                           : state::reply_reason::no_upstream;
            return std::nullopt;
        }
        const auto index = picked.value().index;
        const auto& it = table_->picks->candidates[index];
        if (it.load->try_begin()) {
            begin(picked.value());
            return chosen_upstream{it.address, it.max_connections,
                                   table_->upstreams[index]};
        }
    }
    refusal_ = state::reply_reason::shed;
    return std::nullopt;
}

std::optional<chosen_upstream> table_choice::next()
{
    if (!table_) {
        return std::nullopt;
    }
    const auto since = std::chrono::steady_clock::now();
    if (!coordination::deadline(deadline_).check(
            since, table_->controls->fastest.value())) {
        refusal_ = state::reply_reason::deadline_not_run;
        return std::nullopt;
    }
    // Requests that wait already come first.
    bool my_turn = thread_.lines.empty(*table_);
    for (;;) {
        if (my_turn) {
            if (auto chosen = try_next()) {
                return chosen;
            }
            if (refusal_ != state::reply_reason::shed) {
                return std::nullopt;
            }
        }
        refusal_ = state::reply_reason::shed;
        if (!thread_.lines.wait({table_, route_.order, deadline_, since})) {
            return std::nullopt;
        }
        my_turn = true;
    }
}

bool table_choice::may_retry()
{
    if (!table_ || tried_.size() >= table_->picks->candidates.size()) {
        return false;
    }
    const auto kind = last_result_ == attempt_result::shed
                          ? coordination::attempt_kind::redirect
                          : coordination::attempt_kind::retry;
    return table_->controls->budget.try_take(kind).has_value();
}

void table_choice::ended(attempt_result result,
                         const protocol::answer_head* head,
                         state::duration took)
{
    last_result_ = result;
    if (!current_) {
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    const auto& it = table_->picks->candidates[current_->index];
    auto& controls = *table_->upstreams[current_->index];
    thread_.evidence->end(
        record_, {result, head ? head->status : std::uint16_t{0}, took});
    if (head != nullptr) {
        take_report(*head, now);
    }
    if (result == attempt_result::answered) {
        controls.limit.on_answer(*it.load, took, now);
        it.load->latency().add(took);
        table_->picks->service->latency.add(took);
        table_->controls->fastest.add(took);
        table_->controls->hedge.add_latency(took);
        table_->picks->service->trust.add(current_->guided, took);
    } else if (result == attempt_result::shed) {
        controls.limit.on_shed(*it.load, now);
    }
    it.load->end();
    current_.reset();
    thread_.lines.place_free(*table_, now);
}

void table_choice::on_hedge(
    const std::function<void(state::duration)>& arm) const
{
    if (!table_ || !arm) {
        return;
    }
    if (const auto delay = table_->controls->hedge.delay(route_.request)) {
        arm(delay.value());
    }
}

bool table_choice::may_hedge()
{
    auto& controls = *table_->controls;
    return static_cast<bool>(
        controls.hedge.start(route_.request, controls.budget));
}

void table_choice::take_report(const protocol::answer_head& head,
                               state::time_point now)
{
    const auto text = head.fields.find(protocol::header_field::load);
    if (const auto n = text ? slots_in_use(*text) : std::nullopt) {
        table_->picks->candidates[current_->index].load->set_report(*n, now);
    }
    if (head.fields.find(protocol::header_field::draining) == "1") {
        thread_.evidence->drain_signal(record_.upstream);
    }
}

} // namespace oriolegrade::transport
