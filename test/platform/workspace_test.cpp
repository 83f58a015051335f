// Guards the keys of workspaces on the request path: who is let through, what
// an upstream learns of the caller, and what a change of the rules does to
// requests that wait.

#include "fakes/gateway_bench.hpp"

#include <gtest/gtest.h>

#include <functional>

namespace {

using namespace oriolegrade;
using namespace std::chrono_literals;
using test::answer;
using test::make_bench;
using test::make_gateway_route;
using test::refusal;
using bench = test::gateway_bench;

/// Rules with a private route for reads and bookings, a public one, and two
/// workspaces.
std::shared_ptr<state::traffic_rules> make_rules(std::uint64_t version)
{
    auto rules = std::make_shared<state::traffic_rules>();
    rules->version = version;
    rules->routes = {
        make_gateway_route("/read/", state::request_class::idempotent),
        make_gateway_route("/book/", state::request_class::non_idempotent),
        make_gateway_route("/open/", state::request_class::idempotent)};
    for (auto& it : rules->routes) {
        it.rank = 5;
    }
    rules->routes[2].is_public = true;
    rules->requires_keys = true;
    rules->workspaces = {{"ann", {"secret-a", "secret-b"}, 0, 0, 2},
                         {"bob", {"secret-c"}, 0, 0, {}}};
    return rules;
}

void publish(bench& b, std::shared_ptr<const state::traffic_rules> rules)
{
    b.shared.metrics.set_workspaces(rules->workspaces);
    b.shared.rules.publish(
        std::make_shared<state::route_index>(std::move(rules)));
}

bench& make_keyed_bench()
{
    auto& b = make_bench();
    publish(b, make_rules(2));
    return b;
}

/// @param fields additional header fields, each terminated by CRLF
std::string booking(const std::string& fields)
{
    return "POST /book/1 HTTP/1.1\r\nHost: x\r\nRequest-Id: q\r\n" + fields +
           "Content-Length: 4\r\n\r\nbody";
}

std::string reading(const std::string& fields, const std::string& path)
{
    return "GET " + path + " HTTP/1.1\r\nHost: x\r\nRequest-Id: q\r\n" +
           fields + "\r\n";
}

struct keyed_request
{
    const char* name;
    const char* path;
    const char* fields;
    /// Workspace that the upstream is told; empty for none, null when the
    /// request is to be refused.
    const char* workspace;
};

const keyed_request keyed_requests[] = {
    {"known", "/read/1", "X-Api-Key: secret-a\r\n", "ann"},
    {"other", "/read/1", "X-Api-Key: secret-c\r\n", "bob"},
    {"odd_case", "/read/1", "x-API-kEY: secret-b\r\n", "ann"},
    {"blanks_around", "/read/1", "X-Api-Key: \t secret-b  \r\n", "ann"},
    {"twice_the_same", "/read/1",
     "X-Api-Key: secret-a\r\nx-api-key: secret-a\r\n", "ann"},
    {"two_of_one_workspace", "/read/1",
     "X-Api-Key: secret-a\r\nX-Api-Key: secret-b\r\n", nullptr},
    {"two_in_one_field", "/read/1", "X-Api-Key: secret-a, secret-b\r\n",
     nullptr},
    {"none", "/read/1", "", nullptr},
    {"empty", "/read/1", "X-Api-Key:\r\n", nullptr},
    {"unknown", "/read/1", "X-Api-Key: secret\r\n", nullptr},
    {"name_for_key", "/read/1", "X-Api-Key: ann\r\nTenant: ann\r\n", nullptr},
    {"claims_another", "/read/1", "X-Api-Key: secret-a\r\nTenant: bob\r\n",
     "ann"},
    {"claims_in_fields", "/read/1",
     "TENANT: bob\r\nX-Api-Key: secret-a\r\ntenant: bob\r\nTenant: eve\r\n",
     "ann"},
    {"claims_in_connection", "/read/1",
     "Connection: Tenant\r\nTenant: bob\r\nX-Api-Key: secret-a\r\n", "ann"},
    {"public", "/open/1", "", ""},
    {"public_known", "/open/1", "X-Api-Key: secret-c\r\n", "bob"},
    {"public_unknown", "/open/1", "X-Api-Key: secret\r\n", ""},
    {"public_two", "/open/1", "X-Api-Key: secret-a\r\nX-Api-Key: secret-c\r\n",
     ""},
    {"public_claims", "/open/1", "Tenant: bob\r\ntenant: ann\r\n", ""},
    {"public_claims_in_connection", "/open/1",
     "Connection: tenant, x-api-key\r\nTenant: bob\r\nX-Api-Key: secret\r\n",
     ""},
};

class request_with_key : public ::testing::TestWithParam<keyed_request>
{};

// An upstream believes `Tenant`: only the holder of a key may set it, and the
// key itself stays with the host.
TEST_P(request_with_key, tells_the_upstream_its_workspace_alone)
{
    const auto& it = GetParam();
    auto& b = make_keyed_bench();
    b.place_at(b.first, "u1");
    b.first.add({answer("one")});
    const auto got = b.send(reading(it.fields, it.path));
    if (it.workspace == nullptr) {
        EXPECT_EQ(got.result_int(), 401U);
        EXPECT_EQ(got["WWW-Authenticate"], "ApiKey");
        EXPECT_EQ(got.count("Retry-After"), 0U);
        EXPECT_EQ(got.body().find("secret"), std::string::npos);
        EXPECT_TRUE(b.places.requests.empty());
        EXPECT_EQ(b.first.runs, 0);
        return;
    }
    EXPECT_EQ(got.result_int(), 200U);
    ASSERT_EQ(b.first.runs, 1);
    EXPECT_EQ(b.first.last.count("X-Api-Key"), 0U);
    EXPECT_EQ(b.first.last.count("Tenant"), *it.workspace != '\0' ? 1U : 0U);
    EXPECT_EQ(b.first.last["Tenant"], it.workspace);
    ASSERT_EQ(b.places.requests.size(), 1U);
    EXPECT_EQ(b.places.requests[0].workspace, it.workspace);
    EXPECT_EQ(b.places.requests[0].rank,
              it.workspace == std::string("ann") ? 2U : 5U);
}

INSTANTIATE_TEST_SUITE_P(workspace, request_with_key,
                         ::testing::ValuesIn(keyed_requests),
                         [](const auto& it) {
                             return std::string(it.param.name);
                         });

// Trailers come behind the fields that the host has set.
TEST(workspace, trailers_reach_an_upstream)
{
    auto& b = make_keyed_bench();
    b.place_at(b.first, "u1");
    b.first.add({answer("one")});
    const auto got =
        b.send("POST /book/1 HTTP/1.1\r\nHost: x\r\nRequest-Id: q\r\n"
               "X-Api-Key: secret-c\r\nTransfer-Encoding: chunked\r\n"
               "Trailer: Tenant, X-Api-Key\r\n\r\n4\r\nbody\r\n0\r\n"
               "Tenant: ann\r\nX-Api-Key: secret-a\r\n\r\n");
    EXPECT_EQ(got.result_int(), 200U);
    EXPECT_EQ(b.first.last.body(), "body");
    EXPECT_EQ(b.first.last.count("Tenant"), 1U);
    EXPECT_EQ(b.first.last["Tenant"], "bob");
    EXPECT_EQ(b.first.last.count("X-Api-Key"), 0U);
}

// Where no workspaces are named, the fields are like any others.
TEST(workspace, rules_without_workspaces_change_fields)
{
    auto& b = make_bench();
    b.place_at(b.first, "u1");
    b.first.add({answer("one")});
    const auto got =
        b.send(reading("X-Api-Key: k\r\nTenant: t\r\n", "/read/1"));
    EXPECT_EQ(got.result_int(), 200U);
    EXPECT_EQ(b.first.last["X-Api-Key"], "k");
    EXPECT_EQ(b.first.last["Tenant"], "t");
    EXPECT_EQ(b.places.requests.at(0).workspace, "");
}

TEST(workspace, a_request_without_route_is_unknown)
{
    auto& b = make_keyed_bench();
    EXPECT_EQ(b.send(reading("", "/none/1")).result_int(), 404U);
    EXPECT_EQ(
        b.send(reading("X-Api-Key: secret-a\r\n", "/none/1")).result_int(),
        404U);
}

// A connection is shared by requests of several keys, and a 401 must leave it
// in order.
TEST(workspace, keys_of_one_connection_are_apart)
{
    auto& b = make_keyed_bench();
    b.place_at(b.first, "u1");
    b.place_at(b.first, "u1");
    b.first.add({answer("one")});
    b.first.add({answer("two")});
    test::fake_caller caller(b.ioc, b.worker.address());
    caller.send(booking("X-Api-Key: secret-a\r\n") + reading("", "/read/1") +
                booking("X-Api-Key: secret-c\r\n"));
    EXPECT_EQ(caller.receive().body(), "one");
    EXPECT_EQ(b.first.last["Tenant"], "ann");
    EXPECT_EQ(caller.receive().result_int(), 401U);
    EXPECT_EQ(caller.receive().body(), "two");
    EXPECT_EQ(b.first.last["Tenant"], "bob");
}

struct rules_change
{
    const char* name;
    /// Changes the rules that the request was let in by.
    void (*apply)(state::traffic_rules& rules);
    unsigned status;
};

const rules_change rules_changes[] = {
    {"nothing", [](state::traffic_rules&) {}, 200},
    {"key_gone",
     [](state::traffic_rules& it) { it.workspaces[0].keys = {"secret-b"}; },
     401},
    {"workspace_gone",
     [](state::traffic_rules& it) {
         it.workspaces.erase(it.workspaces.begin());
     },
     401},
    {"other_key_gone",
     [](state::traffic_rules& it) { it.workspaces[0].keys = {"secret-a"}; },
     200},
    {"key_moved",
     [](state::traffic_rules& it) {
         it.workspaces[0].keys = {"secret-b"};
         it.workspaces[1].keys = {"secret-a"};
     },
     503},
    {"route_and_key_gone",
     [](state::traffic_rules& it) {
         it.routes.clear();
         it.workspaces.clear();
     },
     401},
    {"no_keys_required",
     [](state::traffic_rules& it) {
         it.requires_keys = false;
         it.workspaces.clear();
     },
     200},
};

class change_of_rules : public ::testing::TestWithParam<rules_change>
{
protected:
    void change(bench& b) const
    {
        auto rules = make_rules(3);
        GetParam().apply(*rules);
        publish(b, std::move(rules));
    }
    /// Expects the answer to a request that had no run before the change.
    void expect_end(const bench& b, const test::answer_type& got) const
    {
        EXPECT_EQ(got.result_int(), GetParam().status);
        EXPECT_EQ(b.first.runs, GetParam().status == 200 ? 1 : 0);
        EXPECT_EQ(got.count("WWW-Authenticate"),
                  GetParam().status == 401 ? 1U : 0U);
        EXPECT_EQ(got.count("Retry-After"), GetParam().status == 503 ? 1U : 0U);
    }
};

// A key that was taken away must stop also for requests that wait in line.
TEST_P(change_of_rules, binds_a_booking_in_line)
{
    auto& b = make_keyed_bench();
    b.place_at(b.first, "u1");
    b.first.add({answer("one")});
    b.places.on_ask = [&] {
        change(b);
    };
    const auto got = b.send(booking("X-Api-Key: secret-a\r\n"));
    b.places.on_ask = {};
    expect_end(b, got);
    // The place is given back.
    ASSERT_EQ(b.places.reports[1].size(), 1U);
    EXPECT_EQ(b.places.reports[1][0], GetParam().status == 200
                                          ? state::send_result::answered
                                          : state::send_result::cancelled);
}

TEST_P(change_of_rules, binds_a_read_in_line)
{
    auto& b = make_keyed_bench();
    b.place_at(b.first, "u1");
    b.first.add({answer("one")});
    b.places.on_ask = [&] {
        change(b);
    };
    const auto got = b.send(reading("X-Api-Key: secret-a\r\n", "/read/1"));
    b.places.on_ask = {};
    expect_end(b, got);
}

// The same between two sends: the first upstream turned the request away.
TEST_P(change_of_rules, binds_the_next_send)
{
    auto& b = make_keyed_bench();
    b.place_at(b.second, "u2");
    b.second.add({refusal("Request-Id: q\r\n")});
    b.place_at(b.first, "u1");
    b.first.add({answer("one")});
    b.places.on_report = [&] {
        b.places.on_report = {};
        change(b);
    };
    expect_end(b, b.send(booking("X-Api-Key: secret-a\r\n")));
    EXPECT_EQ(b.second.runs, 1);
}

INSTANTIATE_TEST_SUITE_P(workspace, change_of_rules,
                         ::testing::ValuesIn(rules_changes),
                         [](const auto& it) {
                             return std::string(it.param.name);
                         });

// A send that may have run forbids the promise of a 401.
TEST(workspace, a_request_that_may_have_run_is_called_unrun)
{
    auto& b = make_keyed_bench();
    b.place_at(b.first, "u1");
    b.first.add({"", 0ms, test::after_answer::close});
    b.place_at(b.second, "u2");
    b.second.add({answer("two")});
    b.places.on_report = [&] {
        b.places.on_report = {};
        auto rules = make_rules(3);
        rules->workspaces.clear();
        publish(b, std::move(rules));
    };
    const auto got = b.send(reading("X-Api-Key: secret-a\r\n", "/read/1"));
    EXPECT_EQ(got.result_int(), 502U);
    EXPECT_EQ(b.second.runs, 0);
}

// The head of a request that came before keys were required may hold one.
TEST(workspace, a_key_is_passed_on_when_keys_become_required)
{
    auto& b = make_bench();
    b.place_at(b.first, "u1");
    b.first.add({answer("one")});
    b.places.on_ask = [&] {
        b.places.on_ask = {};
        publish(b, make_rules(2));
    };
    const auto fields = "X-Api-Key: secret-a\r\n";
    EXPECT_EQ(b.send(booking(fields)).result_int(), 503U);
    EXPECT_EQ(b.first.runs, 0);
    b.place_at(b.first, "u1");
    EXPECT_EQ(b.send(booking(fields)).result_int(), 200U);
    EXPECT_EQ(b.first.last["Tenant"], "ann");
}

// A host that is behind turned callers away whose key or route had been added.
TEST(workspace, a_host_that_may_be_behind_asks_before_it_refuses)
{
    for (const auto* path : {"/read/1", "/new/1"}) {
        auto& b = make_keyed_bench();
        b.shared.rules_confirmed_until = state::time_point{};
        b.refresher.on_refresh = [&b] {
            auto rules = make_rules(3);
            rules->workspaces[1].keys.emplace_back("secret-d");
            rules->routes.push_back(
                make_gateway_route("/new/", state::request_class::idempotent));
            publish(b, std::move(rules));
        };
        b.place_at(b.first, "u1");
        b.first.add({answer("one")});
        const auto got =
            b.send(reading("X-Api-Key: secret-d\r\nTenant: eve\r\n", path));
        EXPECT_EQ(got.result_int(), 200U) << path;
        EXPECT_EQ(b.refresher.calls, 1);
        EXPECT_LE(b.refresher.longest_wait, transport::gateway_rules_wait);
        EXPECT_EQ(b.first.last["Tenant"], "bob");
        EXPECT_EQ(b.first.last.count("X-Api-Key"), 0U);
    }
}

TEST(workspace, a_host_that_heard_of_a_newer_version_asks)
{
    auto& b = make_keyed_bench();
    b.shared.rules_told = 2;
    EXPECT_EQ(b.send(reading("", "/read/1")).result_int(), 401U);
    EXPECT_EQ(b.refresher.calls, 0);
    b.shared.rules_told = 3;
    EXPECT_EQ(b.send(reading("", "/read/1")).result_int(), 401U);
    EXPECT_EQ(b.refresher.calls, 1);
}

// A host that knew of a newer version, and did not get it, served requests by
// the rules before it for as long as that took.
TEST(workspace, requests_are_served_by_rules_that_were_replaced)
{
    auto& b = make_keyed_bench();
    b.shared.rules_told = 3;
    b.shared.rules_newest_at = std::chrono::steady_clock::now() - 3s;
    const auto away = b.send(reading("X-Api-Key: secret-a\r\n", "/read/1"));
    EXPECT_EQ(away.result_int(), 503U);
    EXPECT_EQ(away.count("Retry-After"), 1U);
    EXPECT_EQ(b.refresher.calls, 1);
    EXPECT_TRUE(b.places.requests.empty());
    // Version 2 was the newest until a moment ago.
    b.shared.rules_newest_at = std::chrono::steady_clock::now() - 1s;
    b.place_at(b.first, "u1");
    b.first.add({answer("one")});
    EXPECT_EQ(
        b.send(reading("X-Api-Key: secret-a\r\n", "/read/1")).result_int(),
        200U);
}

// The wait for newer rules took more time than the caller had.
TEST(workspace, a_look_for_newer_rules_outlasts_the_request)
{
    auto& b = make_keyed_bench();
    b.shared.rules_confirmed_until = state::time_point{};
    EXPECT_EQ(b.send(reading("Deadline-Ms: 40\r\n", "/read/1")).result_int(),
              401U);
    EXPECT_EQ(b.refresher.calls, 1);
    EXPECT_LE(b.refresher.longest_wait, 40ms);
}

TEST(workspace, a_request_that_is_allowed_asks_for_rules)
{
    auto& b = make_keyed_bench();
    b.shared.rules_confirmed_until = state::time_point{};
    b.place_at(b.first, "u1");
    b.first.add({answer("one")});
    b.send(reading("X-Api-Key: secret-a\r\n", "/read/1"));
    EXPECT_EQ(b.refresher.calls, 0);
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

TEST(workspace, ends_are_counted_by_workspace)
{
    auto& b = make_keyed_bench();
    b.place_at(b.first, "u1");
    b.first.add({answer("one")});
    b.send(booking("X-Api-Key: secret-a\r\n"));
    b.places.answers.push_back(
        state::place_refusal{state::place_refusal_reason::overloaded, 10ms});
    b.send(booking("X-Api-Key: secret-a\r\n"));
    b.send(booking("X-Api-Key: secret\r\n"));
    const auto text = b.shared.metrics.to_text();
    EXPECT_TRUE(
        contains(text, "oriole_workspace_requests_total{workspace=\"ann\",end="
                       "\"answered\"} 1\n"))
        << text;
    EXPECT_TRUE(
        contains(text, "oriole_workspace_requests_total{workspace=\"ann\",end="
                       "\"refused\"} 1\n"));
    EXPECT_TRUE(contains(
        text, "oriole_workspace_refusals_total{workspace=\"ann\",reason="
              "\"overloaded\"} 1\n"));
    EXPECT_TRUE(contains(text, "oriole_unknown_keys_total 1\n"));
    EXPECT_FALSE(contains(text, "bob"));
    EXPECT_FALSE(contains(text, "secret"));
}

// Names of workspaces come and go with the rules; counters of old ones would
// add up for ever.
TEST(workspace, counters_end_with_their_workspace)
{
    transport::gateway_metrics metrics;
    const state::traffic_workspace a{"a\"\\", {}, 0, 0, {}};
    metrics.set_workspaces({a, {"b", {}, 0, 0, {}}});
    metrics.count("a\"\\", transport::request_end::answered);
    metrics.count("b", transport::request_end::answered);
    metrics.count("c", transport::request_end::answered);
    metrics.set_workspaces({a});
    const auto text = metrics.to_text();
    EXPECT_TRUE(contains(text, "{workspace=\"a\\\"\\\\\",end=\"answered\"} 1"))
        << text;
    EXPECT_FALSE(contains(text, "workspace=\"b\""));
    EXPECT_FALSE(contains(text, "workspace=\"c\""));
    metrics.set_workspaces({});
    EXPECT_FALSE(contains(metrics.to_text(), "workspace="));
}

// The log is read by more people than may know a key.
TEST(workspace, the_log_names_the_workspace_and_no_key)
{
    auto& b = make_keyed_bench();
    b.place_at(b.first, "u1");
    b.first.add({answer("one")});
    transport::start_event_log("test", state::log_level::info);
    ::testing::internal::CaptureStderr();
    b.send(booking("X-Api-Key: secret-a\r\n"));
    b.send(booking("X-Api-Key: secret-e\r\n"));
    const auto text = ::testing::internal::GetCapturedStderr();
    transport::start_event_log("test", state::log_level::error);
    EXPECT_TRUE(contains(text, "workspace=ann")) << text;
    EXPECT_TRUE(contains(text, "reason=unknown_key")) << text;
    EXPECT_FALSE(contains(text, "secret")) << text;
}

} // namespace
