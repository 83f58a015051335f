// Guards against hosts that lose, repeat or revert configuration when the log
// fails, is trimmed or contains records that they cannot decode.

#include <oriolegrade/coordination/configuration_follower.hpp>
#include <oriolegrade/coordination/feed.hpp>
#include <oriolegrade/coordination/log_snapshots.hpp>

#include <fakes/fake_clock.hpp>
#include <fakes/fake_log.hpp>
#include <fakes/fake_record.hpp>
#include <fakes/seeded_random.hpp>

#include <gtest/gtest.h>

namespace {

using namespace oriolegrade;
using namespace oriolegrade::fakes;
using coordination::configuration_stream;
using coordination::follow_result;

/// Returns the snapshot that the test has set.
struct fake_snapshot_source
{
    std::optional<state::configuration_snapshot> content;

    std::optional<state::configuration_snapshot> newest() const
    {
        return content;
    }
};

struct host
{
    explicit host(fake_log_store& store, std::uint32_t newest_version = 1)
        : log(store)
        , follower(log, snapshots, fake_decoder{newest_version})
    {}

    follow_result read()
    {
        return follower.read(change);
    }
    const state::configuration& conf() const
    {
        return *follower.state().current();
    }

    fake_log log;
    fake_snapshot_source snapshots;
    coordination::configuration_follower<fake_log, fake_snapshot_source>
        follower;
    coordination::configuration_change change;
};

void put(fake_log_store& store, const state::record& rec)
{
    store.append(configuration_stream, encode(rec));
}

void expect_equal(const host& a, const host& b, std::uint64_t seed)
{
    const auto x = a.follower.state().snapshot();
    const auto y = b.follower.state().snapshot();
    ASSERT_TRUE(x && y);
    EXPECT_EQ(x->next_offset, y->next_offset) << seed;
    EXPECT_EQ(x->deferred, y->deferred) << seed;
    ASSERT_EQ(x->entries.size(), y->entries.size()) << seed;
    for (std::size_t n = 0; n < x->entries.size(); ++n) {
        EXPECT_EQ(*x->entries[n], *y->entries[n]) << seed;
    }
}

// Guards against a host that stops at an invalid record between two valid
// ones.
TEST(configuration_follower, undecodable_record_is_skipped_and_reported)
{
    fake_log_store store;
    put(store, workspace_record("a", 0, 1, "ann"));
    store.append(configuration_stream, "?");
    put(store, workspace_record("b", 0, 2, "bo"));
    host h(store);
    EXPECT_EQ(h.read(), follow_result::advanced);
    EXPECT_EQ(h.change.changed.size(), 2U);
    ASSERT_EQ(h.change.skipped.size(), 1U);
    EXPECT_EQ(h.change.skipped[0].offset, 1U);
    EXPECT_EQ(h.conf().next_offset(), 3U);
    EXPECT_EQ(h.read(), follow_result::at_end);
}

// Guards against a record of a later schema version that replaces the entry
// that an old binary uses, or that is lost when a new binary starts from the
// old one's snapshot.
TEST(configuration_follower, later_schema_versions_are_preserved_by_old_binary)
{
    fake_log_store store;
    put(store, workspace_record("a", 0, 1, "ann", 1));
    put(store, workspace_record("a", 0, 2, "ann", 2));
    put(store, workspace_record("a", 1, 3, "bo", 2));
    host old_host(store, 1);
    old_host.read();
    EXPECT_EQ(old_host.conf().find_workspace("a")->change_id.low, 1U);
    ASSERT_EQ(old_host.follower.state().skipped().size(), 2U);

    host new_host(store, 2);
    coordination::configuration_change change;
    const auto snapshot = old_host.follower.state().snapshot();
    ASSERT_TRUE(snapshot);
    EXPECT_TRUE(new_host.follower.restore(*snapshot, change));
    EXPECT_EQ(new_host.conf().find_workspace("a")->change_id.low, 3U);
    EXPECT_EQ(new_host.conf().find_workspace("a")->revision, 2U);
    EXPECT_EQ(new_host.conf().next_offset(), 3U);
}

// Guards against a slow host that stops permanently, or uses wrong content,
// when the log is trimmed past its offset.
TEST(configuration_follower, trimmed_log_needs_a_newer_snapshot)
{
    fake_log_store store;
    host fast(store);
    host slow(store);
    put(store, workspace_record("a", 0, 1, "ann"));
    fast.read();
    slow.read();
    slow.snapshots.content = slow.follower.state().snapshot();
    put(store, workspace_record("a", 1, 2, "ann"));
    put(store, workspace_record("a", 2, 3, "ann"));
    fast.read();
    store.trim(configuration_stream, 2);
    // The snapshot that the slow host finds is not newer than its own state.
    EXPECT_EQ(slow.read(), follow_result::needs_snapshot);
    EXPECT_EQ(slow.conf().next_offset(), 1U);
    slow.snapshots.content = fast.follower.state().snapshot();
    EXPECT_EQ(slow.read(), follow_result::restored);
    EXPECT_EQ(slow.change.changed.size(), 1U);
    EXPECT_EQ(slow.conf().find_workspace("a")->revision, 3U);
}

// Guards against configuration that reverts on a host that was paused and then
// receives old messages.
TEST(configuration_follower, old_snapshots_and_batches_never_revert)
{
    fake_log_store store;
    host h(store);
    put(store, workspace_record("a", 0, 1, "ann"));
    h.read();
    const auto old_snapshot = h.follower.state().snapshot();
    put(store, workspace_record("a", 1, 2, "ann"));
    h.read();
    coordination::configuration_change change;
    EXPECT_FALSE(h.follower.restore(*old_snapshot, change));
    const state::record_batch old_batch{
        0, 1, {{0, encode(workspace_record("a", 0, 9, "bo"))}}};
    EXPECT_EQ(h.follower.receive(old_batch, change),
              coordination::batch_result::nothing_new);
    EXPECT_EQ(h.conf().find_workspace("a")->change_id.low, 2U);
    EXPECT_EQ(h.follower.receive({5, 6, {}}, change),
              coordination::batch_result::gap);
    h.log.reads_unavailable = true;
    EXPECT_EQ(h.read(), follow_result::unavailable);
    EXPECT_EQ(h.conf().next_offset(), 2U);
}

// Guards against configurations that differ between hosts that read the same
// log in different batches or start from a snapshot.
TEST(configuration_follower, content_is_a_function_of_the_offset)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        seeded_random random(seed);
        fake_log_store store;
        for (std::uint64_t n = 0; n < 60; ++n) {
            // Conflicting and repeated records, undecodable ones, and ones of
            // a later schema version.
            auto rec = workspace_record(
                "w" + std::to_string(random.next() % 4), random.next() % 4,
                1 + random.next() % 50, "ann", 1 + random.next() % 2);
            store.append(configuration_stream,
                         random.next() % 10 == 0 ? "?" : encode(rec));
        }
        host whole(store);
        whole.read();
        host pieces(store);
        const auto& records =
            store.streams[std::string(configuration_stream)].records;
        while (pieces.conf().next_offset() < records.size()) {
            const auto first = pieces.conf().next_offset();
            // Batches overlap with records that the host has already applied.
            state::record_batch batch{first - std::min<std::uint64_t>(first, 3),
                                      first + 1 + random.next() % 7,
                                      {}};
            batch.next_offset =
                std::min<std::uint64_t>(batch.next_offset, records.size());
            for (auto n = batch.first_offset; n < batch.next_offset; ++n) {
                batch.records.push_back({n, records[n]});
            }
            pieces.follower.receive(batch, pieces.change);
            host fresh(store);
            fresh.follower.restore(*pieces.follower.state().snapshot(),
                                   fresh.change);
            fresh.read();
            expect_equal(whole, fresh, seed);
        }
        expect_equal(whole, pieces, seed);
    }
}

