// Guards against violations of the floor's properties under random verdicts,
// leaving sets, weights, capacities and changes of the record.

#include <oriolegrade/coordination/service_floor.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <numeric>

namespace {

using namespace oriolegrade;
using coordination::apply_floor;
using coordination::floor_input;
using state::upstream_state;

floor_input input_of(unsigned n, upstream_state state, unsigned slots = 4)
{
    floor_input it;
    it.address = {0x0a000000 + n, 8080};
    it.slots = slots;
    it.state = state;
    it.weight = state == upstream_state::in_service ? 1.0 : 0.0;
    return it;
}

std::vector<floor_input> random_inputs()
{
    const auto count = *rc::gen::inRange(0U, 25U);
    std::vector<floor_input> inputs;
    for (unsigned n = 0; n < count; ++n) {
        auto it =
            input_of(n,
                     static_cast<upstream_state>(*rc::gen::inRange<std::size_t>(
                         0, state::enum_size<upstream_state>)),
                     *rc::gen::inRange(0U, 6U));
        it.weight = *rc::gen::inRange(0, 1001) / 1000.0;
        it.severity = *rc::gen::inRange(0, 5) / 4.0;
        it.avoided = *rc::gen::arbitrary<bool>();
        inputs.push_back(it);
    }
    return inputs;
}

std::uint32_t slots_left(const std::vector<floor_input>& inputs)
{
    return std::accumulate(inputs.begin(), inputs.end(), 0U,
                           [](std::uint32_t n, const floor_input& it) {
                               return it.state == upstream_state::leaving
                                          ? n
                                          : n + it.slots;
                           });
}

// Guards against capacity below the floor although the upstreams have enough
// (R1), and against requests for a leaving upstream (R5), also after a change
// of the record.
RC_GTEST_PROP(service_floor, never_below_floor_when_possible, ())
{
    const auto inputs = random_inputs();
    for (int change = 0; change < 3; ++change) {
        const auto floor = *rc::gen::inRange(0U, 140U);
        const auto r = apply_floor(inputs, floor);
        RC_ASSERT(r.standings.size() == inputs.size());
        RC_ASSERT(r.floor_met == (slots_left(inputs) >= floor));
        RC_ASSERT(r.floor_met == (r.capacity_slots >= floor));
        double capacity = 0;
        for (std::size_t n = 0; n < inputs.size(); ++n) {
            const auto& s = r.standings[n];
            RC_ASSERT(s.weight >= 0 && s.weight <= 1);
            RC_ASSERT(inputs[n].state != upstream_state::leaving ||
                      s.weight == 0);
            capacity += s.state == upstream_state::trial
                            ? 0
                            : s.weight * inputs[n].slots;
        }
        RC_ASSERT(capacity == r.capacity_slots);
    }
}

// Guards against restoring an upstream before a fitter one.
RC_GTEST_PROP(service_floor, restores_in_order, ())
{
    const auto inputs = random_inputs();
    const auto r = apply_floor(inputs, *rc::gen::inRange(0U, 140U));
    auto effective = inputs;
    for (auto& it : effective) {
        it.avoided = it.avoided && !r.host_suspects_itself;
    }
    for (std::size_t a = 0; a < inputs.size(); ++a) {
        if (!r.standings[a].kept_by_floor) {
            continue;
        }
        for (std::size_t b = 0; b < inputs.size(); ++b) {
            if (effective[b].state != upstream_state::leaving &&
                effective[b].slots > 0 &&
                is_worse(effective[a], effective[b])) {
                RC_ASSERT(r.standings[b].weight == 1.0);
            }
        }
    }
}

// Guards against a loss of capacity when the floor is raised.
RC_GTEST_PROP(service_floor, higher_floor_never_reduces_capacity, ())
{
    const auto inputs = random_inputs();
    const auto floor = *rc::gen::inRange(0U, 140U);
    RC_ASSERT(apply_floor(inputs, floor).capacity_slots <=
              apply_floor(inputs, floor + 1).capacity_slots);
}

// Guards against an ejected upstream that stays out of service although the
// floor needs it after another upstream leaves.
TEST(service_floor, leaving_upstream_restores_ejected_one)
{
    std::vector<floor_input> inputs{input_of(0, upstream_state::in_service),
                                    input_of(1, upstream_state::in_service),
                                    input_of(2, upstream_state::ejected),
                                    input_of(3, upstream_state::ejected)};
    inputs[2].severity = 0.9;
    inputs[3].severity = 0.1;
    const auto before = apply_floor(inputs, 8);
    EXPECT_FALSE(before.standings[3].kept_by_floor);
    inputs[0].state = upstream_state::leaving;
    const auto after = apply_floor(inputs, 8);
    EXPECT_TRUE(after.standings[3].kept_by_floor);
    EXPECT_FALSE(after.standings[2].kept_by_floor);
    const auto events = floor_events(before, after, {});
    ASSERT_EQ(events.size(), 1U);
    EXPECT_EQ(events[0].kind, coordination::health_event_kind::kept_by_floor);
    EXPECT_EQ(events[0].upstream, inputs[3].address);
}

// Guards against a disconnected host that avoids a healthy service.
TEST(service_floor, host_that_avoids_most_suspects_itself)
{
    std::vector<floor_input> inputs;
    for (unsigned n = 0; n < 5; ++n) {
        inputs.push_back(input_of(n, upstream_state::in_service));
        inputs.back().avoided = n < 3;
    }
    const auto r = apply_floor(inputs, 0);
    EXPECT_TRUE(r.host_suspects_itself);
    EXPECT_EQ(r.capacity_slots, 20);
    inputs[0].avoided = false;
    EXPECT_EQ(apply_floor(inputs, 0).capacity_slots, 12);
}

} // namespace
