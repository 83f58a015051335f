// Guards the rules of a connection on which requests are sent ahead: answers in
// order, what may run beside others, and what becomes of the requests behind an
// answer that closes the connection.

#include "fakes/gateway_bench.hpp"

#include <gtest/gtest.h>

namespace {

using namespace oriolegrade;
using namespace std::chrono_literals;
using test::after_answer;
using test::answer;
using test::fake_caller;
using test::make_bench;
using test::read_request;
using bench = test::gateway_bench;

std::string book_request(const std::string& id)
{
    return "POST /book/" + id + " HTTP/1.1\r\nHost: x\r\nRequest-Id: " + id +
           "\r\nContent-Length: 4\r\n\r\nbody";
}

/// A slow request at the first upstream and a short one at the second.
void place_slow_and_short(bench& b, std::chrono::milliseconds slow = 150ms)
{
    b.place_at(b.first, "u1");
    b.place_at(b.second, "u2");
    b.first.add({answer("one", "q1"), slow});
    b.second.add({answer("two", "q2")});
}

/// Sends in a fiber of its own, because the receiver may not take all of it.
void send_aside(fake_caller& caller, std::string text)
{
    transport::spawn_fiber(
        [&caller, text = std::move(text)] { caller.send(text); });
}

// A short read waited behind a slow one before it was sent to an upstream.
TEST(pipelining, a_read_waits_for_the_one_before_it)
{
    auto& b = make_bench();
    place_slow_and_short(b);
    fake_caller caller(b.ioc, b.worker.address());
    caller.send(read_request("q1") + read_request("q2"));
    boost::this_fiber::sleep_for(75ms);
    EXPECT_EQ(b.second.runs, 1);
    const auto one = caller.receive();
    EXPECT_EQ(one.body(), "one");
    EXPECT_EQ(one["Request-Id"], "q1");
    EXPECT_EQ(caller.receive().body(), "two");
}

// The second request arrives while the first one runs.
TEST(pipelining, a_read_that_is_sent_later_waits_for_the_one_before_it)
{
    auto& b = make_bench();
    place_slow_and_short(b);
    fake_caller caller(b.ioc, b.worker.address());
    caller.send(read_request("q1"));
    boost::this_fiber::sleep_for(30ms);
    caller.send(read_request("q2"));
    boost::this_fiber::sleep_for(50ms);
    EXPECT_EQ(b.second.runs, 1);
    EXPECT_EQ(caller.receive().body(), "one");
    EXPECT_EQ(caller.receive().body(), "two");
}

// A booking behind a read that closes the connection is sent again by its
// caller. Started beside the read it would run twice.
TEST(pipelining, a_booking_starts_before_all_in_front_are_answered)
{
    auto& b = make_bench();
    place_slow_and_short(b);
    fake_caller caller(b.ioc, b.worker.address());
    caller.send(read_request("q1") + book_request("q2"));
    boost::this_fiber::sleep_for(75ms);
    EXPECT_EQ(b.second.runs, 0);
    EXPECT_EQ(caller.receive().body(), "one");
    EXPECT_EQ(caller.receive().body(), "two");
}

TEST(pipelining, a_request_starts_beside_a_booking)
{
    auto& b = make_bench();
    place_slow_and_short(b);
    fake_caller caller(b.ioc, b.worker.address());
    caller.send(book_request("q1") + read_request("q2"));
    boost::this_fiber::sleep_for(75ms);
    EXPECT_EQ(b.second.runs, 0);
    EXPECT_EQ(caller.receive().body(), "one");
    EXPECT_EQ(caller.receive().body(), "two");
}

// The caller sends what is behind a closing answer again.
TEST(pipelining, a_request_behind_the_last_one_is_sent_to_an_upstream)
{
    auto& b = make_bench();
    place_slow_and_short(b, 50ms);
    fake_caller caller(b.ioc, b.worker.address());
    caller.send(read_request("q1", "Connection: close\r\n") +
                book_request("q2"));
    const auto one = caller.receive();
    EXPECT_EQ(one.body(), "one");
    EXPECT_FALSE(one.keep_alive());
    EXPECT_TRUE(caller.closes_within(1s));
    EXPECT_EQ(b.second.runs, 0);
}

// An answer that breaks off ends the connection. The answer behind it must not
// follow, and its request is not counted as served.
TEST(pipelining, an_answer_follows_one_that_broke_off)
{
    auto& b = make_bench();
    b.place_at(b.first, "u1");
    b.place_at(b.second, "u2");
    test::upstream_step step{
        "HTTP/1.1 200 OK\r\nServer-Stamp: x\r\n"
        "Request-Id: q1\r\nContent-Length: 200000\r\n\r\n" +
            std::string(100'000, 'x'),
        0ms, after_answer::close};
    b.first.add(step);
    b.second.add({answer("two", "q2")});
    fake_caller caller(b.ioc, b.worker.address());
    caller.send(read_request("q1") + read_request("q2"));
    transport::error_code ec;
    caller.receive(ec);
    EXPECT_TRUE(ec);
    boost::this_fiber::sleep_for(50ms);
    EXPECT_NE(b.shared.metrics.to_text().find(
                  "oriole_requests_total{end=\"dropped\"} 1"),
              std::string::npos);
}

// A caller that left was not noticed when it had sent requests ahead, and its
// requests went on at their upstreams.
TEST(pipelining, requests_of_a_caller_that_left_go_on)
{
    auto& b = make_bench();
    b.place_at(b.first, "u1");
    b.place_at(b.second, "u2");
    b.first.add({answer("one", "q1"), 300ms});
    b.second.add({answer("two", "q2"), 300ms});
    {
        fake_caller caller(b.ioc, b.worker.address());
        caller.send(read_request("q1") + read_request("q2") +
                    book_request("q3"));
        boost::this_fiber::sleep_for(50ms);
        caller.close();
    }
    boost::this_fiber::sleep_for(100ms);
    ASSERT_EQ(b.places.requests.size(), 2U);
    EXPECT_EQ(b.places.reports[1].at(0), state::send_result::cancelled);
    EXPECT_EQ(b.places.reports[2].at(0), state::send_result::cancelled);
}

// The same with more bytes unread than the host keeps.
TEST(pipelining, a_caller_that_left_behind_a_full_buffer_goes_unnoticed)
{
    auto& b = make_bench();
    b.place_at(b.first, "u1");
    b.first.add({answer("one", "q1"), 390ms});
    {
        fake_caller caller(b.ioc, b.worker.address());
        caller.send(book_request("q1") + std::string(100'000, 'x'));
        boost::this_fiber::sleep_for(50ms);
        caller.close();
    }
    boost::this_fiber::sleep_for(200ms);
    EXPECT_EQ(b.places.reports[1].at(0), state::send_result::cancelled);
}

// A planned stop answers what was read; only the last answer closes the
// connection, or those behind the first would count as not read.
TEST(pipelining, a_stop_answers_only_the_first_request)
{
    auto& b = make_bench();
    fake_caller caller(b.ioc, b.worker.address());
    std::string text;
    for (const auto* id : {"q1", "q2", "q3"}) {
        b.place_at(b.first, "u1");
        b.first.add({answer(id, id), 50ms});
        text += read_request(id);
    }
    caller.send(text);
    boost::this_fiber::sleep_for(30ms);
    b.shared.begin_stop(std::chrono::steady_clock::now());
    EXPECT_TRUE(caller.receive().keep_alive());
    EXPECT_TRUE(caller.receive().keep_alive());
    const auto last = caller.receive();
    EXPECT_EQ(last.result_int(), 200U);
    EXPECT_FALSE(last.keep_alive());
    EXPECT_TRUE(caller.closes_within(1s));
}

// A stop closed the connection as soon as the last answer was written. A caller
// that reads slowly had not seen the end, and its next request reset the
// connection with the answers that were on their way.
TEST(pipelining, a_request_behind_the_last_answer_destroys_answers)
{
    auto& b = make_bench();
    constexpr int window = 4096;
    fake_caller caller(b.ioc, b.worker.address(), 0x7f000001, window);
    const std::string body(100'000, 'x');
    std::string text;
    for (const auto* id : {"q1", "q2", "q3"}) {
        b.place_at(b.first, "u1");
        b.first.add({answer(body, id), 20ms});
        text += read_request(id);
    }
    caller.send(text);
    boost::this_fiber::sleep_for(10ms);
    b.shared.begin_stop(std::chrono::steady_clock::now());
    boost::this_fiber::sleep_for(1200ms);
    caller.send(read_request("q4"));
    for (int n = 0; n < 3; ++n) {
        EXPECT_EQ(caller.receive().body().size(), body.size());
    }
    EXPECT_TRUE(caller.closes_within(1s));
}

// Bytes that are no request: the good one before them is answered, then comes a
// clear refusal, and the connection ends.
TEST(pipelining, bytes_that_are_no_request_take_the_answer_before_them)
{
    for (const auto* bad :
         {"GARBAGE\x01\r\n\r\n", "GET / HTTP/1.1\r\nBad Name: x\r\n\r\n",
          "POST /book/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
          "Transfer-Encoding: chunked\r\n\r\n",
          "POST /book/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
          "Content-Length: 5\r\n\r\nbodyx"}) {
        auto& b = make_bench();
        b.place_at(b.first, "u1");
        b.first.add({answer("one", "q1"), 50ms});
        fake_caller caller(b.ioc, b.worker.address());
        caller.send(read_request("q1") + bad);
        EXPECT_EQ(caller.receive().body(), "one") << bad;
        const auto refused = caller.receive();
        EXPECT_EQ(refused.result_int(), 400U) << bad;
        EXPECT_FALSE(refused.keep_alive()) << bad;
        EXPECT_TRUE(caller.closes_within(1s)) << bad;
        EXPECT_EQ(b.places.requests.size(), 1U) << bad;
    }
}

// A head that is cut anywhere between two segments is the same request.
TEST(pipelining, a_second_head_that_comes_in_two_parts_is_lost)
{
    const auto second = read_request("q2");
    for (std::size_t n = 1; n < second.size(); n += 7) {
        auto& b = make_bench();
        place_slow_and_short(b, 10ms);
        fake_caller caller(b.ioc, b.worker.address());
        caller.send(read_request("q1") + second.substr(0, n));
        boost::this_fiber::sleep_for(5ms);
        caller.send(second.substr(n));
        ASSERT_EQ(caller.receive().body(), "one") << n;
        ASSERT_EQ(caller.receive().body(), "two") << n;
    }
}

// Ten thousand requests at once: only a bounded number is read, and none goes
// on after the caller has left.
TEST(pipelining, requests_sent_without_end_are_all_read)
{
    constexpr std::size_t most = 8;
    auto& b = make_bench();
    std::string text;
    for (int n = 0; n < 10'000; ++n) {
        text += read_request("q" + std::to_string(n));
    }
    fake_caller caller(b.ioc, b.worker.address());
    send_aside(caller, text);
    boost::this_fiber::sleep_for(100ms);
    EXPECT_EQ(b.places.requests.size(), most);
    caller.abort();
    boost::this_fiber::sleep_for(200ms);
    EXPECT_EQ(b.places.requests.size(), most);
    EXPECT_EQ(b.shared.requests_in_flight, 0);
}

// Answers that wait for their turn use memory. Without any left, a request
// starts when it is the first.
TEST(pipelining, answers_are_held_beyond_the_memory_of_the_process)
{
    coordination::read_ahead_limits limits;
    limits.held_bytes = 100;
    auto& b = make_bench(limits);
    place_slow_and_short(b);
    fake_caller caller(b.ioc, b.worker.address());
    caller.send(read_request("q1") + read_request("q2"));
    boost::this_fiber::sleep_for(75ms);
    EXPECT_EQ(b.second.runs, 0);
    EXPECT_EQ(caller.receive().body(), "one");
    EXPECT_EQ(caller.receive().body(), "two");
    EXPECT_EQ(b.shared.held.used(), 0U);
}

// The time of a request counts from its own arrival, also while it waits behind
// others.
TEST(pipelining, a_request_gets_more_time_for_having_waited)
{
    auto& b = make_bench();
    b.place_at(b.first, "u1");
    b.place_at(b.second, "u2");
    b.first.add({answer("one", "q1"), 250ms});
    b.second.add({answer("two", "q2")});
    fake_caller caller(b.ioc, b.worker.address());
    caller.send(book_request("q1") + book_request("q2"));
    EXPECT_EQ(caller.receive().body(), "one");
    EXPECT_EQ(caller.receive().body(), "two");
    EXPECT_LE(std::stoi(std::string(b.second.last["Deadline-Ms"])), 160);
}

// Who has no time left is refused when its turn comes, and did not run.
TEST(pipelining, a_request_without_time_runs)
{
    auto& b = make_bench();
    b.place_at(b.first, "u1");
    b.place_at(b.second, "u2");
    b.first.add({answer("one", "q1"), 2s});
    fake_caller caller(b.ioc, b.worker.address());
    caller.send(book_request("q1") + book_request("q2"));
    EXPECT_EQ(caller.receive().result_int(), 504U);
    const auto began = std::chrono::steady_clock::now();
    EXPECT_EQ(caller.receive().result_int(), 503U);
    EXPECT_LT(std::chrono::steady_clock::now() - began, 100ms);
    EXPECT_EQ(b.second.runs, 0);
}

/// Sends an upload, and further bytes behind it.
/// @return memory of the connection during the upload, and when it is idle
std::vector<std::size_t> capacities_of_upload(const std::string& behind)
{
    auto& ioc = test::fiber_context();
    std::vector<std::size_t> capacities;
    transport::listener listener(
        ioc, {0x7f000001, 0}, 10, [&](transport::tcp_stream stream) {
            const std::atomic<bool> stopping{false};
            coordination::memory_budget memory(0);
            transport::caller_connection connection(
                std::move(stream), coordination::read_ahead_limits{}, memory,
                stopping, [] {});
            connection.input().start();
            transport::caller_io_limits limits;
            limits.idle = 50ms;
            for (int n = 0; n < 2; ++n) {
                transport::caller_request request(connection, limits);
                transport::error_code ec;
                request.wait_for_request(ec);
                if (ec) {
                    break;
                }
                boost::this_fiber::sleep_for(50ms);
                capacities.push_back(connection.input().capacity());
                request.read_head(ec);
                std::array<char, 1024> buf{};
                while (request.read_some(buf, ec) > 0) {
                }
            }
            capacities.push_back(connection.input().capacity());
            connection.end();
            connection.close(false);
        });
    fake_caller caller(ioc, listener.address());
    caller.send("POST /book/1 HTTP/1.1\r\nHost: x\r\n"
                "Content-Length: 50000\r\n\r\n" +
                std::string(50'000, 'x') + behind);
    EXPECT_TRUE(caller.closes_within(2s));
    return capacities;
}

// Memory of an upload that an idle connection keeps: a thousand connections
// that uploaded once would hold 64 MB.
TEST(pipelining, an_idle_connection_keeps_the_memory_of_an_upload)
{
    const auto capacities = capacities_of_upload("");
    ASSERT_EQ(capacities.size(), 2U);
    EXPECT_GE(capacities[0], 50'000U);
    EXPECT_LE(capacities[1], 8U * 1024);
}

// Old callers send an empty line behind a body. It begins no request.
TEST(pipelining, an_empty_line_keeps_the_memory_of_an_upload)
{
    const auto capacities = capacities_of_upload("\r\n");
    ASSERT_EQ(capacities.size(), 2U);
    EXPECT_GE(capacities[0], 50'000U);
    EXPECT_LE(capacities[1], 8U * 1024);
}

// A stop closes idle connections, also those with an empty line behind the
// last request. Else their callers would send into the close.
TEST(pipelining, an_empty_line_keeps_a_connection_open_in_a_stop)
{
    auto& b = make_bench();
    b.place_at(b.first, "u1");
    b.first.add({answer("one", "q1")});
    fake_caller caller(b.ioc, b.worker.address());
    caller.send(book_request("q1") + "\r\n");
    EXPECT_TRUE(caller.receive().keep_alive());
    boost::this_fiber::sleep_for(20ms);
    b.worker.close_idle();
    EXPECT_TRUE(caller.closes_within(1s));
}

// An empty line behind a request in progress began another one, and the
// connection could not carry further requests beside it.
TEST(pipelining, empty_lines_between_requests_hold_up_the_next_one)
{
    auto& b = make_bench();
    place_slow_and_short(b, 300ms);
    fake_caller caller(b.ioc, b.worker.address());
    caller.send(read_request("q1") + "\r\n");
    boost::this_fiber::sleep_for(30ms);
    caller.send("\r");
    boost::this_fiber::sleep_for(20ms);
    caller.send("\n" + read_request("q2"));
    boost::this_fiber::sleep_for(30ms);
    EXPECT_EQ(b.second.runs, 1);
    EXPECT_EQ(caller.receive().body(), "one");
    EXPECT_EQ(caller.receive().body(), "two");
}

// The refusal of an upload closes the connection. With the body unread, the
// close was a reset that could destroy the refusal on its way.
TEST(pipelining, a_refused_upload_gets_no_answer)
{
    auto& b = make_bench();
    for (int n = 0; n < 20; ++n) {
        fake_caller caller(b.ioc, b.worker.address());
        caller.send("POST /none/1 HTTP/1.1\r\nHost: x\r\nRequest-Id: q\r\n"
                    "Content-Length: 200000\r\n\r\n");
        send_aside(caller, std::string(200'000, 'x'));
        boost::this_fiber::sleep_for(5ms);
        const auto got = caller.receive();
        ASSERT_EQ(got.result_int(), 404U);
        ASSERT_FALSE(got.keep_alive());
        ASSERT_TRUE(caller.closes_within(1s));
    }
}

} // namespace
