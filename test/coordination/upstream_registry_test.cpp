// Guards against requests to upstreams that were removed, and against the loss
// of live upstreams because of delayed, unreadable or missing entries.

#include <oriolegrade/coordination/upstream_registry.hpp>

#include <gtest/gtest.h>

namespace {

using namespace oriolegrade;
using namespace std::chrono_literals;
using coordination::upstream_registry;
using state::registration_state;
using state::registry_change_kind;

constexpr state::time_point start{1000s};

state::registry_change
written(const std::string& id, std::uint64_t sequence, std::uint64_t born = 1,
        registration_state how = registration_state::ready)
{
    state::registered_upstream it;
    it.id = id;
    it.service = "s";
    it.address = {0x0a000001, 80};
    it.data_centre = "dc";
    it.state = how;
    it.born = born;
    it.sequence = sequence;
    return {registry_change_kind::written, id, it};
}

state::registry_change removed(const std::string& id)
{
    return {registry_change_kind::removed, id, {}};
}

std::size_t count(const upstream_registry& registry)
{
    return registry.upstreams_of("s").size();
}

// Guards against rebuilding the placement at every heartbeat.
TEST(upstream_registry, heartbeat_is_not_a_change)
{
    upstream_registry registry;
    registry.apply(written("a", 1), start);
    const auto revision = registry.revision();
    registry.apply(written("a", 2), start + 1s);
    EXPECT_EQ(registry.revision(), revision);
}

// Guards against an older entry that overwrites the draining state.
TEST(upstream_registry, delayed_entry_does_not_end_draining)
{
    upstream_registry registry;
    registry.apply(written("a", 5, 1, registration_state::draining), start);
    registry.apply(written("a", 4), start);
    EXPECT_EQ(registry.upstreams_of("s").at(0).state,
              registration_state::draining);
}

// Guards against ignoring a restarted upstream, whose sequence starts again.
TEST(upstream_registry, new_incarnation_restarts_sequence)
{
    upstream_registry registry;
    registry.apply(written("a", 90, 1, registration_state::draining), start);
    registry.apply(written("a", 1, 2), start);
    EXPECT_EQ(registry.upstreams_of("s").at(0).state,
              registration_state::ready);
}

// Guards against a delayed entry that restores a removed upstream.
TEST(upstream_registry, delayed_entry_does_not_restore_a_removed_upstream)
{
    upstream_registry registry;
    registry.apply(written("a", 5), start);
    registry.apply(removed("a"), start + 1s);
    registry.apply(written("a", 5), start + 2s);
    EXPECT_EQ(count(registry), 0U);
    registry.apply(written("a", 6), start + 3s);
    EXPECT_EQ(count(registry), 1U);
}

// Guards against losing an upstream when its new entry cannot be parsed.
TEST(upstream_registry, unreadable_entry_does_not_hide_a_valid_one)
{
    upstream_registry registry;
    registry.apply(written("a", 1), start);
    registry.apply({registry_change_kind::unreadable, "a", {}}, start);
    registry.replace({{registry_change_kind::unreadable, "a", {}}}, start);
    EXPECT_EQ(count(registry), 1U);
}

// Guards against keeping upstreams that the complete registry does not contain.
TEST(upstream_registry, replace_removes_missing_entries)
{
    upstream_registry registry;
    registry.apply(written("a", 1), start);
    registry.apply(written("b", 1), start);
    registry.replace({written("b", 2)}, start + 1s);
    ASSERT_EQ(count(registry), 1U);
    EXPECT_EQ(registry.upstreams_of("s").at(0).id, "b");
}

// Guards against removing live upstreams whose entries lapsed because they
// could not send heartbeats while the store was unavailable.
TEST(upstream_registry, entries_lapsed_during_an_outage_get_a_grace_period)
{
    upstream_registry registry;
    registry.apply(written("a", 1), start);
    registry.apply(written("b", 1), start);
    registry.read_failed(start + 1s);
    registry.read_succeeded(start + 9s);
    registry.apply(removed("a"), start + 9s);
    registry.apply(removed("b"), start + 9s);
    EXPECT_EQ(count(registry), 2U);
    // If only this host was disconnected, other hosts have newer data.
    EXPECT_TRUE(registry.has_lapsed_entries());
    registry.apply(written("a", 2), start + 10s);
    registry.advance(start + 9s + coordination::reregistration_grace);
    ASSERT_EQ(count(registry), 1U);
    EXPECT_EQ(registry.upstreams_of("s").at(0).id, "a");
    EXPECT_FALSE(registry.has_lapsed_entries());
}

// Guards against delaying a removal after a read failure that is too short to
// let an entry lapse.
TEST(upstream_registry, short_read_failure_does_not_delay_removal)
{
    upstream_registry registry;
    registry.apply(written("a", 1), start);
    registry.read_failed(start + 1s);
    registry.read_succeeded(start + 2s);
    registry.apply(removed("a"), start + 2s);
    EXPECT_EQ(count(registry), 0U);
}

} // namespace
