// Guards the limit of a workspace on the request path: what is refused beyond
// it, and which sends use a right.

#include "fakes/gateway_bench.hpp"

#include <gtest/gtest.h>

namespace {

using namespace oriolegrade;
using namespace std::chrono_literals;
using test::after_answer;
using test::answer;
using test::make_bench;
using test::make_gateway_route;
using test::refusal;
using bench = test::gateway_bench;

/// Bench before the rules of a workspace with a limit.
/// @param rights that the workspace has left
bench& make_limited_bench(int rights)
{
    auto rules = std::make_shared<state::traffic_rules>();
    rules->version = 2;
    rules->routes = {
        make_gateway_route("/read/", state::request_class::idempotent),
        make_gateway_route("/book/", state::request_class::non_idempotent)};
    rules->requires_keys = true;
    rules->workspaces = {{"ann", {"secret-a"}, 10, 2, {}},
                         {"bob", {"secret-b"}, 0, 0, {}}};
    auto& b = make_bench();
    b.shared.metrics.set_workspaces(rules->workspaces);
    b.shared.rules.publish(std::make_shared<state::route_index>(rules));
    b.gate.rights = rights;
    return b;
}

test::answer_type book(bench& b, const std::string& key = "secret-a")
{
    return b.send("POST /book/1 HTTP/1.1\r\nHost: x\r\nRequest-Id: q\r\n"
                  "X-Api-Key: " +
                  key + "\r\nContent-Length: 4\r\n\r\nbody");
}

test::answer_type read(bench& b)
{
    return b.send("GET /read/1 HTTP/1.1\r\nHost: x\r\nRequest-Id: q\r\n"
                  "X-Api-Key: secret-a\r\n\r\n");
}

TEST(workspace_limit, a_request_beyond_the_limit_waits_for_a_place)
{
    auto& b = make_limited_bench(0);
    const auto got = book(b);
    EXPECT_EQ(got.result_int(), 429U);
    EXPECT_EQ(got["Retry-After"], "1.50");
    EXPECT_TRUE(b.places.requests.empty());
}

TEST(workspace_limit, a_workspace_without_limit_is_counted)
{
    auto& b = make_limited_bench(0);
    b.place_at(b.first, "u1");
    b.first.add({answer("booked")});
    EXPECT_EQ(book(b, "secret-b").body(), "booked");
    EXPECT_EQ(b.gate.asked, 0);
}

// An upstream that refuses has not run the request, so the send elsewhere is
// the first that counts.
TEST(workspace_limit, a_refused_send_uses_a_right)
{
    auto& b = make_limited_bench(1);
    b.place_at(b.first, "u1");
    b.place_at(b.second, "u2");
    b.first.add({refusal("Request-Id: q\r\n")});
    b.second.add({answer("booked")});
    EXPECT_EQ(book(b).body(), "booked");
    EXPECT_EQ(b.gate.rights, 0);
    EXPECT_EQ(b.gate.asked, 1);
}

TEST(workspace_limit, a_request_that_did_not_run_keeps_its_right)
{
    auto& b = make_limited_bench(1);
    b.place_at(b.first, "u1");
    b.places.answers.push_back(
        state::place_refusal{state::place_refusal_reason::no_upstream, 10ms});
    b.first.add({refusal("Request-Id: q\r\n")});
    EXPECT_EQ(book(b).result_int(), 503U);
    EXPECT_EQ(b.gate.rights, 1);
}

TEST(workspace_limit, a_request_without_a_place_keeps_its_right)
{
    auto& b = make_limited_bench(1);
    b.places.answers.push_back(
        state::place_refusal{state::place_refusal_reason::overloaded, 10ms});
    EXPECT_EQ(book(b).result_int(), 503U);
    EXPECT_EQ(b.gate.rights, 1);
}

// The answer may be lost after the run, and the repeat runs as well.
TEST(workspace_limit, a_repeat_exceeds_the_limit)
{
    auto& b = make_limited_bench(1);
    b.place_at(b.first, "u1");
    b.place_at(b.second, "u2");
    b.first.add({"", 0ms, after_answer::close});
    b.second.add({answer("again")});
    EXPECT_EQ(read(b).result_int(), 502U);
    EXPECT_EQ(b.second.runs, 0);
    EXPECT_EQ(b.places.requests.size(), 1U);
}

TEST(workspace_limit, a_repeat_within_the_limit_is_not_made)
{
    auto& b = make_limited_bench(2);
    b.place_at(b.first, "u1");
    b.place_at(b.second, "u2");
    b.first.add({"", 0ms, after_answer::close});
    b.second.add({answer("again")});
    EXPECT_EQ(read(b).body(), "again");
    EXPECT_EQ(b.gate.rights, 0);
}

TEST(workspace_limit, a_send_beside_the_first_exceeds_the_limit)
{
    auto& b = make_limited_bench(1);
    b.place_at(b.first, "u1", 20ms);
    b.place_at(b.second, "u2");
    b.first.add({answer("first"), 150ms});
    b.second.add({answer("second")});
    EXPECT_EQ(read(b).body(), "first");
    EXPECT_EQ(b.second.runs, 0);
    EXPECT_EQ(b.places.requests.size(), 1U);
}

} // namespace
