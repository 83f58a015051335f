// Bounded buffer of audit events.

#include <oriolegrade/coordination/audit_buffer.hpp>

#include <algorithm>
#include <cassert>

namespace oriolegrade::coordination {

namespace {

std::size_t bytes_of(const state::audit_event& event)
{
    return event.actor.size() + event.subject.size() + event.detail.size();
}

} // namespace

state::duration audit_delay(std::size_t hosts)
{
    constexpr std::size_t appends_per_second = 50;
    constexpr state::duration min_delay = std::chrono::seconds(1);
    const state::duration share =
        std::chrono::milliseconds(1'000 * hosts / appends_per_second);
    return std::max(min_delay, share);
}

audit_buffer::audit_buffer(std::string host, std::uint64_t incarnation,
                           audit_limits limits)
    : limits_(limits)
{
    assert(limits_.max_batch_events > 0);
    batch_.host = std::move(host);
    batch_.incarnation = incarnation;
}

std::size_t audit_buffer::size() const
{
    return waiting_.size() + batch_.events.size();
}

bool audit_buffer::is_full(std::size_t added_bytes) const
{
    return size() >= limits_.max_events ||
           bytes_ + added_bytes > limits_.max_bytes;
}

void audit_buffer::add(state::audit_event event, state::time_point now)
{
    const auto added_bytes = bytes_of(event);
    const bool by_operator = state::is_operator_event(event.kind);
    while (is_full(added_bytes)) {
        if (!by_operator || !drop_fleet_event()) {
            count_lost(event);
            return;
        }
    }
    bytes_ += added_bytes;
    waiting_.push_back({std::move(event), now});
}

bool audit_buffer::drop_fleet_event()
{
    const auto it = std::find_if(
        waiting_.begin(), waiting_.end(), [](const waiting_event& w) {
            return !state::is_operator_event(w.event.kind);
        });
    if (it == waiting_.end()) {
        return false;
    }
    bytes_ -= bytes_of(it->event);
    count_lost(it->event);
    waiting_.erase(it);
    return true;
}

void audit_buffer::count_lost(const state::audit_event& event)
{
    ++lost_;
    ++lost_total_;
    lost_unix_ms_ = event.unix_ms;
}

bool audit_buffer::has_due_event(state::time_point now) const
{
    if (waiting_.empty()) {
        return false;
    }
    if (waiting_.size() >= limits_.max_batch_events ||
        now - waiting_.front().added >= delay_) {
        return true;
    }
    return std::any_of(waiting_.begin(), waiting_.end(),
                       [&](const waiting_event& w) {
                           return state::is_operator_event(w.event.kind) &&
                                  now - w.added >= limits_.max_operator_delay;
                       });
}

const state::audit_batch* audit_buffer::due_batch(state::time_point now)
{
    if (now < retry_at_) {
        return nullptr;
    }
    if (batch_.events.empty()) {
        if (!has_due_event(now)) {
            return nullptr;
        }
        build_batch();
    }
    return &batch_;
}

void audit_buffer::build_batch()
{
    ++batch_.sequence;
    while (!waiting_.empty() &&
           batch_.events.size() < limits_.max_batch_events) {
        batch_bytes_ += bytes_of(waiting_.front().event);
        batch_.events.push_back(std::move(waiting_.front().event));
        waiting_.pop_front();
    }
    if (lost_ > 0) {
        state::audit_event lost_event;
        lost_event.kind = state::audit_kind::events_lost;
        lost_event.unix_ms = lost_unix_ms_;
        lost_event.count = lost_;
        batch_.events.push_back(std::move(lost_event));
        lost_ = 0;
    }
}

void audit_buffer::complete_append(const state::append_result& result,
                                   state::time_point now)
{
    assert(!batch_.events.empty());
    if (std::holds_alternative<state::appended>(result)) {
        bytes_ -= batch_bytes_;
        batch_bytes_ = 0;
        batch_.events.clear();
        backoff_ = {};
        return;
    }
    backoff_ = backoff_ == state::duration{}
                   ? limits_.initial_backoff
                   : std::min(2 * backoff_, limits_.max_backoff);
    retry_at_ = now + backoff_;
}

} // namespace oriolegrade::coordination
