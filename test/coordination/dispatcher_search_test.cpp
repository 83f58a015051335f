// Guards against hosts that place their own requests although dispatchers are
// reachable, which caused the incident of docs/incidents/floor-recurrence.md.

#include <oriolegrade/coordination/dispatcher_search.hpp>

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

namespace {

using namespace oriolegrade;
using namespace std::chrono_literals;
using coordination::dispatcher_search;
using coordination::dispatcher_state;
using coordination::exclusion_reason;

constexpr state::time_point start{1000s};
constexpr state::duration time_left = 1200ms;

class dispatcher_search_rules : public ::testing::Test
{
protected:
    dispatcher_search_rules()
    {
        std::vector<state::host_member> members;
        for (std::uint32_t n = 0; n < 20; ++n) {
            members.push_back(
                {"host-" + std::to_string(n), "dc", {0x0a000001 + n, 80}, 150});
        }
        ranking.set_members(members);
        order = ranking.candidates("s", 20, start);
        self = order.back().name;
    }

    dispatcher_search::step next()
    {
        return search.next(
            ranking, "s", self, now, [this](const std::string& host) {
                const auto it = states.find(host);
                return it == states.end() ? dispatcher_state::usable
                                          : it->second;
            });
    }
    /// Name of the dispatcher to ask; empty for the local host.
    std::string next_name()
    {
        const auto step = next();
        return step.peer == nullptr ? "" : step.peer->name;
    }

    coordination::dispatcher_ranking ranking;
    std::vector<state::host_member> order;
    std::string self;
    std::map<std::string, dispatcher_state> states;
    state::time_point now = start;
    dispatcher_search search{start, time_left};
};

// Guards against local placement while reachable dispatchers remain, and
// against an unbounded number of dispatchers asked.
TEST_F(dispatcher_search_rules, stopping_dispatchers_are_followed_by_the_next)
{
    for (std::size_t n = 0; n < coordination::max_dispatchers_asked; ++n) {
        ASSERT_EQ(next_name(), order.at(n).name);
        search.exclude(order.at(n).name, exclusion_reason::leaving);
    }
    EXPECT_EQ(next_name(), "");
}

// Guards against a request that spends its time on silent dispatchers: each one
// costs a wait, and the request must still be served.
TEST_F(dispatcher_search_rules, waits_end_while_time_is_left)
{
    std::size_t asked = 0;
    for (auto name = next_name(); !name.empty(); name = next_name()) {
        ++asked;
        now += 80ms;
        search.exclude(name, exclusion_reason::late);
    }
    EXPECT_EQ(asked, 4U);
    EXPECT_LT(now - start, time_left / 3);
}

// Guards against a request without time that is never dispatched, or that asks
// more than one dispatcher.
TEST_F(dispatcher_search_rules, a_short_request_asks_one_dispatcher)
{
    search = dispatcher_search(start, 0ms);
    EXPECT_EQ(next_name(), order.at(0).name);
    search.exclude(order.at(0).name, exclusion_reason::late);
    EXPECT_EQ(next_name(), "");
}

// Guards against a wait for a dispatcher that is known to be silent or failed.
TEST_F(dispatcher_search_rules, silent_dispatchers_cost_no_second_wait)
{
    states[order.at(0).name] = dispatcher_state::silent;
    ranking.failed(order.at(1).name, now);
    EXPECT_EQ(next_name(), order.at(2).name);
}

// Guards against asking a dispatcher that comes after the local host.
TEST_F(dispatcher_search_rules, the_local_host_takes_its_position_in_the_order)
{
    self = order.at(1).name;
    search.exclude(order.at(0).name, exclusion_reason::late);
    EXPECT_EQ(next_name(), "");
}

// Guards against uncoordinated placement while the store is unreachable for all
// hosts: one dispatcher places with its stale view, so that slots are still
// counted in one place.
TEST_F(dispatcher_search_rules,
       the_first_stale_dispatcher_comes_after_the_local_host)
{
    for (const auto& it : order) {
        states[it.name] = dispatcher_state::stale;
    }
    EXPECT_EQ(next_name(), "");
    search.mark_stale(self);
    const auto step = next();
    ASSERT_NE(step.peer, nullptr);
    EXPECT_EQ(step.peer->name, order.at(0).name);
    EXPECT_TRUE(step.accept_stale);
    // The stale dispatcher does not answer either.
    search.exclude(order.at(0).name, exclusion_reason::late);
    const auto last = next();
    EXPECT_EQ(last.peer, nullptr);
    EXPECT_TRUE(last.accept_stale);
}

// Guards against two places for one request by one dispatcher: it was left out
// for its stale view, was asked when that was over, owes the answer, and is
// asked again because it was the first with a stale view.
TEST_F(dispatcher_search_rules, a_dispatcher_that_owes_an_answer_is_asked_again)
{
    for (const auto reason : {exclusion_reason::late, exclusion_reason::lost}) {
        search = dispatcher_search(start, time_left);
        states[order.at(0).name] = dispatcher_state::stale;
        ASSERT_EQ(next_name(), order.at(1).name);
        search.exclude(order.at(1).name, exclusion_reason::late);
        states.clear();
        ASSERT_EQ(next_name(), order.at(0).name);
        search.exclude(order.at(0).name, reason);
        // The next one refuses for its stale view, as the local host does.
        ASSERT_EQ(next_name(), order.at(2).name);
        search.mark_stale(order.at(2).name);
        search.exclude(order.at(2).name, exclusion_reason::stale);
        now = start + time_left;
        ASSERT_EQ(next_name(), "");
        search.mark_stale(self);
        const auto step = next();
        EXPECT_TRUE(step.accept_stale);
        ASSERT_NE(step.peer, nullptr);
        EXPECT_EQ(step.peer->name, order.at(2).name);
        now = start;
    }
}

// A dispatcher that is often late is asked after those that answer in time, and
// before the local host places its own requests.
TEST_F(dispatcher_search_rules, a_late_dispatcher_is_asked_first_or_never)
{
    states[order.at(0).name] = dispatcher_state::late;
    EXPECT_EQ(next_name(), order.at(1).name);
    for (std::size_t n = 1; n < order.size(); ++n) {
        states[order.at(n).name] = dispatcher_state::silent;
    }
    EXPECT_EQ(next_name(), order.at(0).name);
    search.exclude(order.at(0).name, exclusion_reason::late);
    EXPECT_EQ(next_name(), "");
}

} // namespace