// Guards against an entry process that misses a change between updates, or
// reverts to an older configuration.
TEST(feed, entry_follows_its_agent_without_gaps)
{
    fake_log_store store;
    host agent(store);
    auto entry = std::make_shared<const state::configuration>();
    put(store, workspace_record("a", 0, 1, "ann"));
    agent.read();
    const auto full = coordination::make_feed_update(agent.conf(), {0}, {});
    EXPECT_EQ(coordination::apply_feed_update(entry, full),
              coordination::feed_result::applied);
    put(store, workspace_record("b", 0, 2, "ann"));
    agent.read();
    put(store, workspace_record("a", 1, 3, "ann"));
    agent.read();
    const auto last = coordination::make_feed_delta(agent.change.changed, 2,
                                                    agent.conf(), {});
    EXPECT_EQ(coordination::apply_feed_update(entry, last),
              coordination::feed_result::gap);
    const auto both = coordination::make_feed_update(agent.conf(), {1}, {});
    EXPECT_EQ(both.entries.size(), 2U);
    EXPECT_EQ(coordination::apply_feed_update(entry, both),
              coordination::feed_result::applied);
    EXPECT_EQ(entry->find_workspace("a")->revision, 2U);
    EXPECT_EQ(coordination::apply_feed_update(entry, full),
              coordination::feed_result::nothing_new);
}

// Guards against a snapshot stream whose newest record cannot be decoded, and
// against a snapshot age that is reset by each refresh.
TEST(log_snapshots, newest_readable_snapshot_is_found)
{
    fake_log_store store;
    for (const auto* text : {"1", "2", "x"}) {
        store.append(coordination::snapshot_stream, text);
    }
    store.trim(coordination::snapshot_stream, 1);
    fake_log log(store);
    fake_clock clock;
    coordination::log_snapshots source(
        log,
        [](std::string_view bytes)
            -> state::result<state::configuration_snapshot, state::findings> {
            if (bytes == "x") {
                return state::findings();
            }
            state::configuration_snapshot s;
            s.next_offset = static_cast<std::uint64_t>(bytes.front() - '0');
            return s;
        });
    EXPECT_FALSE(source.age(clock.now()));
    EXPECT_TRUE(source.refresh(clock.now()));
    EXPECT_EQ(source.newest().value().next_offset, 2U);
    clock.advance(std::chrono::hours(2));
    EXPECT_TRUE(source.refresh(clock.now()));
    EXPECT_EQ(source.age(clock.now()), std::chrono::hours(2));
}

} // namespace
