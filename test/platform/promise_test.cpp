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

// An answer to a request without an id bears none, so nothing tells a late copy
// of it from the next answer on the connection.
TEST(promise, a_copy_without_an_id_ends_the_next_request)
{
    auto& b = make_bench();
    const std::string nameless =
        "HTTP/1.1 200 OK\r\nServer-Stamp: x\r\nContent-Length: 5\r\n\r\nother";
    b.place_at(b.first, "u1");
    b.place_at(b.first, "u1");
    b.first.add({.bytes = nameless, .late = nameless});
    b.first.add({answer("mine")});
    EXPECT_EQ(b.send("GET /read/1 HTTP/1.1\r\nHost: x\r\n\r\n").body(),
              "other");
    EXPECT_EQ(b.book().body(), "mine");
}

// An interim answer breaks off, and the answer joins its head. The body, which
// may hold what a caller sent, is then read as the next answer.
TEST(promise, an_interim_head_that_breaks_off_joins_the_answer)
{
    auto& b = make_bench();
    b.place_at(b.first, "u1");
    b.place_at(b.second, "u2");
    b.first.add({"HTTP/1.1 102 Proc" + answer(own_refusal)});
    b.second.add({answer("twice")});
    EXPECT_EQ(b.book().result_int(), 502U);
    EXPECT_EQ(b.second.runs, 0);
}

// Fields of an interim answer are no answer to the request.
TEST(promise, an_interim_answer_refuses_a_request)
{
    auto& b = make_bench();
    b.place_at(b.first, "u1");
    b.place_at(b.second, "u2");
    b.first.add({"HTTP/1.1 103 Early\r\nRequest-Id: q\r\nNot-Executed: "
                 "1\r\n\r\n" +
                 answer("mine")});
    b.second.add({answer("twice")});
    EXPECT_EQ(b.book().body(), "mine");
    EXPECT_EQ(b.second.runs, 0);
}

// Ids are compared byte by byte: another case is another request's id.
TEST(promise, a_refusal_with_an_id_of_another_case_is_believed)
{
    for (const auto* id : {"Request-Id: Q\r\n", "Request-Id: q q\r\n",
                           "Request-Id: \"q\"\r\n"}) {
        auto& b = make_bench();
        b.place_at(b.first, "u1");
        b.place_at(b.second, "u2");
        b.first.add({refusal(id) + answer("mine")});
        b.second.add({answer("twice")});
        EXPECT_EQ(b.book().body(), "mine") << id;
        EXPECT_EQ(b.second.runs, 0) << id;
    }
}

// A head with two ids names no request.
TEST(promise, a_refusal_with_two_ids_is_believed)
{
    auto& b = make_bench();
    b.place_at(b.first, "u1");
    b.place_at(b.second, "u2");
    b.first.add(
        {refusal("Request-Id: q\r\nRequest-Id: r\r\n") + answer("mine")});
    b.second.add({answer("twice")});
    EXPECT_EQ(b.book().body(), "mine");
    EXPECT_EQ(b.second.runs, 0);
}

// A caller's request with two ids: the upstream goes by the second one.
TEST(promise, a_request_with_two_ids_meets_a_copy)
{
    auto& b = make_bench();
    for (int n = 0; n < 3; ++n) {
        b.place_at(n < 2 ? b.first : b.second, "u" + std::to_string(n));
    }
    const auto copy = refusal("Request-Id: q\r\n");
    const std::string twice = "POST /book/1 HTTP/1.1\r\nHost: x\r\n"
                              "Request-Id: p\r\nRequest-Id: q\r\n"
                              "Content-Length: 4\r\n\r\nbody";
    b.first.add({.bytes = copy, .late = copy});
    b.first.add({answer("mine")});
    b.second.add({answer("twice")});
    (void)b.send(twice);
    EXPECT_EQ(b.book().body(), "mine");
    EXPECT_EQ(b.second.runs, 0);
}

// A refusal of HEAD tells the length of a body that does not follow. Whoever
// reads past its copy takes the head of the next answer for that body, and the
// body, which may hold what a caller sent, for the answer.
TEST(promise, a_copy_of_a_refused_head_request_hides_the_answer)
{
    auto& b = make_bench();
    const auto mine = answer(own_refusal);
    const auto copy = "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n"
                      "Request-Id: h\r\nContent-Length: " +
                      std::to_string(mine.size() - own_refusal.size()) +
                      "\r\n\r\n";
    b.place_at(b.first, "u1");
    b.places.answers.push_back(no_place());
    b.place_at(b.first, "u1");
    b.place_at(b.second, "u2");
    b.first.add({.bytes = copy, .late = copy});
    b.first.add({mine});
    b.second.add({answer("twice")});
    fake_caller caller(b.ioc, b.worker.address());
    caller.send("HEAD /read/1 HTTP/1.1\r\nHost: x\r\nRequest-Id: h\r\n\r\n");
    boost::this_fiber::sleep_for(50ms);
    EXPECT_EQ(b.book().body(), own_refusal);
    EXPECT_EQ(b.second.runs, 0);
}

// The copy of an answer has a body where the answer to HEAD has none.
TEST(promise, a_copy_ends_a_head_request)
{
    auto& b = make_bench();
    const auto copy = answer(refusal("Request-Id: h\r\n"), "q");
    b.place_at(b.first, "u1");
    b.place_at(b.first, "u1");
    b.place_at(b.second, "u2");
    b.first.add({.bytes = copy, .late = copy});
    b.first.add({answer("", "h")});
    b.second.add({answer("", "h")});
    (void)b.book();
    fake_caller caller(b.ioc, b.worker.address());
    caller.send("HEAD /book/1 HTTP/1.1\r\nHost: x\r\nRequest-Id: h\r\n\r\n");
    boost::this_fiber::sleep_for(50ms);
    EXPECT_EQ(b.first.runs, 2);
    EXPECT_EQ(b.second.runs, 0);
}

// The body of a copy breaks off, and the head of the answer is read as its
// rest.
TEST(promise, a_body_that_breaks_off_joins_the_answer)
{
    auto& b = make_bench();
    b.place_at(b.first, "u1");
    b.place_at(b.second, "u2");
    const auto mine = answer(own_refusal);
    const auto length = 1 + mine.size() - own_refusal.size();
    b.first.add({"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nRequest-Id: r\r\n"
                 "Content-Length: " +
                 std::to_string(length) + "\r\n\r\nF" + mine});
    b.second.add({answer("twice")});
    EXPECT_EQ(b.book().result_int(), 502U);
    EXPECT_EQ(b.second.runs, 0);
}

} // namespace
