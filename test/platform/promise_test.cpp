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

// Only `Not-Executed` and 421 state that a request did not run.
TEST(promise, a_status_without_proof_is_passed_on)
{
    for (const auto* status : {"503 Busy", "429 Many", "408 Slow"}) {
        auto& b = make_bench();
        b.place_at(b.first, "u1");
        b.place_at(b.second, "u2");
        b.first.add({answer("", "q", status)});
        b.second.add({answer("twice")});
        EXPECT_EQ(b.book().result_int(), 502U) << status;
        EXPECT_EQ(b.second.runs, 0) << status;
    }
}

// Every answer repeats the id, so bytes without one belong to no request.
TEST(promise, a_status_without_an_id_is_taken_for_the_answer)
{
    for (const auto* status : {"503 Busy", "429 Many", "408 Slow"}) {
        auto& b = make_bench();
        b.place_at(b.first, "u1");
        b.first.add({std::string("HTTP/1.1 ") + status +
                     "\r\nContent-Length: 0\r\n\r\n" + answer("mine")});
        EXPECT_EQ(b.book().body(), "mine") << status;
    }
}

// The head of an earlier answer breaks off, and the next answer follows on the
// same connection: together they look like one head with this request's id.
TEST(promise, a_head_that_breaks_off_joins_the_next_answer)
{
    for (const auto* rest : {"421 Misdir", "503 Full\r\nNot-Executed: 1",
                             "503 Full\r\nServer: "}) {
        auto& b = make_bench();
        b.place_at(b.first, "u1");
        b.place_at(b.second, "u2");
        b.first.add({std::string("HTTP/1.1 ") + rest + answer("mine")});
        b.second.add({answer("twice")});
        EXPECT_EQ(b.book().result_int(), 502U) << rest;
        EXPECT_EQ(b.second.runs, 0) << rest;
    }
}

// A connection may bring as many copies as it has brought refusals.
TEST(promise, copies_of_several_refusals_end_a_request)
{
    auto& b = make_bench();
    constexpr int refusals = 7;
    std::string copies;
    for (int n = 0; n < refusals; ++n) {
        copies += refusal("Request-Id: r" + std::to_string(n) + "\r\n");
    }
    b.place_at(b.first, "u1");
    b.first.add({copies + answer("mine")});
    EXPECT_EQ(b.book().body(), "mine");
}

// Another place would come when the process has ended.
TEST(promise, a_stopping_host_waits_for_another_place)
{
    auto& b = make_bench();
    b.place_at(b.first, "u1");
    b.first.add({own_refusal, 300ms});
    fake_caller caller(b.ioc, b.worker.address());
    caller.send(test::slow_book());
    boost::this_fiber::sleep_for(50ms);
    test::begin_stop(b, &coordination::drain_schedule::wait_end, 100ms);
    b.worker.drain();
    const auto refused_at = std::chrono::steady_clock::now() + 250ms;
    EXPECT_EQ(caller.receive().result_int(), 503U);
    EXPECT_LT(std::chrono::steady_clock::now(), refused_at + 500ms);
}

} // namespace
