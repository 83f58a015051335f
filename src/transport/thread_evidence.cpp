// Counting of one thread's evidence.

#include <oriolegrade/transport/thread_evidence.hpp>

#include <algorithm>
#include <chrono>

namespace oriolegrade::transport {

namespace {

using state::attempt_result;
using state::evidence_kind;

constexpr std::uint16_t first_server_error = 500;
/// Shorter waits for a connection end with the caller's deadline and say
/// nothing: a connect to a healthy upstream takes about 1 ms.
constexpr std::chrono::milliseconds judged_connect_wait{50};

} // namespace

std::optional<evidence_kind> evidence_of(const attempt_end& end)
{
    switch (end.result) {
    case attempt_result::answered:
        return end.status >= first_server_error ? evidence_kind::failure
                                                : evidence_kind::success;
    case attempt_result::shed:
        return evidence_kind::shed;
    case attempt_result::lost:
    case attempt_result::faulted:
    case attempt_result::expired:
        return evidence_kind::failure;
    case attempt_result::not_sent:
        return evidence_kind::connect_failure;
    case attempt_result::expired_unsent:
        if (end.took < judged_connect_wait) {
            return std::nullopt;
        }
        return evidence_kind::connect_failure;
    case attempt_result::caller_lost:
        return std::nullopt;
    }
    return std::nullopt;
}

void thread_evidence::end(attempt_record& it, const attempt_end& how)
{
    running_.erase(running_.iterator_to(it));
    auto kind = evidence_of(how);
    if (kind == evidence_kind::success) {
        auto& baseline = baseline_of(it);
        if (how.took > baseline.slow_limit(it.slow_fallback)) {
            kind = evidence_kind::slow;
        }
        baseline.add(how.took);
    }
    if (kind && !it.counted) {
        count(it, *kind);
    }
}

void thread_evidence::drain_signal(const state::endpoint& upstream)
{
    const std::lock_guard lock(mutex_);
    if (std::find(draining_.begin(), draining_.end(), upstream) ==
        draining_.end()) {
        draining_.push_back(upstream);
    }
}

void thread_evidence::count_hanging(state::time_point now)
{
    for (auto& it : running_) {
        if (!it.counted &&
            now - it.began > baseline_of(it).slow_limit(it.slow_fallback)) {
            it.counted = true;
            count(it, evidence_kind::slow);
        }
    }
}

collected_evidence thread_evidence::collect()
{
    collected_evidence out;
    const std::lock_guard lock(mutex_);
    for (auto& [service, buffer] : buffers_) {
        if (!buffer.empty()) {
            out.services.push_back({service, buffer.take()});
        }
    }
    out.draining.swap(draining_);
    return out;
}

void thread_evidence::count(const attempt_record& it, evidence_kind kind)
{
    const std::lock_guard lock(mutex_);
    buffers_[it.service].add(it.upstream, it.request, kind);
}

coordination::latency_baseline&
thread_evidence::baseline_of(const attempt_record& it)
{
    return baselines_[{it.service.get(), it.request}];
}

} // namespace oriolegrade::transport
