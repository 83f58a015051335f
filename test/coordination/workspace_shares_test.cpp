// Guards how a full service is shared among workspaces: the weights and tags,
// the order of the line, and who is refused.

#include <oriolegrade/coordination/waiting_line.hpp>
#include <oriolegrade/coordination/workspace_shares.hpp>

#include "fakes/queue_fixture.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <tuple>
#include <vector>

namespace {

using namespace oriolegrade;
using namespace std::chrono_literals;
using coordination::line_part;
using coordination::visit_result;
using coordination::waiting_line;
using coordination::workspace_shares;
using test::start;

class shares : public ::testing::Test
{
protected:
    void ask(const std::string& workspace, int n, state::time_point now = start)
    {
        for (; n > 0; --n) {
            it.asked(workspace, now);
        }
    }
    /// Lets ten workspaces ask, and a hot one more often, for a while.
    void ask_with_hot(int n, int others = 1)
    {
        for (int round = 0; round < 40; ++round) {
            const auto now = start + round * 250ms;
            for (int i = 0; i < 10; ++i) {
                ask("w" + std::to_string(i), others, now);
            }
            ask("hot", n, now);
        }
    }

    workspace_shares it;
};

// Guards against a cost where no workspace is named.
TEST_F(shares, requests_without_a_workspace_are_counted)
{
    ask("", 100);
    EXPECT_EQ(it.size(), 0U);
    EXPECT_EQ(it.weight(""), 1.0);
    EXPECT_EQ(it.placed("", it.current(""), it.current("")), it.current(""));
}

// Guards against a workspace that is served below a quarter because it asks for
// more than others, and against others that pay for it.
TEST_F(shares, a_hot_workspace_starves_or_takes_all)
{
    ask_with_hot(1000);
    const double hot = it.weight("hot");
    const double other = it.weight("w3");
    EXPECT_NEAR(hot + 10 * other, 1.0, 0.01);
    // Of all requests, 1000 in 1010 are those of the hot one.
    EXPECT_GE(hot, workspace_shares::by_demand * 1000 / 1010);
    // Each of the others asks for a thousandth and is due 30 times as much.
    EXPECT_GE(other, 0.03);
}

// Guards against workspaces that are served unlike because of differences in
// load that are usual.
TEST_F(shares, usual_differences_matter)
{
    ask_with_hot(3, 2);
    EXPECT_NEAR(it.weight("hot"), 1.5 * it.weight("w3"), 1e-9);
}

// Guards against credit for the time in which a workspace asked for nothing: it
// would then take the whole service for as long.
TEST_F(shares, an_idle_workspace_collects_credit)
{
    ask("a", 1);
    ask("b", 1);
    double tag = 0;
    for (int n = 0; n < 1000; ++n) {
        tag = it.placed("a", it.current("a"), it.current("a"));
    }
    EXPECT_GT(it.current("b"), tag - 10);
}

TEST_F(shares, idle_workspaces_stay_in_memory)
{
    for (int n = 0; n < 2000; ++n) {
        ask("w" + std::to_string(n), 1);
    }
    EXPECT_EQ(it.size(), 2000U);
    ask("w1", 1, start + 20s);
    EXPECT_EQ(it.size(), 1U);
    for (int n = 0; n < 20000; ++n) {
        ask("w" + std::to_string(n), 1, start + 20s);
    }
    EXPECT_EQ(it.size(), workspace_shares::max_workspaces);
    // One that is not counted is served all the same.
    EXPECT_GT(it.weight("w19999"), 0);
}

class shared_line : public ::testing::Test
{
protected:
    void push(const std::string& workspace, state::duration target,
              std::uint32_t rank = 0)
    {
        coordination::waiting_request it;
        it.request.workspace = workspace;
        it.request.rank = rank;
        it.target = start + target;
        line.note_asked(workspace, start);
        line.push(++last, it);
    }
    /// Workspaces in the order in which they are placed.
    std::string place(line_part part, std::size_t n, state::duration usual = {})
    {
        std::string out;
        line.visit(
            part, start, [&](const std::string&) { return usual; },
            [&](waiting_line::request_id, const auto& it) {
                if (n == 0) {
                    return visit_result::stop;
                }
                --n;
                out += it.request.workspace;
                line.note_placed(it.request.workspace);
                return visit_result::remove;
            });
        return out;
    }

