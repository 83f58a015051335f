// Guards against delayed negative evidence, and against successes that use one
// message per service and interval regardless of the budget.

#include <oriolegrade/coordination/evidence_batcher.hpp>

#include <gtest/gtest.h>

namespace {

using namespace oriolegrade;
using namespace oriolegrade::coordination;
using namespace std::chrono_literals;
using state::evidence_kind;

const state::time_point start{1h};

state::evidence_batch batch_of(const std::string& service, evidence_kind kind)
{
    state::evidence_batch batch;
    batch.service = service;
    batch.items.emplace_back();
    batch.items.back().counts[kind] = 1;
    return batch;
}

// Guards against a failure that is sent before earlier successes, or that is
// delayed by the budget.
TEST(evidence_batcher, failures_are_sent_at_once_with_pending_successes)
{
    evidence_batcher batcher(200ms, 2);
    batcher.add(batch_of("a", evidence_kind::success), start);
    EXPECT_TRUE(batcher.take_due(start).empty());
    for (int n = 0; n < 10; ++n) {
        batcher.add(batch_of("a", evidence_kind::failure), start);
        EXPECT_EQ(batcher.next_due(), start);
        const auto due = batcher.take_due(start);
        ASSERT_EQ(due.size(), 1U);
        const auto& counts = due[0].items[0].counts;
        EXPECT_EQ(counts[evidence_kind::success], n == 0 ? 1U : 0U);
        EXPECT_EQ(counts[evidence_kind::failure], 1U);
    }
}

// Guards against exceeding the budget, and against a service whose successes
// are never sent.
TEST(evidence_batcher, successes_of_many_services_stay_within_budget)
{
    constexpr double budget = 20;
    evidence_batcher batcher(200ms, budget);
    std::map<std::string, std::uint32_t> sent;
    std::size_t messages = 0;
    auto now = start;
    for (; now < start + 100s; now += 10ms) {
        batcher.add(
            batch_of(std::to_string(now.time_since_epoch() / 10ms % 490),
                     evidence_kind::success),
            now);
        for (const auto& it : batcher.take_due(now)) {
            ++messages;
            sent[it.service] += it.items[0].counts[evidence_kind::success];
        }
    }
    EXPECT_LE(static_cast<double>(messages), 100 * budget + budget);
    EXPECT_EQ(sent.size(), 490U);
    for (const auto& [service, count] : sent) {
        EXPECT_GE(count, 10U) << service;
    }
}

// Guards against successes that are delayed although the budget covers all
// services, as in a small fleet.
TEST(evidence_batcher, successes_of_few_services_wait_only_for_the_interval)
{
    evidence_batcher batcher(200ms, 20);
    for (auto now = start; now < start + 10s; now += 200ms) {
        for (const auto* it : {"a", "b", "c", "d"}) {
            batcher.add(batch_of(it, evidence_kind::success), now);
        }
        EXPECT_EQ(batcher.next_due(), now + 200ms);
        EXPECT_EQ(batcher.take_due(now + 200ms).size(), 4U);
    }
    EXPECT_EQ(batcher.next_due(), state::time_point::max());
}

} // namespace
