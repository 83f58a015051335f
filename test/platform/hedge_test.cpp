// Guards reads whose sends overlap: those whose first send breaks off beside a
// hedge and whose repeat is hedged too, and those whose hedge waits for a place
// while the host stops.

#include "fakes/gateway_bench.hpp"

#include <gtest/gtest.h>

namespace {

using namespace oriolegrade;
using namespace std::chrono_literals;
using test::after_answer;
using test::answer;
using test::fake_caller;
using test::make_bench;
using test::refusal;
using test::upstream_step;
using bench = test::gateway_bench;

/// Numbers of the places, in the order in which they are asked for.
constexpr std::uint64_t first_hedge_place = 2;
constexpr std::uint64_t repeat_place = 3;
constexpr std::uint64_t second_hedge_place = 4;

/// A read that may be sent four times.
std::string many_request()
{
    return test::read_request("q", {}, "/many/");
}

/// Sends a read that is sent four times. The first send breaks off after 50 ms
/// and its repeat is slow.
std::unique_ptr<fake_caller> read_with_two_hedges(bench& b,
                                                  upstream_step first_hedge,
                                                  upstream_step second_hedge)
{
    b.place_at(b.first, "u1", 10ms);
    b.place_at(b.second, "u2");
    b.place_at(b.first, "u3", 10ms);
    b.place_at(b.first, "u4");
    b.first.add({"", 50ms, after_answer::close});
    b.second.add(std::move(first_hedge));
    b.first.add({answer("repeat"), 2s});
    b.first.add(std::move(second_hedge));
    auto out = std::make_unique<fake_caller>(b.ioc, b.worker.address());
    out->send(many_request());
    return out;
}

// The second hedge ends behind the whole answer of the first one, and a reply
// of the host's own follows that answer: the caller takes it for the answer to
// its next request.
TEST(hedged_twice, a_reply_follows_the_answer)
{
    auto& b = make_bench();
    auto caller = read_with_two_hedges(b, {answer("hedge"), 200ms},
                                       {"", 250ms, after_answer::close});
    EXPECT_EQ(caller->receive().body(), "hedge");
    b.place_at(b.second, "u5");
    b.second.add({answer("next", "r")});
    caller->send(test::read_request("r"));
    EXPECT_EQ(caller->receive().body(), "next");
}

// The same within a long answer that breaks off.
TEST(hedged_twice, a_reply_follows_a_part_of_the_answer)
{
    auto& b = make_bench();
    const std::string part(2 * transport::hold_back_bytes, 'a');
    const auto head = "HTTP/1.1 200 OK\r\nServer-Stamp: x\r\nRequest-Id: q\r\n"
                      "Content-Length: 1000000\r\n\r\n";
    upstream_step breaks_off{head + part, 200ms, after_answer::close};
    auto caller = read_with_two_hedges(b, std::move(breaks_off),
                                       {"", 250ms, after_answer::close});
    transport::error_code ec;
    EXPECT_TRUE(caller->receive(ec).body() == part);
    EXPECT_TRUE(ec);
}

// A refusal of the second hedge hides that the first one may have run.
TEST(hedged_twice, a_lost_hedge_is_called_unrun)
{
    auto& b = make_bench();
    const auto unrun = refusal("Request-Id: q\r\n");
    b.place_at(b.first, "u1", 10ms);
    b.place_at(b.second, "u2");
    b.place_at(b.first, "u3", 10ms);
    b.place_at(b.second, "u4");
    b.places.answers.push_back(
        state::place_refusal{state::place_refusal_reason::no_upstream, 10ms});
    b.first.add({unrun, 50ms});
    b.second.add({"", 0ms, after_answer::close});
    b.first.add({unrun, 100ms});
    b.second.add({unrun});
    const auto got = b.send(many_request());
    EXPECT_EQ(b.second.runs, 2);
    EXPECT_EQ(got.result_int(), 502U);
    EXPECT_EQ(test::outcome_of(got), "unknown");
}

// The hedge that nobody waits for goes on, and holds the next answer of the
// connection back past the time limit of that request.
TEST(hedged_twice, the_next_answer_waits_for_the_other_hedge)
{
    auto& b = make_bench();
    auto caller =
        read_with_two_hedges(b, {answer("late"), 2s}, {answer("hedge"), 100ms});
    EXPECT_EQ(caller->receive().body(), "hedge");
    b.place_at(b.second, "u5");
    b.second.add({answer("next", "r")});
    const auto sent = std::chrono::steady_clock::now();
    caller->send(test::read_request("r"));
    EXPECT_EQ(caller->receive().body(), "next");
    EXPECT_LT(std::chrono::steady_clock::now(), sent + 400ms);
    for (const auto it : {first_hedge_place, repeat_place}) {
        EXPECT_EQ(b.places.reports[it].at(0), state::send_result::cancelled);
    }
}

// Upstreams go on to work for a caller that has left.
TEST(hedged_twice, a_hedge_outlives_its_caller)
{
    auto& b = make_bench();
    auto caller =
        read_with_two_hedges(b, {answer("late"), 2s}, {answer("late"), 2s});
    boost::this_fiber::sleep_for(200ms);
    caller->close();
    boost::this_fiber::sleep_for(200ms);
    for (const auto it :
         {first_hedge_place, repeat_place, second_hedge_place}) {
        ASSERT_EQ(b.places.reports[it].size(), 1U) << it;
        EXPECT_EQ(b.places.reports[it][0], state::send_result::cancelled);
    }
}

/// Sends a read whose upstream is silent, and whose hedge waits for a place.
std::unique_ptr<fake_caller> read_with_waiting_hedge(bench& b)
{
    b.place_at(b.first, "u1", 10ms);
    b.first.add({answer("late"), 4s});
    auto out = std::make_unique<fake_caller>(b.ioc, b.worker.address());
    out->send(many_request());
    boost::this_fiber::sleep_for(50ms);
    return out;
}

// A stop ends what waits for a place, so that its upstream cannot get it
// shortly before the host ends.
TEST(waiting_hedge, waits_on_in_a_stop)
{
    auto& b = make_bench();
    auto caller = read_with_waiting_hedge(b);
    test::begin_stop(b, &coordination::drain_schedule::wait_end, 100ms);
    b.worker.drain();
    boost::this_fiber::sleep_for(200ms);
    ASSERT_EQ(b.places.reports[first_hedge_place].size(), 1U);
    EXPECT_TRUE(b.places.unused.contains(first_hedge_place));
    EXPECT_EQ(b.places.reports.count(1), 0U);
    caller->close();
}

// The request waits for its hedge until its own time is over, and the process
// ends without an answer to it.
TEST(waiting_hedge, outlasts_the_stop)
{
    auto& b = make_bench();
    auto caller = read_with_waiting_hedge(b);
    test::begin_stop(b, &coordination::drain_schedule::run_end, 100ms);
    b.worker.drain();
    EXPECT_EQ(caller->receive().result_int(), 504U);
    EXPECT_LT(std::chrono::steady_clock::now(),
              b.shared.drain()->process_end());
}

// A hedge that begins when the host waits for no further place.
TEST(waiting_hedge, begins_late_in_a_stop)
{
    auto& b = make_bench();
    b.place_at(b.first, "u1", 200ms);
    b.first.add({answer("late"), 4s});
    fake_caller caller(b.ioc, b.worker.address());
    caller.send(many_request());
    boost::this_fiber::sleep_for(50ms);
    test::begin_stop(b, &coordination::drain_schedule::wait_end, 50ms);
    b.worker.drain();
    boost::this_fiber::sleep_for(250ms);
    EXPECT_EQ(b.places.requests.size(), 1U);
    caller.close();
}

} // namespace
