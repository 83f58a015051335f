// Guards the promises of the gateway's request path: what may repeat, which
// answer belongs to a request, and what a refusal says.

#include "fakes/gateway_bench.hpp"
#include "fakes/raw_upstream.hpp"

#include <gtest/gtest.h>

namespace {

using namespace oriolegrade;
using namespace std::chrono_literals;
using test::after_answer;
using test::answer;
using test::begin_stop;
using test::fake_caller;
using test::make_bench;
using test::refusal;
using test::slow_book;
using bench = test::gateway_bench;

TEST(gateway_worker, upstream_gets_host_identity_and_time)
{
    auto& b = make_bench();
    b.place_at(b.first, "u1");
    b.first.add({answer("one")});
    const auto got = b.read();
    EXPECT_EQ(got.body(), "one");
    EXPECT_EQ(got["Server-Stamp"], "x");
    EXPECT_EQ(b.first.last["Host"], "x");
    EXPECT_EQ(b.first.last["Expect-Instance"], "u1");
    EXPECT_LE(std::stoi(std::string(b.first.last["Deadline-Ms"])), 400);
    EXPECT_EQ(b.places.reports[1].at(0), state::send_result::answered);
}

struct bodiless_answer
{
    const char* name;
    const char* method;
    const char* target;
    /// Answer of the upstream; empty when the gateway answers itself.
    const char* upstream;
    unsigned status;
    /// Content-Length due in the head; empty for none, null for any.
    const char* length;
};

/// Methods and statuses whose answers end with their head (RFC 9112, 6.3).
const bodiless_answer bodiless_answers[] = {
    {"head_without_route", "HEAD", "/none/1", "", 404, nullptr},
    {"head_without_place", "HEAD", "/read/1", "", 503, nullptr},
    {"head_of_a_booking", "HEAD", "/book/1", "", 503, nullptr},
    {"head_with_length", "HEAD", "/read/1",
     "HTTP/1.1 200 OK\r\nServer-Stamp: x\r\nRequest-Id: q\r\n"
     "Content-Length: 7\r\n\r\n",
     200, "7"},
    {"head_without_length", "HEAD", "/read/1",
     "HTTP/1.1 200 OK\r\nServer-Stamp: x\r\nRequest-Id: q\r\n\r\n", 200, ""},
    {"no_content", "GET", "/read/1",
     "HTTP/1.1 204 None\r\nServer-Stamp: x\r\nRequest-Id: q\r\n\r\n", 204, ""},
    {"no_content_with_length", "GET", "/read/1",
     "HTTP/1.1 204 None\r\nServer-Stamp: x\r\nRequest-Id: q\r\n"
     "Content-Length: 7\r\n\r\n",
     204, ""},
    {"not_modified", "GET", "/read/1",
     "HTTP/1.1 304 Same\r\nServer-Stamp: x\r\nRequest-Id: q\r\n\r\n", 304, ""},
    {"not_modified_with_length", "GET", "/read/1",
     "HTTP/1.1 304 Same\r\nServer-Stamp: x\r\nRequest-Id: q\r\n"
     "Content-Length: 7\r\n\r\n",
     304, "7"},
};

class answer_without_body : public ::testing::TestWithParam<bodiless_answer>
{};

// The gateway's own answers to HEAD, and a 204 or 304 without a length, had a
// body, which stood where the caller reads its next answer.
TEST_P(answer_without_body, is_followed_by_bytes_of_its_own)
{
    const auto& it = GetParam();
    auto& b = make_bench();
    if (*it.upstream != '\0') {
        b.place_at(b.first, "u1");
        b.first.add({it.upstream});
    } else {
        b.places.answers.push_back(state::place_refusal{
            state::place_refusal_reason::no_upstream, 10ms});
    }
    fake_caller caller(b.ioc, b.worker.address());
    caller.send(std::string(it.method) + " " + it.target +
                " HTTP/1.1\r\nHost: x\r\nRequest-Id: q\r\n\r\n");
    const auto got = caller.receive_head();
    EXPECT_EQ(got.result_int(), it.status);
    EXPECT_EQ(got.count("Transfer-Encoding"), 0U);
    if (it.length != nullptr) {
        EXPECT_EQ(got["Content-Length"], it.length);
    }
    b.places.answers.clear();
    b.place_at(b.second, "u2");
    b.second.add({answer("next", "n")});
    caller.send("GET /read/2 HTTP/1.1\r\nHost: x\r\nRequest-Id: n\r\n\r\n");
    EXPECT_EQ(caller.receive().body(), "next");
}

INSTANTIATE_TEST_SUITE_P(gateway_worker, answer_without_body,
                         ::testing::ValuesIn(bodiless_answers),
                         [](const auto& it) {
                             return std::string(it.param.name);
                         });

/// Answer of an upstream that says that it leaves.
std::string leaving_answer(const std::string& body)
{
    return answer(body, "q", "200 OK", "Server-Leaving: 1\r\n");
}

// Upstreams count what arrives. A send whose upstream could not be reached is
// followed by another first one, and one that arrived by a repeat.
TEST(gateway_worker, an_unreached_upstream_costs_an_extra_send)
{
    auto& b = make_bench();
    b.places.answers.push_back(
        state::place{"u1", test::closed_address, 10, {}, 1});
    b.place_at(b.first, "u2");
    b.first.add({test::refusal("Request-Id: q\r\n")});
    b.place_at(b.second, "u3");
    b.second.add({answer("two")});
    EXPECT_EQ(b.book().body(), "two");
    ASSERT_EQ(b.places.requests.size(), 3U);
    EXPECT_EQ(b.places.requests[1].kind, state::send_kind::first);
    EXPECT_TRUE(b.places.requests[1].placed_before);
    EXPECT_EQ(b.places.requests[2].kind, state::send_kind::repeat);
    EXPECT_FALSE(b.places.requests[2].placed_before);
}

// A dispatcher that lags places at an upstream that has said that it leaves.
// The host knows better, and a new incarnation of the upstream is another one.
TEST(gateway_worker, an_upstream_that_said_it_leaves_gets_another_request)
{
    auto& b = make_bench();
    b.place_at(b.first, "u1");
    b.first.add({leaving_answer("one")});
    EXPECT_EQ(b.book().body(), "one");
    ASSERT_EQ(b.places.wishes.size(), 1U);
    EXPECT_TRUE(b.places.wishes[0].leaving);
    for (int n = 0; n < 2; ++n) {
        b.place_at(b.first, "u1");
        b.place_at(b.second, "u2");
        b.second.add({answer("two")});
        EXPECT_EQ(b.book().body(), "two");
        EXPECT_EQ(b.first.runs, 1);
        // The dispatcher hears of it, and places elsewhere.
        EXPECT_EQ(b.places.wishes.size(), 2U + n);
        EXPECT_EQ(b.places.requests.back().tried,
                  std::vector<std::string>{"u1"});
    }
    b.place_at(b.first, "u1", {}, 2);
    b.first.add({answer("again")});
    EXPECT_EQ(b.book().body(), "again");
}

// The place of a repeat was given back for a wish of its upstream, and the next
// one was requested as for a first send, which no budget of extra sends counts.
TEST(gateway_worker, a_repeat_that_is_placed_again_costs_an_extra_send)
{
    auto& b = make_bench();
    b.place_at(b.first, "u1");
    b.first.add({leaving_answer("one")});
    b.book();
    b.places.requests.clear();
    b.place_at(b.second, "u2");
    b.second.add({answer("fault", "q", "500 Error")});
    b.place_at(b.first, "u1");
    b.place_at(b.second, "u3");
    b.second.add({answer("three")});
    EXPECT_EQ(b.read().body(), "three");
    ASSERT_EQ(b.places.requests.size(), 3U);
    EXPECT_EQ(b.places.requests[1].kind, state::send_kind::repeat);
    EXPECT_EQ(b.places.requests[2].kind, state::send_kind::repeat);
}

// The same for a hedge: the second send of a read was placed at an upstream
// that leaves.
TEST(gateway_worker, a_hedge_goes_to_an_upstream_that_leaves)
{
    auto& b = make_bench();
    b.place_at(b.second, "u2");
    b.second.add({leaving_answer("")});
    b.book();
    b.place_at(b.first, "u1", 20ms);
    b.place_at(b.second, "u2");
    b.first.add({answer("slow"), 100ms});
    EXPECT_EQ(b.read().body(), "slow");
    EXPECT_EQ(b.second.runs, 1);
}

// An upstream that turned a request away asked for quiet, and got the next one.
TEST(gateway_worker, an_upstream_that_wants_quiet_gets_a_request)
{
    auto& b = make_bench();
    b.place_at(b.first, "u1");
    b.place_at(b.second, "u2");
    b.first.add({refusal("Request-Id: q\r\nRetry-After: 0.3\r\n")});
    b.second.add({answer("two")});
    EXPECT_EQ(b.book().body(), "two");
    b.place_at(b.first, "u1");
    b.place_at(b.second, "u2");
    b.second.add({answer("three")});
    EXPECT_EQ(b.book().body(), "three");
    EXPECT_EQ(b.first.runs, 1);
    boost::this_fiber::sleep_for(320ms);
    b.place_at(b.first, "u1");
    b.first.add({answer("four")});
    EXPECT_EQ(b.book().body(), "four");
}

// All places that the dispatcher knows are of upstreams that leave: the caller
// hears at once that nothing ran.
TEST(gateway_worker, a_request_without_a_willing_upstream_waits)
{
    auto& b = make_bench();
    b.place_at(b.first, "u1");
    b.first.add({leaving_answer("")});
    b.book();
    b.place_at(b.first, "u1");
    b.places.answers.push_back(
        state::place_refusal{state::place_refusal_reason::no_upstream, 1500ms});
    const auto got = b.book();
    EXPECT_EQ(got.result_int(), 503U);
    EXPECT_EQ(got["Retry-After"], "1.50");
    EXPECT_EQ(b.first.runs, 1);
}

// An answer with a coding that cannot be read has no known end, or a coded
// body: the bytes behind its length would be read as the next answer.
TEST(gateway_worker, an_answer_with_an_unknown_coding_is_passed_on)
{
    for (const auto* fields :
         {"Transfer-Encoding: gzip\r\nContent-Length: 4\r\n",
          "Content-Length: 4\r\nTransfer-Encoding: gzip\r\n",
          "Transfer-Encoding: gzip\r\n", "Transfer-Encoding: gzip, chunked\r\n",
          "Transfer-Encoding: chunked, gzip\r\n",
          "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
          "Content-Length: 4\r\nContent-Length: 5\r\n",
          "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"}) {
        auto& b = make_bench();
        b.place_at(b.first, "u1");
        b.first.add({"HTTP/1.1 200 OK\r\nServer-Stamp: x\r\nRequest-Id: q\r\n" +
                         std::string(fields) + "\r\n4\r\nbody\r\n0\r\n\r\n",
                     0ms, after_answer::close});
        EXPECT_EQ(b.book().result_int(), 502U) << fields;
    }
}

// A chunked answer without content that came in pieces ended the process by an
// assertion of the library.
TEST(gateway_worker, an_empty_chunked_answer_in_pieces_ends_the_process)
{
    auto& b = make_bench();
    test::raw_upstream upstream(
        b.ioc, test::with_empty_body_in_pieces(
                   "HTTP/1.1 200 OK\r\nServer-Stamp: x\r\nRequest-Id: q\r\n"));
    b.places.answers.push_back(state::place{"u1", upstream.address(), 10, {}});
    const auto got = b.book();
    EXPECT_EQ(got.result_int(), 200U);
    EXPECT_EQ(got.body(), "");
}

// A 103 was passed on as the final answer, and the answer behind it was lost.
TEST(gateway_worker, an_interim_answer_is_taken_for_the_final_one)
{
    for (const auto* status : {"100", "101", "102", "103", "104", "199"}) {
        auto& b = make_bench();
        b.place_at(b.first, "u1");
        b.first.add({"HTTP/1.1 " + std::string(status) +
                     " Wait\r\nLink: </a>\r\n\r\n" + answer("final")});
        const auto got = b.book();
        EXPECT_EQ(got.result_int(), 200U) << status;
        EXPECT_EQ(got.body(), "final") << status;
    }
}

// A field above 65,535 bytes, within the operator's limit of a head, ended the
// process and with it all requests in progress.
TEST(gateway_worker, a_field_above_64_kb_ends_the_process)
{
    auto& b = make_bench();
    auto rules = b.shared.rules.read()->rules();
    rules.limits.header_bytes = 131'072;
    b.shared.rules.publish(std::make_shared<state::route_index>(
        std::make_shared<const state::traffic_rules>(rules)));
    test::raw_upstream upstream(b.ioc, {answer("long")});
    const auto field = "Cookie: " + std::string(70'000, 'c') + "\r\n";
    for (const auto* begin :
         {"GET /read/1 HTTP/1.1\r\n",
          "POST /book/1 HTTP/1.1\r\nContent-Length: 0\r\n"}) {
        b.places.answers.push_back(
            state::place{"u1", upstream.address(), 10, {}});
        const auto got =
            b.send(begin + field + "Host: x\r\nRequest-Id: q\r\n\r\n");
        EXPECT_EQ(got.result_int(), 200U);
        ASSERT_FALSE(upstream.heads.empty());
        EXPECT_NE(upstream.heads.back().find(field), std::string::npos);
    }
    const auto got = b.send("GET /read/1 HTTP/1.1\r\nHost: x\r\nCookie: " +
                            std::string(140'000, 'c') + "\r\n\r\n");
    EXPECT_EQ(got.result_int(), 431U);
}

// A read hides a server error by a send elsewhere.
TEST(gateway_worker, server_error_of_a_read_is_tried_elsewhere)
{
    auto& b = make_bench();
    b.place_at(b.first, "u1");
    b.place_at(b.second, "u2");
    b.first.add({answer("bad", "q", "500 Error")});
    b.second.add({answer("good")});
    EXPECT_EQ(b.read().body(), "good");
    EXPECT_EQ(b.places.requests.at(1).kind, state::send_kind::repeat);
    EXPECT_EQ(b.places.requests.at(1).tried, std::vector<std::string>{"u1"});
}

// Without a second place the caller gets the upstream's own answer.
TEST(gateway_worker, server_error_is_passed_on_when_nothing_is_better)
{
    auto& b = make_bench();
    b.place_at(b.first, "u1");
    b.places.answers.push_back(
        state::place_refusal{state::place_refusal_reason::budget, 10ms});
    b.first.add({answer("bad", "q", "500 Error")});
    const auto got = b.read();
    EXPECT_EQ(got.result_int(), 500U);
    EXPECT_EQ(got.body(), "bad");
    EXPECT_EQ(got["Server-Stamp"], "x");
}

// A booking that may have run is never sent again, and never called unrun.
TEST(gateway_worker, lost_booking_is_not_repeated)
{
    auto& b = make_bench();
    b.place_at(b.first, "u1");
    b.place_at(b.second, "u2");
    b.first.add({"", 0ms, after_answer::close});
    EXPECT_EQ(b.book().result_int(), 502U);
    EXPECT_EQ(b.first.runs + b.second.runs, 1);
}

// The second place would stay unused, counts as use of its upstream, and the
// caller would wait in line for it before hearing that the request is lost.
TEST(gateway_worker, a_lost_booking_asks_for_a_second_place)
{
    auto& b = make_bench();
    b.place_at(b.first, "u1");
    b.first.add({"", 0ms, after_answer::close});
    EXPECT_EQ(b.book().result_int(), 502U);
    EXPECT_EQ(b.places.requests.size(), 1U);
}

TEST(gateway_worker, server_error_of_a_booking_is_final)
{
    auto& b = make_bench();
    b.place_at(b.first, "u1");
    b.place_at(b.second, "u2");
    b.first.add({answer("bad", "q", "500 Error")});
    EXPECT_EQ(b.book().result_int(), 500U);
    EXPECT_EQ(b.second.runs, 0);
}

// A proof that nothing ran allows another upstream for any request.
TEST(gateway_worker, refused_booking_goes_elsewhere)
{
    auto& b = make_bench();
    b.place_at(b.first, "u1");
    b.place_at(b.second, "u2");
    b.first.add({refusal("Request-Id: q\r\n")});
    b.second.add({answer("booked")});
    EXPECT_EQ(b.book().body(), "booked");
    EXPECT_EQ(b.second.last.body(), "body");
    EXPECT_EQ(b.places.reports[1].at(0), state::send_result::refused);
}

TEST(gateway_worker, another_upstream_at_the_address_is_reported)
{
    auto& b = make_bench();
    b.place_at(b.first, "u1");
    b.places.answers.push_back(
        state::place_refusal{state::place_refusal_reason::no_upstream, 10ms});
    b.first.add({"HTTP/1.1 421 Other\r\nInstance-Id: u9\r\n"
                 "Request-Id: q\r\n"
                 "Content-Length: 0\r\n\r\n"});
    const auto got = b.book();
    EXPECT_EQ(got.result_int(), 503U);
    EXPECT_EQ(b.places.reports[1].at(0), state::send_result::misdirected);
}

// Bytes of an earlier request's second answer belong to nobody.
TEST(gateway_worker, stray_answer_is_skipped)
{
    auto& b = make_bench();
    b.place_at(b.first, "u1");
    b.first.add({answer("stray", "other") + answer("mine")});
    EXPECT_EQ(b.book().body(), "mine");
}

// Without a count nobody sees that an upstream answers twice.
TEST(gateway_worker, skipped_answers_are_not_counted)
{
    auto& b = make_bench();
    b.place_at(b.first, "u1");
    b.first.add({answer("stray", "other") + refusal("Request-Id: older\r\n") +
                 answer("mine")});
    EXPECT_EQ(b.book().body(), "mine");
    EXPECT_NE(
        b.shared.metrics.to_text().find("oriole_skipped_answers_total 2\n"),
        std::string::npos);
}

// An upstream writes an earlier refusal once more when the next request is
// there. Taken for this request's own it would say unrun of one that runs, and
// send it to a second upstream.
TEST(gateway_worker, a_refusal_written_twice_is_taken_for_the_next_request)
{
    for (const auto* id_field : {"Request-Id: earlier\r\n", ""}) {
        auto& b = make_bench();
        b.place_at(b.first, "u1");
        b.place_at(b.second, "u2");
        b.first.add({refusal(id_field) + answer("mine")});
        b.second.add({answer("twice")});
        EXPECT_EQ(b.book().body(), "mine") << id_field;
        EXPECT_EQ(b.second.runs, 0) << id_field;
    }
}

// The same, and the connection ends: the request may have run.
TEST(gateway_worker, a_refusal_written_twice_says_nothing_of_a_lost_request)
{
    for (const auto* id_field : {"Request-Id: earlier\r\n", ""}) {
        auto& b = make_bench();
        b.place_at(b.first, "u1");
        b.place_at(b.second, "u2");
        b.first.add({refusal(id_field), 0ms, after_answer::close});
        b.second.add({answer("twice")});
        EXPECT_EQ(b.book().result_int(), 502U) << id_field;
        EXPECT_EQ(b.second.runs, 0) << id_field;
    }
}

// The second copy comes on the kept connection of a request that was refused.
TEST(gateway_worker, a_late_refusal_on_a_kept_connection_is_not_the_next_ones)
{
    auto& b = make_bench();
    for (const auto* id : {"u1", "u2", "u1"}) {
        b.place_at(id == std::string("u1") ? b.first : b.second, id);
    }
    b.first.add({refusal("Request-Id: q\r\n")});
    b.second.add({answer("first")});
    ASSERT_EQ(b.book().body(), "first");
    b.first.add({refusal("Request-Id: q\r\n") + answer("second", "r")});
    const auto got = b.send("POST /book/1 HTTP/1.1\r\nHost: x\r\n"
                            "Request-Id: r\r\nContent-Length: 4\r\n\r\nbody");
    EXPECT_EQ(got.body(), "second");
    EXPECT_EQ(b.second.runs, 1);
}

/// Answers that say that the request did not run. An upstream that has
/// restarted stands in the register under its old id and its new one until the
/// old entry lapses, and answers 421 to a request for the old one.
const std::vector<std::string>& unrun_answers()
{
    static const std::vector<std::string> out{
        refusal("Request-Id: q\r\n"),
        "HTTP/1.1 421 Other\r\nRequest-Id: q\r\nContent-Length: 0\r\n\r\n"};
    return out;
}

/// Has the first upstream refuse the request, and refuse it once more when the
/// connection carries the next one.
void add_refusal_with_copy(bench& b, const std::string& unrun)
{
    b.place_at(b.first, "old");
    b.place_at(b.first, "new");
    b.first.add({.bytes = unrun, .late = unrun});
    b.first.add({answer("mine")});
}

// The copy bears the id of the request that is under way again.
TEST(gateway_worker, a_copy_of_a_refusal_sends_a_running_request_again)
{
    for (const auto& unrun : unrun_answers()) {
        auto& b = make_bench();
        add_refusal_with_copy(b, unrun);
        b.place_at(b.second, "u2");
        b.second.add({answer("twice")});
        EXPECT_EQ(b.book().body(), "mine") << unrun;
        EXPECT_EQ(b.second.runs, 0) << unrun;
    }
}

TEST(gateway_worker, a_copy_of_a_refusal_calls_a_running_request_unrun)
{
    for (const auto& unrun : unrun_answers()) {
        auto& b = make_bench();
        add_refusal_with_copy(b, unrun);
        b.places.answers.push_back(state::place_refusal{
            state::place_refusal_reason::no_upstream, 10ms});
        EXPECT_EQ(b.book().body(), "mine") << unrun;
    }
}

/// What an upstream sends before the head that is cut.
const std::vector<std::string>& before_cut_heads()
{
    static const std::vector<std::string> out{
        "", "HTTP/1.1 100 Continue\r\n\r\n", answer("stray", "other")};
    return out;
}

/// Heads of whole answers, with a length, in chunks, and without either.
const std::vector<std::string>& whole_heads()
{
    static const std::string begin =
        "HTTP/1.1 200 OK\r\nServer-Stamp: x\r\nRequest-Id: q\r\n";
    static const std::vector<std::string> out{
        begin + "Content-Length: 3\r\n\r\n",
        begin + "Transfer-Encoding: chunked\r\n\r\n", begin + "\r\n",
        "HTTP/1.1 204 None\r\nServer-Stamp: x\r\nRequest-Id: q\r\n\r\n"};
    return out;
}

// An upstream stops in the middle of its answer's head and closes. Neither a
// read nor a booking may get a success that looks whole.
TEST(gateway_worker, a_head_cut_short_looks_whole)
{
    auto& b = make_bench();
    for (const auto& before : before_cut_heads()) {
        for (const auto& head : whole_heads()) {
            for (std::size_t n = 0; n < head.size(); ++n) {
                const auto cut = before + head.substr(0, n);
                b.place_at(b.first, "u1");
                b.first.add({cut, 0ms, after_answer::close});
                ASSERT_EQ(b.book().result_int(), 502U) << cut;
                b.place_at(b.first, "u1");
                b.place_at(b.second, "u2");
                b.first.add({cut, 0ms, after_answer::close});
                b.second.add({answer("good")});
                const auto got = b.read();
                ASSERT_EQ(got.result_int(), 200U) << cut;
                ASSERT_EQ(got.body(), "good") << cut;
            }
        }
    }
}

TEST(gateway_worker, success_without_signature_is_not_passed_on)
{
    auto& b = make_bench();
    b.place_at(b.first, "u1");
    b.first.add({"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"});
    EXPECT_EQ(b.book().result_int(), 502U);
}

// Who is refused unrun hears when to come back.
TEST(gateway_worker, refusal_says_unrun_and_when_to_return)
{
    auto& b = make_bench();
    b.places.answers.push_back(
        state::place_refusal{state::place_refusal_reason::overloaded, 1500ms});
    const auto got = b.book();
    EXPECT_EQ(got.result_int(), 503U);
    EXPECT_EQ(got["Retry-After"], "1.50");
    EXPECT_EQ(b.first.runs, 0);
}

// A request in line at its deadline was not run, and its place in line is
// given up.
TEST(gateway_worker, request_in_line_is_refused_at_its_deadline)
{
    auto& b = make_bench();
    EXPECT_EQ(b.read().result_int(), 503U);
    EXPECT_EQ(b.places.reports[1].at(0), state::send_result::cancelled);
}

// The place may be on its way by then. Reported as a send, it counted as one of
// the host's extra sends and as use of its upstream.
TEST(gateway_worker, a_place_that_comes_too_late_counts_as_used)
{
    auto& b = make_bench();
    EXPECT_EQ(b.read().result_int(), 503U);
    EXPECT_EQ(b.places.unused, std::set<std::uint64_t>{1});
    b.place_at(b.first, "u1");
    b.first.add({answer("sent")});
    EXPECT_EQ(b.read().body(), "sent");
    EXPECT_EQ(b.places.unused.size(), 1U);
}

// At the route's time the caller hears that the outcome is unknown.
TEST(gateway_worker, silent_upstream_ends_with_the_routes_time)
{
    auto& b = make_bench();
    b.place_at(b.first, "u1");
    b.first.add({answer("late"), 2s});
    const auto began = std::chrono::steady_clock::now();
    EXPECT_EQ(b.book().result_int(), 504U);
    EXPECT_LT(std::chrono::steady_clock::now() - began, 900ms);
}

// A hanging upstream: the second send answers, and both sends together stay
// within the route's attempts.
TEST(gateway_worker, hedge_answers_for_a_hanging_upstream)
{
    auto& b = make_bench();
    b.place_at(b.first, "u1", 30ms);
    b.place_at(b.second, "u2");
    b.first.add({answer("late"), 2s});
    b.second.add({answer("hedged")});
    EXPECT_EQ(b.read().body(), "hedged");
    EXPECT_EQ(b.places.requests.at(1).kind, state::send_kind::hedge);
}

// The failure found on a bench day: a repeat beside a waiting hedge made
// three sends of a route that allows two.
TEST(gateway_worker, repeat_and_hedge_together_keep_to_the_attempts)
{
    auto& b = make_bench();
    b.place_at(b.first, "u1", 20ms);
    b.first.add({answer("bad", "q", "500 Error"), 60ms});
    EXPECT_EQ(b.read().result_int(), 500U);
    EXPECT_EQ(b.places.requests.size(), 2U);
}

// The first send reached nobody and waits for another place, while the second
// one is lost. The caller was told that nothing ran.
TEST(gateway_worker, a_lost_hedge_is_called_unrun)
{
    auto& b = make_bench();
    b.places.answers.push_back(
        state::place{"u1", test::closed_address, 10, 20ms, 1});
    b.second.add({"", 0ms, after_answer::close});
    b.places.on_ask = [&b, n = 0]() mutable {
        if (++n == 3) {
            b.place_at(b.second, "u2");
        }
    };
    const auto got = b.read();
    EXPECT_EQ(b.second.runs, 1);
    EXPECT_EQ(got.result_int(), 502U);
    EXPECT_EQ(test::outcome_of(got), "unknown");
}

TEST(gateway_worker, caller_that_leaves_ends_the_send)
{
    auto& b = make_bench();
    b.place_at(b.first, "u1");
    b.first.add({answer("late"), 250ms});
    {
        fake_caller caller(b.ioc, b.worker.address());
        caller.send("POST /book/1 HTTP/1.1\r\nHost: x\r\nRequest-Id: q\r\n"
                    "Content-Length: 4\r\n\r\nbody");
        boost::this_fiber::sleep_for(50ms);
        caller.close();
    }
    boost::this_fiber::sleep_for(100ms);
    EXPECT_EQ(b.places.reports[1].at(0), state::send_result::cancelled);
}

TEST(gateway_worker, host_without_rules_refuses)
{
    auto& b = make_bench();
    b.shared.configured = false;
    EXPECT_EQ(b.read().result_int(), 503U);
    b.shared.configured = true;
    EXPECT_EQ(b.send("GET /none/ HTTP/1.1\r\nHost: x\r\n\r\n").result_int(),
              404U);
}

TEST(gateway_worker, stopping_host_closes_after_the_answer)
{
    auto& b = make_bench();
    const auto now = std::chrono::steady_clock::now();
    b.shared.begin_stop(now);
    b.place_at(b.first, "u1");
    b.first.add({answer("one")});
    EXPECT_FALSE(b.read().keep_alive());
    b.shared.begin_stop(now - b.shared.options.grace / 2);
    EXPECT_EQ(b.book().result_int(), 503U);
}

// Guards against requests that wait for a slot until the process ends: they are
// cut off, although they did not run and their callers had time to return.
TEST(gateway_worker, a_stopping_host_cuts_a_request_that_waits)
{
    auto& b = make_bench();
    fake_caller caller(b.ioc, b.worker.address());
    caller.send(slow_book());
    boost::this_fiber::sleep_for(50ms);
    begin_stop(b, &coordination::drain_schedule::wait_end, 100ms);
    b.worker.drain();
    const auto got = caller.receive();
    EXPECT_EQ(got.result_int(), 503U);
    EXPECT_TRUE(got.count("Retry-After"));
}

// Guards against requests that run when the process ends and get no answer.
TEST(gateway_worker, a_stopping_host_cuts_a_request_that_runs)
{
    auto& b = make_bench();
    b.place_at(b.first, "u1");
    b.first.add({answer("late"), 2s});
    fake_caller caller(b.ioc, b.worker.address());
    caller.send(slow_book());
    boost::this_fiber::sleep_for(50ms);
    begin_stop(b, &coordination::drain_schedule::run_end, 100ms);
    b.worker.drain();
    EXPECT_EQ(caller.receive().result_int(), 504U);
    EXPECT_EQ(b.first.runs, 1);
}

// Guards against a deadline that is later than the end of the process: the
// dispatcher then lets the request wait, and the upstream works, for nothing.
TEST(gateway_worker, a_stopping_host_promises_more_time_than_it_has)
{
    auto& b = make_bench();
    b.place_at(b.first, "u1");
    b.first.add({answer("one")});
    begin_stop(b, &coordination::drain_schedule::accept_end, 100ms);
    EXPECT_EQ(b.send(slow_book()).result_int(), 200U);
    ASSERT_EQ(b.places.requests.size(), 1U);
    EXPECT_LE(b.places.requests[0].time_left, b.shared.options.grace / 2);
    EXPECT_LE(std::stoi(std::string(b.first.last["Deadline-Ms"])), 3000);
}

/// Sends a booking to a host of a long grace, some time after its stop signal.
test::answer_type book_late_in_a_stop(bench& b, const std::string& time_limit)
{
    b.place_at(b.first, "u1");
    b.first.add({answer("one")});
    b.shared.begin_stop(std::chrono::steady_clock::now() - 3500ms);
    return b.send("POST /slow/1 HTTP/1.1\r\nHost: x\r\nRequest-Id: q\r\n"
                  "Deadline-Ms: " +
                  time_limit + "\r\nContent-Length: 4\r\n\r\nbody");
}

// Guards against a request that is taken late in a long stop and then broken
// off at its upstream, with a 504, before its time is over.
TEST(gateway_worker, a_stopping_host_takes_what_it_would_cut)
{
    auto& b = make_bench({}, 10s);
    const auto got = book_late_in_a_stop(b, "8000");
    EXPECT_EQ(got.result_int(), 503U);
    EXPECT_TRUE(got.count("Retry-After"));
    EXPECT_EQ(test::outcome_of(got), "not-run");
    EXPECT_EQ(b.first.runs, 0);
}

// Guards against the refusal of a request that can use its whole time before
// the host ends.
TEST(gateway_worker, a_stopping_host_refuses_what_fits)
{
    auto& b = make_bench({}, 10s);
    EXPECT_EQ(book_late_in_a_stop(b, "4000").result_int(), 200U);
}

/// An upstream in trouble: what it sends first, and what never ends.
struct endless_answer
{
    const char* name;
    std::string bytes;
    std::string endless;
};

const std::string stamped = "HTTP/1.1 200 OK\r\nServer-Stamp: x\r\n";
const std::string a_kilobyte(1024, 'x');
const std::string a_chunk = "400\r\n" + a_kilobyte + "\r\n";

const std::vector<endless_answer> endless_answers{
    {"garbage_head", "", a_kilobyte},
    {"head_field", stamped + "X-Filler: ", a_kilobyte},
    {"head_fields", stamped, "X-Filler: x\r\n"},
    {"interim_answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"unsound_body", "HTTP/1.1 200 OK\r\nRequest-Id: q\r\n\r\n", a_kilobyte},
    {"stray_body",
     stamped + "Request-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n",
     a_chunk},
    {"stray_body_without_length", stamped + "Request-Id: other\r\n\r\n",
     a_kilobyte},
    {"refusal_body",
     "HTTP/1.1 503 Busy\r\nRequest-Id: q\r\nNot-Executed: 1\r\n"
     "Transfer-Encoding: chunked\r\n\r\n",
     a_chunk},
    {"chunk_extension",
     stamped + "Request-Id: q\r\nTransfer-Encoding: chunked\r\n\r\n1;",
     a_kilobyte},
    {"trailer",
     stamped + "Request-Id: q\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
     "X-Filler: x\r\n"},
};

class endless_bytes : public ::testing::TestWithParam<endless_answer>
{
protected:
    /// A read whose first upstream sends endless bytes is served by the
    /// second, and the connection to the first one is closed.
    void expect_other_upstream(std::chrono::milliseconds pause)
    {
        auto& b = make_bench();
        b.place_at(b.first, "u1");
        b.place_at(b.second, "u2");
        test::upstream_step step{GetParam().bytes};
        step.endless = GetParam().endless;
        step.endless_pause = pause;
        b.first.add(step);
        b.second.add({answer("good")});
        const auto got = b.read();
        EXPECT_EQ(got.result_int(), 200U);
        EXPECT_EQ(got.body(), "good");
        boost::this_fiber::sleep_for(20ms);
        EXPECT_EQ(b.first.endless, 0);
    }
};

// Bytes that are no answer and never end must not use up the time in which
// another upstream can answer.
TEST_P(endless_bytes, another_upstream_answers)
{
    expect_other_upstream(0ms);
}

INSTANTIATE_TEST_SUITE_P(gateway_worker, endless_bytes,
                         ::testing::ValuesIn(endless_answers),
                         [](const auto& it) {
                             return std::string(it.param.name);
                         });

// A refusal whose body trickles without end: the refusal is known, and the
// request must not wait for the rest.
TEST(gateway_worker, an_endless_trickle_after_a_refusal_costs_no_time)
{
    auto& b = make_bench();
    b.place_at(b.first, "u1");
    b.place_at(b.second, "u2");
    test::upstream_step step{
        "HTTP/1.1 503 Busy\r\nRequest-Id: q\r\nNot-Executed: 1\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"};
    step.endless = "1\r\nx\r\n";
    step.endless_pause = 10ms;
    b.first.add(step);
    b.second.add({answer("good")});
    const auto began = std::chrono::steady_clock::now();
    EXPECT_EQ(b.book().body(), "good");
    EXPECT_LT(std::chrono::steady_clock::now() - began, 200ms);
}

// An answer that has begun and never ends is cut at the longest answer; it
// must not look complete, and the upstream's connection is closed.
TEST(gateway_worker, an_endless_answer_is_cut)
{
    auto& b = make_bench();
    b.place_at(b.first, "u1");
    test::upstream_step step{
        stamped + "Request-Id: q\r\nTransfer-Encoding: chunked\r\n\r\n"};
    step.endless = a_chunk;
    step.endless_pause = 0ms;
    b.first.add(step);
    fake_caller caller(b.ioc, b.worker.address());
    caller.send("GET /read/1 HTTP/1.1\r\nHost: x\r\nRequest-Id: q\r\n\r\n");
    transport::error_code ec;
    caller.receive(ec);
    EXPECT_TRUE(ec);
    boost::this_fiber::sleep_for(20ms);
    EXPECT_EQ(b.first.endless, 0);
}

// The longest answer may be far off: the time limit of the route ends one that
// never ends, also while every read finds bytes.
TEST(gateway_worker, an_endless_answer_ends_with_its_time)
{
    auto& b = make_bench();
    b.place_at(b.first, "u1");
    test::upstream_step step{
        stamped + "Request-Id: q\r\nTransfer-Encoding: chunked\r\n\r\n"};
    step.endless = a_chunk;
    step.endless_pause = 0ms;
    b.first.add(step);
    fake_caller caller(b.ioc, b.worker.address());
    caller.send("GET /film/1 HTTP/1.1\r\nHost: x\r\nRequest-Id: q\r\n\r\n");
    EXPECT_TRUE(caller.closes_within(2s));
    boost::this_fiber::sleep_for(20ms);
    EXPECT_EQ(b.first.endless, 0);
}

} // namespace
