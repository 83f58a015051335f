// Guards what upstreams say of themselves: a leaving one, or one that wants
// quiet, gets no request, and nothing else is held back for it.

#include "fakes/queue_fixture.hpp"

#include <oriolegrade/coordination/upstream_wishes.hpp>

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <thread>

namespace {

using namespace oriolegrade;
using namespace std::chrono_literals;
using state::send_result;

const state::time_point start{1000s};

TEST(upstream_wishes, a_wish_outlasts_its_time_or_ends_early)
{
    coordination::upstream_wishes wishes;
    EXPECT_FALSE(wishes.in_force("u1", 1, start).any());
    EXPECT_TRUE(wishes.heard("u1", 1, {false, 2s}, start));
    EXPECT_EQ(wishes.in_force("u1", 1, start + 500ms).pause, 1500ms);
    EXPECT_FALSE(wishes.in_force("u1", 1, start + 2s).any());
    // A later and shorter one does not end the first.
    EXPECT_FALSE(wishes.heard("u1", 1, {false, 100ms}, start + 1s));
    EXPECT_EQ(wishes.in_force("u1", 1, start + 1500ms).pause, 500ms);
    EXPECT_TRUE(wishes.heard("u1", 1, {true, {}}, start + 3s));
    EXPECT_FALSE(wishes.heard("u1", 1, {true, {}}, start + 4s));
    EXPECT_TRUE(wishes.in_force("u1", 1, start + 600s).leaving);
    // Another incarnation, and another upstream.
    EXPECT_FALSE(wishes.in_force("u1", 2, start + 4s).any());
    EXPECT_FALSE(wishes.in_force("u2", 1, start + 4s).any());
}

// An upstream that asks in a form that cannot be used would fill the log.
TEST(upstream_wishes, a_wish_that_cannot_be_used_is_logged_again)
{
    coordination::upstream_wishes wishes;
    EXPECT_TRUE(wishes.heard_unusable("u1", 1));
    EXPECT_FALSE(wishes.heard_unusable("u1", 1));
    EXPECT_TRUE(wishes.heard_unusable("u1", 2));
    EXPECT_FALSE(wishes.in_force("u1", 1, start).any());
}

// Memory: what was said is forgotten, and a fleet that says much is bounded.
TEST(upstream_wishes, wishes_are_kept_without_end)
{
    coordination::upstream_wishes wishes;
    wishes.heard("old", 1, {true, {}}, start);
    wishes.heard("u", 1, {true, {}}, start + 62min);
    EXPECT_FALSE(wishes.in_force("old", 1, start + 62min).any());
}

TEST(upstream_wishes, threads_lose_a_wish)
{
    coordination::upstream_wishes wishes;
    constexpr int count = 200;
    const auto work = [&](int first) {
        for (int n = first; n < count; n += 2) {
            wishes.heard("u" + std::to_string(n), 1, {true, {}}, start);
            (void)wishes.in_force("u0", 1, start);
        }
    };
    std::thread other(work, 1);
    work(0);
    other.join();
    for (int n = 0; n < count; ++n) {
        EXPECT_TRUE(wishes.in_force("u" + std::to_string(n), 1, start).leaving);
    }
}

/// A queue whose upstreams have an incarnation.
struct queue_wishes : test::queue_fixture
{
    void say(coordination::dispatch_queue::request_id number,
             const state::upstream_wish& wish,
             send_result how = send_result::answered)
    {
        state::send_report report{how, 100ms, {}};
        report.wish = wish;
        queue.report(number, report, now);
    }
};

// The register lags: a heartbeat of the incarnation that leaves brought it
// back.
TEST_F(queue_wishes, a_leaving_upstream_returns_with_a_heartbeat)
{
    set_upstreams(2);
    ASSERT_EQ(ask(request()), "dc1-0");
    say(last, {true, {}});
    for (int n = 0; n < 20; ++n) {
        now += 500ms;
        ++list[0].sequence;
        queue.set_upstreams(list, now);
        EXPECT_EQ(ask(request()), "dc1-1");
        end(last);
    }
    ++list[0].born;
    queue.set_upstreams(list, now);
    std::set<std::string> used;
    for (int n = 0; n < 4; ++n) {
        used.insert(ask(request()));
    }
    EXPECT_TRUE(used.contains("dc1-0"));
}

// An answer of the old incarnation arrived after the register had named the new
// one, and took that one out of service.
TEST_F(queue_wishes, a_word_of_an_old_incarnation_counts_for_the_new_one)
{
    set_upstreams(1);
    ASSERT_EQ(ask(request()), "dc1-0");
    const auto answered = last;
    ASSERT_EQ(ask(request()), "dc1-0");
    const auto unused = last;
    ++list[0].born;
    queue.set_upstreams(list, now);
    say(answered, {true, {}});
    queue.take_back(unused, now, {true, {}});
    EXPECT_EQ(ask(request()), "dc1-0");
}

// Nothing is left: callers hear it at once, with the earliest return.
TEST_F(queue_wishes, requests_wait_for_upstreams_that_want_quiet)
{
    set_upstreams(2);
    ASSERT_FALSE(ask(request()).empty());
    say(last, {false, 4s}, send_result::refused);
    ASSERT_FALSE(ask(request()).empty());
    say(last, {false, 2s}, send_result::refused);
    EXPECT_TRUE(ask(request()).empty());
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->reason, state::place_refusal_reason::no_upstream);
    EXPECT_GE(refusal->retry_after, 2s);
    EXPECT_LT(refusal->retry_after, 4s);
    now += 2s;
    queue.poll(now);
    EXPECT_EQ(ask(request()), "dc1-1");
}