    waiting_line line;
    waiting_line::request_id last = 0;
};

// Guards against requests that wait behind all of a workspace that came first.
TEST_F(shared_line, a_hot_workspace_is_served_first)
{
    for (int n = 0; n < 30; ++n) {
        push("h", 100ms);
    }
    push("a", 200ms);
    push("b", 300ms);
    const auto order = place(line_part::in_time, 6);
    EXPECT_NE(order.find('a'), std::string::npos) << order;
    EXPECT_NE(order.find('b'), std::string::npos) << order;
    EXPECT_EQ(line.size(), 26U);
}

// Guards against a more urgent request that waits for the share of its
// workspace, and against a slot left free for a workspace that asks for none.
TEST_F(shared_line, the_share_goes_before_the_rank)
{
    push("a", 100ms, 1);
    for (int n = 0; n < 3; ++n) {
        push("h", 100ms, 0);
    }
    EXPECT_EQ(place(line_part::in_time, 9), "hhha");
    EXPECT_TRUE(line.empty());
}

// Guards against late requests that are never found again: a workspace that has
// only such is kept apart from the others.
TEST_F(shared_line, late_requests_are_lost)
{
    push("a", -100ms);
    push("b", 100ms);
    push("a", -50ms);
    EXPECT_EQ(place(line_part::in_time, 9), "b");
    EXPECT_EQ(place(line_part::in_time, 9), "");
    push("a", 100ms);
    EXPECT_EQ(place(line_part::in_time, 9), "a");
    EXPECT_EQ(place(line_part::late, 9), "aa");
    EXPECT_TRUE(line.empty());
}

// Guards against requests that count as late for good: when answers become
// faster, they can meet their target again.
TEST_F(shared_line, late_requests_stay_late)
{
    push("a", 100ms);
    push("b", 100ms);
    push("b", 300ms);
    EXPECT_EQ(place(line_part::in_time, 0, 400ms), "");
    EXPECT_EQ(place(line_part::in_time, 9, 400ms), "");
    EXPECT_EQ(place(line_part::late, 0, 50ms), "");
    EXPECT_EQ(place(line_part::late, 9, 50ms), "");
    EXPECT_EQ(place(line_part::in_time, 9, 50ms), "abb");
}

// Guards against another order than by rank and target where requests name no
// workspace.
TEST_F(shared_line, unnamed_requests_are_reordered)
{
    std::mt19937 random(3);
    using key = std::tuple<std::uint32_t, state::duration, std::uint64_t>;
    std::vector<key> expected;
    for (int n = 0; n < 500; ++n) {
        const std::uint32_t rank = random() % 3;
        const state::duration target = 1ms * (random() % 50);
        push("", target, rank);
        expected.emplace_back(rank, target, last);
    }
    for (std::size_t n = 0; n < 100; ++n) {
        const auto at = random() % expected.size();
        EXPECT_TRUE(line.remove(std::get<2>(expected[at])));
        expected.erase(expected.begin() + static_cast<std::ptrdiff_t>(at));
    }
    std::sort(expected.begin(), expected.end());
    std::vector<key> seen;
    line.visit(
        line_part::all, start,
        [](const std::string&) { return state::duration{}; },
        [&](waiting_line::request_id number, const auto& it) {
            line.note_placed(it.request.workspace);
            seen.emplace_back(it.request.rank, it.target - start, number);
            return number % 2 == 0 ? visit_result::keep : visit_result::remove;
        });
    EXPECT_EQ(seen, expected);
}

// Guards against workspaces that move in the order while they are visited.
TEST_F(shared_line, requests_are_visited_twice_or_never)
{
    for (int n = 0; n < 50; ++n) {
        push("w" + std::to_string(n % 7), state::duration(10ms * (n % 3)),
             static_cast<std::uint32_t>(n % 2));
        push("h", 10ms);
    }
    std::map<waiting_line::request_id, int> seen;
    const auto usual = [](const std::string&) {
        return state::duration{5ms};
    };
    const auto visit = [&](waiting_line::request_id number, const auto& it) {
        ++seen[number];
        if (number % 3 == 0) {
            return visit_result::keep;
        }
        if (number % 3 == 1) {
            line.note_placed(it.request.workspace);
        }
        return visit_result::remove;
    };
    line.visit(line_part::in_time, start, usual, visit);
    line.visit(line_part::late, start, usual, visit);
    EXPECT_EQ(seen.size(), last);
    for (const auto& it : seen) {
        EXPECT_EQ(it.second, 1);
    }
    EXPECT_EQ(line.size(), last / 3);
    for (waiting_line::request_id n = 3; n <= last; n += 3) {
        EXPECT_TRUE(line.remove(n));
    }
    EXPECT_TRUE(line.empty());
}

class shared_queue : public test::queue_fixture
{
protected:
    state::place_request request_of(const std::string& workspace) const
    {
        auto out = request();
        out.workspace = workspace;
        return out;
    }
};

// Guards against the refusal of a request that has its turn soon because
// another workspace fills the line.
TEST_F(shared_queue, a_small_workspace_is_refused_for_a_hot_one)
{
    set_upstreams(5);
    ask(request_of("small"));
    while (!refusal) {
        ask(request_of("hot"));
    }
    EXPECT_EQ(refusal->reason, state::place_refusal_reason::overloaded);
    refusal.reset();
    const auto in_line = queue.waiting();
    ask(request_of("small"));
    EXPECT_FALSE(refusal);
    EXPECT_EQ(queue.waiting(), in_line + 1);
    ask(request_of("hot"));
    EXPECT_TRUE(refusal);
}

// Guards against a slot that stays free for a workspace that does not use it.
TEST_F(shared_queue, one_workspace_cannot_use_all_slots)
{
    set_upstreams(5);
    for (int n = 0; n < 10; ++n) {
        EXPECT_FALSE(ask(request_of("hot")).empty()) << n;
    }
}

} // namespace
