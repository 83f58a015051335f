// Guards against audit events that are lost without a record, and against
// exceeding the limits on appends and memory.

#include <oriolegrade/coordination/audit_buffer.hpp>

#include <fakes/fake_clock.hpp>

#include <gtest/gtest.h>

namespace {

using namespace oriolegrade;
using namespace std::chrono_literals;
using state::audit_kind;

state::audit_event event(audit_kind kind, std::string subject)
{
    state::audit_event e;
    e.kind = kind;
    e.subject = std::move(subject);
    return e;
}

// Guards against one append per event.
TEST(audit_buffer, events_wait_for_a_batch)
{
    fakes::fake_clock clock;
    coordination::audit_buffer buffer("h1", 5);
    buffer.set_delay(coordination::audit_delay(810));
    EXPECT_EQ(coordination::audit_delay(810), 16'200ms);
    EXPECT_EQ(coordination::audit_delay(10), 1s);
    buffer.add(event(audit_kind::upstream_ejected, "a"), clock.now());
    clock.advance(15s);
    EXPECT_EQ(buffer.due_batch(clock.now()), nullptr);
    buffer.add(event(audit_kind::change_accepted, "b"), clock.now());
    clock.advance(1s);
    const auto* batch = buffer.due_batch(clock.now());
    ASSERT_NE(batch, nullptr);
    EXPECT_EQ(batch->events.size(), 2U);
    EXPECT_EQ(batch->host, "h1");
}

// Guards against a batch that is changed or counted twice after the
// acknowledgement of its append was lost.
TEST(audit_buffer, unresolved_batch_is_repeated_unchanged)
{
    fakes::fake_clock clock;
    coordination::audit_buffer buffer("h1", 5);
    buffer.add(event(audit_kind::change_accepted, "a"), clock.now());
    clock.advance(1s);
    const auto first = *buffer.due_batch(clock.now());
    buffer.complete_append(state::append_unknown{}, clock.now());
    buffer.add(event(audit_kind::change_accepted, "b"), clock.now());
    EXPECT_EQ(buffer.due_batch(clock.now()), nullptr);
    clock.advance(1s);
    ASSERT_NE(buffer.due_batch(clock.now()), nullptr);
    EXPECT_EQ(*buffer.due_batch(clock.now()), first);
    buffer.complete_append(state::appended{3}, clock.now());
    ASSERT_NE(buffer.due_batch(clock.now()), nullptr);
    EXPECT_EQ(buffer.due_batch(clock.now())->sequence, first.sequence + 1);
    EXPECT_EQ(buffer.due_batch(clock.now())->events[0].subject, "b");
}

// Guards against an outage of the log that exhausts memory, drops operator
// events before fleet events, or leaves dropped events unreported.
TEST(audit_buffer, overflow_drops_fleet_events_first_and_is_recorded)
{
    fakes::fake_clock clock;
    coordination::audit_limits limits;
    limits.max_events = 4;
    coordination::audit_buffer buffer("h1", 5, limits);
    for (const auto* subject : {"a", "b", "c", "d", "e"}) {
        buffer.add(event(audit_kind::upstream_ejected, subject), clock.now());
    }
    buffer.add(event(audit_kind::change_refused, "f"), clock.now());
    EXPECT_EQ(buffer.size(), 4U);
    EXPECT_EQ(buffer.lost(), 2U);
    clock.advance(1s);
    const auto* batch = buffer.due_batch(clock.now());
    ASSERT_NE(batch, nullptr);
    ASSERT_EQ(batch->events.size(), 5U);
    EXPECT_EQ(batch->events[0].subject, "b");
    EXPECT_EQ(batch->events[3].subject, "f");
    EXPECT_EQ(batch->events[4].kind, audit_kind::events_lost);
    EXPECT_EQ(batch->events[4].count, 2U);
}

} // namespace
