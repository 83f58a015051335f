// Guards against receivers that miss a change between two updates.

#include <oriolegrade/coordination/recent_changes.hpp>

#include <gtest/gtest.h>

namespace {

using namespace oriolegrade;
using state::feed_kind;

state::entry_ptr make_entry(std::uint64_t offset)
{
    return std::make_shared<state::entry>(state::entry{
        {state::record_kind::workspace, "w" + std::to_string(offset), 1},
        1,
        offset,
        {},
        {},
        state::workspace_spec{}});
}

/// History of one change per offset.
coordination::recent_changes history(std::uint64_t count, std::size_t kept)
{
    coordination::recent_changes changes(kept);
    state::configuration conf;
    for (std::uint64_t n = 0; n < count; ++n) {
        const auto it = make_entry(n);
        conf.put(it);
        conf.advance_to(n + 1);
        changes.advance(std::make_shared<state::configuration>(conf), {it}, {});
    }
    return changes;
}

// Guards against a receiver without configuration getting only a difference.
TEST(recent_changes, new_receiver_gets_everything)
{
    const auto update = history(5, 10).update_since(0);
    EXPECT_EQ(update.kind, feed_kind::full);
    EXPECT_EQ(update.entries.size(), 5U);
    EXPECT_EQ(update.next_offset, 5U);
}

// Guards against a difference that starts after what the receiver has.
TEST(recent_changes, receiver_gets_each_change_since_its_offset)
{
    const auto changes = history(8, 4);
    const auto update = changes.update_since(5);
    EXPECT_EQ(update.kind, feed_kind::delta);
    ASSERT_EQ(update.entries.size(), 3U);
    EXPECT_EQ(update.entries.front()->offset, 5U);
    EXPECT_EQ(changes.update_since(4).kind, feed_kind::delta);
    EXPECT_EQ(changes.update_since(3).kind, feed_kind::full);
}

// Guards against differences across a snapshot, whose changes are unknown.
TEST(recent_changes, snapshot_ends_the_history)
{
    auto changes = history(3, 10);
    state::configuration conf;
    conf.put(make_entry(20));
    conf.advance_to(30);
    changes.replace(std::make_shared<state::configuration>(conf));
    EXPECT_EQ(changes.update_since(3).kind, feed_kind::full);
    EXPECT_EQ(changes.update_since(30).kind, feed_kind::delta);
}

} // namespace
