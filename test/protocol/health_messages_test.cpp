// Guards the exchange of evidence and verdicts between hosts.

#include <oriolegrade/protocol/health_messages.hpp>

#include <gtest/gtest.h>

namespace {

using namespace oriolegrade;

state::evidence_batch sample_batch()
{
    state::evidence_batch batch;
    batch.host = {0x0a020001, 9090};
    batch.service = "booking";
    batch.schema_version = 2;
    batch.incarnation = {3, 4};
    batch.sequence = 7;
    batch.host_suspects_itself = true;
    state::evidence_item item{
        {0x0a010001, 8080}, state::request_class::non_idempotent, {}};
    item.counts.values = {1, 2, 3, 4, 5};
    batch.items.push_back(item);
    return batch;
}

state::verdict_set sample_set()
{
    state::verdict_set set;
    set.collector = {0x0a020002, 9090};
    set.service = "photo";
    set.sequence = 9;
    set.verdicts.push_back({{0x0a010001, 8080},
                            state::upstream_state::trial,
                            0.05,
                            17.5,
                            0.75,
                            4});
    return set;
}

// Guards against a field that is lost or swapped on the way.
TEST(health_messages, round_trip)
{
    const auto batch =
        protocol::decode_evidence_batch(protocol::encode(sample_batch()));
    ASSERT_TRUE(batch);
    EXPECT_EQ(batch.value(), sample_batch());
    const auto set =
        protocol::decode_verdict_set(protocol::encode(sample_set()));
    ASSERT_TRUE(set);
    EXPECT_EQ(set.value(), sample_set());
}

// Guards against one error hiding the others, and against values outside of
// their types.
TEST(health_messages, reports_all_errors_together)
{
    auto set = sample_set();
    set.service.clear();
    set.collector.port = 0;
    set.verdicts[0].weight = 1.5;
    set.verdicts[0].severity = -1;
    const auto r = protocol::decode_verdict_set(protocol::encode(set));
    ASSERT_FALSE(r);
    EXPECT_EQ(r.error().items().size(), 4U);
    EXPECT_EQ(r.error().items().back().place, "/verdicts/0/severity");
}

// Guards against unbounded memory and against truncated input.
TEST(health_messages, refuses_large_and_broken_input)
{
    auto batch = sample_batch();
    batch.items.resize(state::max_evidence_items + 1, batch.items[0]);
    EXPECT_FALSE(protocol::decode_evidence_batch(protocol::encode(batch)));
    EXPECT_FALSE(protocol::decode_evidence_batch(
        std::string(protocol::max_health_message_bytes + 1, '\0')));
    const auto bytes = protocol::encode(sample_batch());
    EXPECT_FALSE(protocol::decode_evidence_batch(
        std::string_view(bytes).substr(0, bytes.size() - 1)));
}

} // namespace
