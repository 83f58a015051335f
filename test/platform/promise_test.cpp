// Guards the statuses that promise callers that a request has not run and never
// will run (429, 503, 408 and 421) against answers that prove nothing.

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

const std::string own_refusal = refusal("Request-Id: q\r\n");

state::place_refusal no_place()
{
    return {state::place_refusal_reason::no_upstream, 10ms};
}

// The first send is refused after the one beside it has reached an upstream and
// lost its connection.
TEST(promise, a_refusal_hides_the_send_beside_it)
{
    auto& b = make_bench();
    b.place_at(b.first, "u1", 20ms);
    b.place_at(b.second, "u2");
    b.places.answers.push_back(no_place());
    b.first.add({own_refusal, 150ms});
    b.second.add({"", 0ms, after_answer::close});
    EXPECT_EQ(b.read().result_int(), 502U);
    EXPECT_EQ(b.second.runs, 1);
}

// The same without a send beside the first.
TEST(promise, a_refusal_hides_a_lost_answer_before_it)
{
    auto& b = make_bench();
    b.place_at(b.first, "u1");
    b.place_at(b.second, "u2");
    b.places.answers.push_back(no_place());
    b.first.add({"", 0ms, after_answer::close});
    b.second.add({own_refusal});
    EXPECT_EQ(b.read().result_int(), 502U);
}

} // namespace
