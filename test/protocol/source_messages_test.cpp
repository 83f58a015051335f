// Guards against relayed reads that change on the way, and against a crash or
// a partial result for hostile bytes.

#include <oriolegrade/protocol/source_messages.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace oriolegrade;
using namespace std::chrono_literals;

state::source_reply round_trip(const state::source_reply& sent)
{
    const auto got =
        protocol::decode_source_reply(protocol::encode_source_reply(sent));
    EXPECT_TRUE(got);
    return got ? got.value() : state::source_reply{};
}

TEST(source_messages, request_keeps_its_fields)
{
    const auto got =
        protocol::decode_source_request(protocol::encode_source_request(
            {state::source_call::read_upstreams, 12}));
    ASSERT_TRUE(got);
    EXPECT_EQ(got.value().call, state::source_call::read_upstreams);
    EXPECT_EQ(got.value().from, 12U);
}

TEST(source_messages, register_keeps_its_fields)
{
    state::registered_upstream entry;
    entry.id = "u1";
    entry.service = "s";
    entry.address = {0x0a000001, 80};
    entry.data_centre = "dc";
    entry.slots = 3;
    entry.state = state::registration_state::draining;
    entry.warmup_left = 1500ms;
    entry.born = 99;
    entry.sequence = 5;
    state::registry_read sent;
    sent.next_offset = 42;
    sent.age = 1700ms;
    sent.changes = {
        {state::registry_change_kind::written, "u1", entry},
        {state::registry_change_kind::removed, "u2", std::nullopt},
        {state::registry_change_kind::unreadable, "u3", std::nullopt}};
    const auto reply = round_trip(sent);
    const auto& got = std::get<state::registry_read>(reply);
    EXPECT_EQ(got.next_offset, 42U);
    EXPECT_EQ(got.age, 1700ms);
    ASSERT_EQ(got.changes.size(), 3U);
    const auto& first = got.changes[0];
    ASSERT_TRUE(first.entry);
    EXPECT_EQ(first.entry->id, "u1");
    EXPECT_EQ(first.entry->service, "s");
    EXPECT_EQ(first.entry->address, entry.address);
    EXPECT_EQ(first.entry->data_centre, "dc");
    EXPECT_EQ(first.entry->slots, 3U);
    EXPECT_EQ(first.entry->state, state::registration_state::draining);
    EXPECT_EQ(first.entry->warmup_left, 1500ms);
    EXPECT_EQ(first.entry->order(), entry.order());
    EXPECT_EQ(got.changes[1].kind, state::registry_change_kind::removed);
    EXPECT_EQ(got.changes[2].id, "u3");
}

TEST(source_messages, rules_and_failures_keep_their_fields)
{
    const auto rules = round_trip(state::rules_read{"document", 3});
    EXPECT_EQ(std::get<state::rules_read>(rules).document, "document");
    const auto none = round_trip(state::rules_read{std::nullopt, 4});
    EXPECT_FALSE(std::get<state::rules_read>(none).document);
    EXPECT_EQ(std::get<state::rules_read>(none).next_offset, 4U);
    const auto failed = round_trip(state::source_failure::trimmed);
    EXPECT_EQ(std::get<state::source_failure>(failed),
              state::source_failure::trimmed);
}

// An entry without slots would divide by zero in the dispatcher's queue.
TEST(source_messages, an_entry_without_slots_is_refused)
{
    state::registered_upstream entry;
    entry.address = {0x0a000001, 80};
    entry.slots = 0;
    state::registry_read sent;
    sent.changes = {{state::registry_change_kind::written, "u", entry}};
    EXPECT_FALSE(
        protocol::decode_source_reply(protocol::encode_source_reply(sent)));
}

RC_GTEST_PROP(source_messages, any_bytes_are_read_or_refused,
              (const std::string& bytes))
{
    (void)protocol::decode_source_request(bytes);
    (void)protocol::decode_source_reply(bytes);
}

} // namespace
