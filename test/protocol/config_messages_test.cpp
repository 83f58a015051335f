// Guards against snapshots and feeds that change content on the way, and
// against partial use of a damaged message.

#include <oriolegrade/protocol/config_messages.hpp>

#include <gtest/gtest.h>

namespace {

using namespace oriolegrade;

state::entry_ptr make_entry(state::record_key key, std::uint64_t offset,
                            state::record_body body)
{
    return std::make_shared<state::entry>(state::entry{
        std::move(key), 3, offset, {1, offset + 1}, "ann", std::move(body)});
}

state::configuration_snapshot make_snapshot()
{
    state::service_spec service;
    service.upstreams = {{{0x0a000001, 80}, "dc1", 4, 400}};
    service.floor_slots = 4;
    service.floor_percent = 70;
    service.profile = state::health_profile::hanbit;
    state::route_spec route;
    route.path_prefix = "/v1";
    route.methods = {"GET", "POST"};
    route.service = "archive";
    route.deadline = std::chrono::seconds(2);
    state::configuration_snapshot s;
    s.next_offset = 9;
    s.entries = {
        make_entry({state::record_kind::service, "archive", 1}, 5, service),
        make_entry({state::record_kind::route, "uploads", 1}, 2, route),
        make_entry({state::record_kind::workspace, "shop", 1}, 8,
                   state::workspace_spec{1.5, 2, 3})};
    s.deferred = {{3, "{later}"}};
    return s;
}

// Guards against entries that lose a member, and against equal content with
// different digests, which peers compare.
TEST(config_messages, snapshot_round_trip_is_exact_and_canonical)
{
    auto s = make_snapshot();
    const auto bytes = protocol::encode_snapshot(s);
    auto again = protocol::decode_snapshot(bytes);
    ASSERT_TRUE(again.has_value()) << again.error().to_text("snapshot");
    ASSERT_EQ(again.value().entries.size(), 3U);
    for (std::size_t n = 0; n < 3; ++n) {
        EXPECT_EQ(*again.value().entries[n], *s.entries[n]);
    }
    EXPECT_EQ(again.value().deferred, s.deferred);
    EXPECT_EQ(again.value().digest, s.digest);
    EXPECT_EQ(protocol::encode_snapshot(again.value()), bytes);
}

// Guards against a damaged snapshot that boots a host.
TEST(config_messages, any_changed_or_missing_byte_is_refused)
{
    auto s = make_snapshot();
    const auto bytes = protocol::encode_snapshot(s);
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        auto damaged = bytes;
        damaged[n] = static_cast<char>(damaged[n] ^ 0x10);
        EXPECT_FALSE(protocol::decode_snapshot(damaged).has_value()) << n;
        EXPECT_FALSE(protocol::decode_snapshot(bytes.substr(0, n)).has_value());
    }
}

// Guards against an old binary that cannot boot beside newer ones.
TEST(config_messages, entries_of_later_schema_versions_are_left_out)
{
    auto s = make_snapshot();
    s.entries.back() = make_entry({state::record_kind::workspace, "shop", 2}, 8,
                                  state::workspace_spec{1, 2, 3});
    const auto again = protocol::decode_snapshot(protocol::encode_snapshot(s));
    ASSERT_TRUE(again.has_value()) << again.error().to_text("snapshot");
    EXPECT_EQ(again.value().entries.size(), 2U);
    ASSERT_EQ(again.value().skipped.size(), 1U);
    EXPECT_EQ(again.value().skipped[0].reason.place, "/entries/2");
}

// Guards against a feed that brings an entry from beyond its offset, or a
// route that would run a request twice, into force on a host.
TEST(config_messages, broken_rules_are_reported_with_their_places)
{
    auto s = make_snapshot();
    auto route = std::get<state::route_spec>(s.entries[1]->body);
    route.max_attempts = 2;
    state::feed_update update;
    update.next_offset = 8;
    update.entries = {s.entries[0], make_entry(s.entries[1]->key, 2, route),
                      s.entries[2]};
    const auto again =
        protocol::decode_feed_update(protocol::encode_feed_update(update));
    ASSERT_FALSE(again.has_value());
    const auto& items = again.error().items();
    ASSERT_EQ(items.size(), 2U) << again.error().to_text("feed");
    EXPECT_EQ(items[0].place, "/entries/1/route/max_attempts");
    EXPECT_EQ(items[1].place, "/entries/2/offset");
}

// Guards against records of a batch applied in another order than the log's.
TEST(config_messages, batch_must_be_in_order_of_offset)
{
    state::record_batch batch{4, 7, {{4, "a"}, {6, "b"}}};
    const auto good =
        protocol::decode_record_batch(protocol::encode_record_batch(batch));
    ASSERT_TRUE(good.has_value());
    EXPECT_EQ(good.value().records, batch.records);
    std::swap(batch.records[0], batch.records[1]);
    EXPECT_FALSE(
        protocol::decode_record_batch(protocol::encode_record_batch(batch))
            .has_value());
}

} // namespace
