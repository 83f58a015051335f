// Guards against audit events that change on the way to the log, or that no
// reader can decode again.

#include <oriolegrade/protocol/audit_json.hpp>

#include <gtest/gtest.h>

namespace {

using namespace oriolegrade;

// Guards against lost members, and against texts from callers that break the
// JSON of the whole batch.
TEST(audit_json, round_trip_is_exact_and_hostile_text_is_cleaned)
{
    state::audit_batch batch{"h1", ~std::uint64_t{0}, 3, {}};
    batch.events.resize(2);
    batch.events[0] = {state::audit_kind::change_refused,
                       1700000000000,
                       "ann",
                       "service/archive",
                       {1, 2},
                       "winner=bo place=/a b",
                       0};
    batch.events[1].count = 7;
    const auto again =
        protocol::decode_audit_batch(protocol::encode_audit_batch(batch));
    ASSERT_TRUE(again.has_value()) << again.error().to_text("audit");
    EXPECT_EQ(again.value(), batch);

    batch.events[0].detail = "\xff\n\"}";
    const auto cleaned =
        protocol::decode_audit_batch(protocol::encode_audit_batch(batch));
    ASSERT_TRUE(cleaned.has_value()) << cleaned.error().to_text("audit");
    EXPECT_EQ(cleaned.value().events[0].detail, "??\"}");
}

} // namespace
