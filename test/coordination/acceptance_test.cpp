// Guards against hosts that disagree on concurrent records and against a
// configuration that reverts to an older revision.

#include <oriolegrade/coordination/acceptance.hpp>

#include <gtest/gtest.h>

namespace {

using namespace oriolegrade;
using coordination::acceptance_outcome;

state::record workspace_record(std::uint64_t base, std::uint64_t id,
                               std::string operator_name)
{
    state::record rec;
    rec.key = {state::record_kind::workspace, "shop", 1};
    rec.base_revision = base;
    rec.change_id = {0, id};
    rec.operator_name = std::move(operator_name);
    rec.body = state::workspace_spec{10, 5, 3};
    return rec;
}

// Guards against accepting the records of two concurrent operators that are
// based on the same revision.
TEST(acceptance, first_of_two_records_on_one_base_wins)
{
    state::configuration conf;
    EXPECT_EQ(
        coordination::apply(conf, 0, workspace_record(0, 1, "ann")).verdict,
        acceptance_outcome::accepted);
    const auto lost =
        coordination::apply(conf, 1, workspace_record(0, 2, "bo"));
    EXPECT_EQ(lost.verdict, acceptance_outcome::stale_base);
    EXPECT_EQ(lost.winner, "ann");
    EXPECT_EQ(conf.find_workspace("shop")->change_id,
              (state::identifier{0, 1}));
    EXPECT_EQ(conf.next_offset(), 2U);
}

// Guards against applying a change twice when its append is repeated.
TEST(acceptance, repeated_change_id_is_applied_once)
{
    state::configuration conf;
    coordination::apply(conf, 0, workspace_record(0, 1, "ann"));
    const auto again =
        coordination::apply(conf, 1, workspace_record(0, 1, "ann"));
    EXPECT_EQ(again.verdict, acceptance_outcome::repeated);
    EXPECT_EQ(conf.find_workspace("shop")->revision, 1U);
}

} // namespace
