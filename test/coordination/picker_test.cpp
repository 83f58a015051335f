// Guards against requests sent to ineligible upstreams.

#include <oriolegrade/coordination/picker.hpp>

#include <fakes/seeded_random.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace oriolegrade;
using namespace std::chrono_literals;
using coordination::pick_refusal;
using coordination::pick_request;
using state::upstream_state;

constexpr state::time_point now{1s};

static_assert(
    coordination::picker<coordination::random_picker, fakes::seeded_random>);
static_assert(coordination::picker<coordination::least_in_flight_picker,
                                   fakes::seeded_random>);
static_assert(coordination::picker<coordination::two_choices_picker,
                                   fakes::seeded_random>);

state::endpoint address(std::uint32_t i)
{
    return {0x0a000000U + i, 80};
}

std::shared_ptr<const state::pick_table>
table_of(const std::vector<state::upstream_standing>& standings,
         state::upstream_load_registry& loads)
{
    state::service_spec spec;
    std::vector<state::subset_member> members;
    for (const auto& s : standings) {
        members.push_back({spec.upstreams.size(), 4});
        spec.upstreams.push_back({s.address, "a", 4, 400});
    }
    return build_pick_table(spec, standings, members, loads, nullptr);
}

// Guards against requests to upstreams that are out of service, non-idempotent
// requests to an upstream on trial, and repeats on an excluded upstream.
RC_GTEST_PROP(picker, picks_only_eligible_upstreams,
              (std::uint64_t seed, bool idempotent))
{
    fakes::seeded_random random{seed};
    std::vector<state::upstream_standing> standings;
    const auto count = *rc::gen::inRange(1U, 12U);
    for (std::uint32_t i = 0; i < count; ++i) {
        const auto s = static_cast<upstream_state>(*rc::gen::inRange(0, 6));
        standings.push_back({address(i), s, 0.5, *rc::gen::arbitrary<bool>()});
    }
    state::upstream_load_registry loads;
    const auto table = table_of(standings, loads);
    const std::vector<state::endpoint> excluded{address(0)};
    const pick_request request{idempotent, excluded};
    for (int i = 0; i < 100; ++i) {
        const auto got = coordination::two_choices_picker().pick(
            *table, request, random, now);
        if (!got) {
            continue;
        }
        const auto& s = standings[got.value().index];
        RC_ASSERT(s.address != address(0));
        RC_ASSERT(s.state != upstream_state::leaving);
        RC_ASSERT(s.state != upstream_state::ejected || s.kept_by_floor);
        RC_ASSERT(s.state != upstream_state::probing || s.kept_by_floor);
        RC_ASSERT(s.state != upstream_state::trial || idempotent);
    }
}

// Guards against an upstream on trial that receives a full share, and against
// one that receives no requests and so cannot leave its trial.
TEST(picker, trial_receives_a_small_share)
{
    state::upstream_load_registry loads;
    const auto table = table_of(
        {{address(0)}, {address(1), upstream_state::trial, 1.0, false}}, loads);
    fakes::seeded_random random{7};
    int trial = 0;
    for (int i = 0; i < 10000; ++i) {
        trial += static_cast<int>(coordination::two_choices_picker()
                                      .pick(*table, {true, {}}, random, now)
                                      .value()
                                      .index);
    }
    EXPECT_GT(trial, 100);
    EXPECT_LT(trial, 400);
}

// Guards against a ramping upstream that receives its full share before it has
// warmed up.
TEST(picker, weight_sets_the_share)
{
    state::upstream_load_registry loads;
    const auto table = table_of(
        {{address(0)}, {address(1), upstream_state::ramping, 0.25, false}},
        loads);
    fakes::seeded_random random{7};
    int ramping = 0;
    for (int i = 0; i < 10000; ++i) {
        ramping += static_cast<int>(coordination::random_picker()
                                        .pick(*table, {}, random, now)
                                        .value()
                                        .index);
    }
    EXPECT_NEAR(ramping, 2000, 200);
}

// Guards against a refusal with the wrong reason, picks beyond the concurrency
// limit, and refusal of all requests when one host avoids every upstream.
TEST(picker, refusals_are_typed_and_avoidance_is_not_a_refusal)
{
    state::upstream_load_registry loads;
    const auto table = table_of({{address(0)}}, loads);
    fakes::seeded_random random{7};
    const coordination::least_in_flight_picker picker;
    const std::vector<state::endpoint> excluded{address(0)};
    EXPECT_EQ(picker.pick(*table, {false, excluded}, random, now).error(),
              pick_refusal::all_excluded);
    table->candidates[0].load->avoid_until(now + 1s);
    EXPECT_TRUE(picker.pick(*table, {}, random, now));
    table->candidates[0].load->set_limit(1);
    EXPECT_TRUE(table->candidates[0].load->try_begin());
    EXPECT_FALSE(table->candidates[0].load->try_begin());
    EXPECT_EQ(picker.pick(*table, {}, random, now).error(),
              pick_refusal::over_limit);
    EXPECT_EQ(picker.pick({}, {}, random, now).error(),
              pick_refusal::no_upstream);
}

// Guards against capacity below the floor: an ejected upstream that the floor
// keeps must receive requests whatever its weight, and a leaving one none.
TEST(pick_table, upstreams_kept_by_floor_receive_work)
{
    state::upstream_load_registry loads;
    const auto table =
        table_of({{address(0), upstream_state::ejected, 0, true},
                  {address(1), upstream_state::leaving, 1, true}},
                 loads);
    fakes::seeded_random random{7};
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(coordination::two_choices_picker()
                      .pick(*table, {}, random, now)
                      .value()
                      .index,
                  0U);
    }
}

// Guards against a rebuild that loses the counts of requests in flight.
TEST(pick_table, loads_survive_a_rebuild)
{
    state::upstream_load_registry loads;
    auto first = table_of({{address(0)}, {address(1)}}, loads);
    EXPECT_TRUE(first->candidates[1].load->try_begin());
    const auto second = table_of({{address(1)}}, loads);
    first.reset();
    loads.prune();
    EXPECT_EQ(loads.size(), 1U);
    EXPECT_EQ(second->candidates[0].load->in_flight(), 1U);
}

} // namespace
