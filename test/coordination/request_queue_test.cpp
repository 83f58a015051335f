// Guards against waiters that are lost, kept too long or served in the wrong
// order.

#include <oriolegrade/coordination/request_queue.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace {

using namespace oriolegrade;
using namespace std::chrono_literals;
using coordination::queue_refusal;
using state::priority;

using queue = coordination::request_queue<int>;

constexpr state::time_point start{10s};

/// Records the waiters that the queue dropped.
struct fake_dropper
{
    std::map<int, queue_refusal>* dropped;

    void operator()(int waiter, queue_refusal reason) const
    {
        dropped->emplace(waiter, reason);
    }
};

// Guards against a waiter that is neither served nor refused, or both, and
// against one that waits longer than its limit.
RC_GTEST_PROP(request_queue, every_waiter_has_one_end, ())
{
    coordination::request_queue_options options;
    options.capacity = *rc::gen::inRange<std::size_t>(1, 8);
    queue q(options);
    std::map<int, queue_refusal> dropped;
    std::map<int, state::time_point> queued;
    std::size_t popped = 0;
    std::size_t refused = 0;
    auto now = start;
    for (int i = 0; i < 100; ++i) {
        now += *rc::gen::inRange(0, 200) * 1ms;
        if (*rc::gen::arbitrary<bool>()) {
            const auto order = static_cast<priority>(*rc::gen::inRange(0, 3));
            if (q.push(i, order, now + 300ms, now, fake_dropper{&dropped})) {
                queued[i] = now;
            } else {
                ++refused;
            }
        } else if (const auto got = q.pop(now, fake_dropper{&dropped})) {
            ++popped;
            RC_ASSERT(dropped.count(*got) == 0U);
            RC_ASSERT(now - queued.at(*got) < 300ms);
        }
        RC_ASSERT(q.size() <= options.capacity);
    }
    RC_ASSERT(queued.size() == popped + dropped.size() + q.size());
}

// Guards against low priority served before high, and against serving the
// oldest under overload, when most of those callers have gone.
TEST(request_queue, orders_by_priority_then_age_and_newest_under_overload)
{
    queue q;
    std::map<int, queue_refusal> dropped;
    const fake_dropper drop{&dropped};
    const auto push = [&](int n, priority p, state::time_point at) {
        EXPECT_TRUE(q.push(n, p, at + 10s, at, drop));
    };
    push(1, priority::normal, start);
    push(2, priority::normal, start);
    push(3, priority::high, start);
    EXPECT_EQ(q.pop(start, drop), 3);
    EXPECT_EQ(q.pop(start, drop), 1);
    push(4, priority::normal, start + 90ms);
    push(5, priority::normal, start + 95ms);
    EXPECT_EQ(q.pop(start + 120ms, drop), 5);
    EXPECT_EQ(dropped.at(2), queue_refusal::waited_too_long);
}

// Guards against a full queue that refuses high-priority work in favour of
// low-priority work.
TEST(request_queue, high_priority_displaces_low)
{
    coordination::request_queue_options options;
    options.capacity = 1;
    queue q(options);
    std::map<int, queue_refusal> dropped;
    const fake_dropper drop{&dropped};
    EXPECT_TRUE(q.push(1, priority::low, start + 1s, start, drop));
    EXPECT_TRUE(q.push(2, priority::high, start + 1s, start, drop));
    EXPECT_EQ(dropped.at(1), queue_refusal::displaced);
    EXPECT_EQ(q.push(3, priority::high, start + 1s, start, drop).error(),
              queue_refusal::full);
    EXPECT_EQ(q.push(4, priority::high, start, start, drop).error(),
              queue_refusal::deadline_passed);
}

} // namespace
