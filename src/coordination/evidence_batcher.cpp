// Batching of evidence under a message budget.

#include <oriolegrade/coordination/evidence_batcher.hpp>

#include <algorithm>

namespace oriolegrade::coordination {

namespace {

/// Twice the services of the largest fleet.
constexpr std::size_t max_waiting_services = 1024;

void merge(std::vector<state::evidence_item>& into,
           const state::evidence_item& item)
{
    const auto known =
        std::find_if(into.begin(), into.end(), [&](const auto& it) {
            return it.upstream == item.upstream && it.request == item.request;
        });
    if (known != into.end()) {
        known->counts.add(item.counts);
    } else if (into.size() < state::max_evidence_items) {
        into.push_back(item);
    }
}

} // namespace

bool has_negative_evidence(const state::evidence_batch& batch)
{
    return batch.host_suspects_itself ||
           std::any_of(batch.items.begin(), batch.items.end(),
                       [](const auto& it) {
                           state::evidence_counts good;
                           good[state::evidence_kind::success] =
                               it.counts[state::evidence_kind::success];
                           return it.counts != good;
                       });
}

void evidence_batcher::add(const state::evidence_batch& batch,
                           state::time_point now)
{
    const service_key key{batch.service, batch.schema_version};
    auto it = waiting_.find(key);
    if (it == waiting_.end()) {
        if (waiting_.size() >= max_waiting_services) {
            for (const auto& item : batch.items) {
                dropped_ += item.counts.non_shed();
            }
            return;
        }
        it = waiting_
                 .emplace(key, waiting{batch, now + success_interval_, false})
                 .first;
    } else {
        for (const auto& item : batch.items) {
            merge(it->second.batch.items, item);
        }
        it->second.batch.host_suspects_itself = batch.host_suspects_itself;
    }
    if (has_negative_evidence(batch) ||
        it->second.batch.items.size() >= state::max_evidence_items / 2) {
        it->second.due = now;
        it->second.urgent = true;
    }
}

void evidence_batcher::refill(state::time_point now)
{
    const auto passed = std::chrono::duration<double>(now - refilled_).count();
    const double capacity = std::max(1.0, rate_ / 2);
    tokens_ = std::min(capacity, tokens_ + std::max(passed, 0.0) * rate_);
    refilled_ = now;
}

std::vector<state::evidence_batch>
evidence_batcher::take_due(state::time_point now)
{
    refill(now);
    std::vector<std::map<service_key, waiting>::iterator> due;
    for (auto it = waiting_.begin(); it != waiting_.end(); ++it) {
        if (it->second.due <= now) {
            due.push_back(it);
        }
    }
    std::sort(due.begin(), due.end(), [](const auto& a, const auto& b) {
        return std::pair(!a->second.urgent, a->second.due) <
               std::pair(!b->second.urgent, b->second.due);
    });
    std::vector<state::evidence_batch> batches;
    for (const auto& it : due) {
        if (!it->second.urgent && tokens_ < 1) {
            break;
        }
        // The lower bound limits to two seconds how long a burst of failures
        // delays successes.
        tokens_ = std::max(tokens_ - 1, -2 * rate_);
        batches.push_back(std::move(it->second.batch));
        waiting_.erase(it);
    }
    return batches;
}

state::time_point evidence_batcher::next_due() const
{
    auto next = state::time_point::max();
    for (const auto& [key, it] : waiting_) {
        if (it.urgent) {
            return it.due;
        }
        next = std::min(next, it.due);
    }
    if (next == state::time_point::max() || tokens_ >= 1) {
        return next;
    }
    const std::chrono::duration<double> wait((1 - tokens_) / rate_);
    // Rounded up, so that the token is available at that time.
    return std::max(
        next, refilled_ + std::chrono::ceil<std::chrono::milliseconds>(wait));
}

} // namespace oriolegrade::coordination