/// Load pattern: a fifth of the upstreams leaves, or wants quiet, in a wave,
/// under three quarters of the load that the rest can carry. The register says
/// nothing for 8 s.
struct wish_load : queue_wishes, ::testing::WithParamInterface<int>
{
    struct outcome
    {
        int late = 0;
        int refused = 0;
    };

    /// @param wish of each fifth upstream, said with its first answer after 1 s
    outcome run(const state::upstream_wish& wish, state::duration allowed)
    {
        set_upstreams(GetParam());
        outcome out;
        std::map<std::string, state::time_point> said;
        std::multimap<state::time_point, std::pair<std::uint64_t, std::string>>
            ends;
        const auto work = 100ms;
        // Of the slots of the willing upstreams, three quarters are in use.
        const auto in_use = static_cast<std::size_t>(GetParam()) * test::slots *
                            4 * 3 / (5 * 4);
        const auto begun = now;
        for (; now < begun + 8s; now += 5ms) {
            while (!ends.empty() && ends.begin()->first <= now) {
                const auto [number, id] = ends.begin()->second;
                ends.erase(ends.begin());
                const bool speaks = now > begun + 1s &&
                                    std::stoul(id.substr(4)) % 5 == 0 &&
                                    !said.contains(id);
                if (speaks) {
                    said.emplace(id, now);
                }
                say(number, speaks ? wish : state::upstream_wish{});
            }
            queue.poll(now);
            while (ends.size() < in_use) {
                const auto id = ask(request());
                if (id.empty()) {
                    ++out.refused;
                    queue.take_back(last, now);
                    break;
                }
                const auto at = said.find(id);
                out.late +=
                    at != said.end() && now - at->second < allowed ? 1 : 0;
                ends.emplace(now + work, std::pair(last, id));
            }
        }
        EXPECT_EQ(said.size(), (static_cast<std::size_t>(GetParam()) + 4) / 5);
        return out;
    }
};

TEST_P(wish_load, leaving_upstreams_get_requests_or_others_are_held_back)
{
    const auto out = run({true, {}}, 1h);
    EXPECT_EQ(out.late, 0);
    EXPECT_EQ(out.refused, 0);
}

TEST_P(wish_load, quiet_upstreams_get_requests_or_others_are_held_back)
{
    const auto out = run({false, 2s}, 2s);
    EXPECT_EQ(out.late, 0);
    EXPECT_EQ(out.refused, 0);
}

INSTANTIATE_TEST_SUITE_P(load, wish_load, ::testing::Values(20, 133, 990));

} // namespace
