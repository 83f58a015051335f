// Guards the way of health decisions into the request path: evidence of
// attempts, avoidance, the floor, drain signals and trials; and the limits
// that a request meets first.

#include "fakes/fiber_thread.hpp"
#include "fakes/request_path.hpp"
#include "fakes/scripted_upstream.hpp"

#include <oriolegrade/transport/entry_worker.hpp>

#include <boost/fiber/operations.hpp>
#include <gtest/gtest.h>

#include <memory>
#include <vector>

namespace {

using namespace oriolegrade;
using namespace std::chrono_literals;
using state::evidence_kind;
using state::request_class;
using test::answer_text;
using test::fake_caller;

const std::string failure_text =
    "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";

transport::entry_options options_with(std::uint32_t caller_limit)
{
    auto options = test::test_options();
    options.caller_limits.max_per_window = caller_limit;
    return options;
}

/// Worker with three scripted upstreams; the test calls collect() itself.
struct bench
{
    bench(std::uint32_t floor_slots, std::uint32_t caller_limit)
        : shared(options_with(caller_limit))
        , once("host", "fleet-key", std::chrono::steady_clock::now())
        , control(shared, {"host", "dc1"})
        , worker(ioc, shared, once)
    {
        state::service_spec service;
        for (auto& it : upstreams) {
            service.upstreams.push_back({it.address(), "dc1", 4, 400});
        }
        service.floor_slots = floor_slots;
        state::configuration conf;
        conf.put(test::make_entry(state::record_kind::service, "s", service));
        conf.put(test::make_entry(
            state::record_kind::route, "read",
            test::make_route("/read", "GET", request_class::idempotent)));
        conf.put(test::make_entry(
            state::record_kind::route, "book",
            test::make_route("/book", "POST", request_class::non_idempotent)));
        conf.put(test::make_entry(state::record_kind::workspace, "w",
                                  state::workspace_spec{0.001, 1, 1}));
        test::activate_configuration(shared, control, conf);
        control.on_evidence = [this](const state::evidence_batch& batch) {
            for (const auto& it : batch.items) {
                seen.add(it.counts);
            }
        };
    }

    void answer_all(const std::string& bytes, int times)
    {
        for (auto& it : upstreams) {
            for (int n = 0; n < times; ++n) {
                it.add({bytes});
            }
        }
    }

    void collect()
    {
        control.collect(std::chrono::steady_clock::now());
    }

    void set_state(std::size_t n, state::upstream_state to)
    {
        state::verdict_set set;
        set.service = "s";
        set.sequence = ++sequence;
        set.verdicts.push_back({upstreams[n].address(), to, 1.0});
        control.set_verdicts(set);
    }

    boost::asio::io_context& ioc = test::fiber_context();
    std::array<test::scripted_upstream, 3> upstreams{
        test::scripted_upstream(ioc), test::scripted_upstream(ioc),
        test::scripted_upstream(ioc)};
    transport::entry_shared shared;
    transport::once_shared once;
    transport::service_control control;
    transport::entry_worker worker;
    state::evidence_counts seen;
    std::uint64_t sequence = 0;
};

/// Kept until the process ends: fibers that wait on sockets refer to it.
bench& make_bench(std::uint32_t floor_slots = 4,
                  std::uint32_t caller_limit = 1000)
{
    static std::vector<std::unique_ptr<bench>> benches;
    benches.push_back(std::make_unique<bench>(floor_slots, caller_limit));
    return *benches.back();
}

// Guards against an upstream that fails every request and is picked for
// ever, or never again.
TEST(upstream_health, failing_upstream_is_avoided_and_comes_back)
{
    auto& b = make_bench();
    for (int n = 0; n < 400; ++n) {
        b.upstreams[0].add({failure_text});
        b.upstreams[1].add({answer_text("ok")});
        b.upstreams[2].add({answer_text("ok")});
    }
    fake_caller caller(b.ioc, b.worker.address());
    for (int n = 0; n < 60; ++n) {
        caller.get("/read");
    }
    b.collect();
    EXPECT_GT(b.seen[evidence_kind::failure], 0U);
    EXPECT_GT(b.seen[evidence_kind::success], 0U);
    const auto runs = b.upstreams[0].runs;
    for (int n = 0; n < 30; ++n) {
        EXPECT_EQ(caller.get("/read").result_int(), 200U);
    }
    EXPECT_EQ(b.upstreams[0].runs, runs);
    boost::this_fiber::sleep_for(1100ms);
    b.collect();
    // An upstream that looks slower is drawn once in nine picks only.
    for (int n = 0; n < 150; ++n) {
        caller.get("/read");
    }
    EXPECT_GT(b.upstreams[0].runs, runs);
}

// Guards against a floor that avoidance or verdicts undercut.
TEST(upstream_health, floor_keeps_ejected_upstreams)
{
    auto& b = make_bench(8);
    b.answer_all(answer_text("ok"), 100);
    state::verdict_set set;
    set.service = "s";
    for (const auto& it : b.upstreams) {
        set.verdicts.push_back(
            {it.address(), state::upstream_state::ejected, 0.0, 9.0, 0.5, 3});
    }
    b.control.set_verdicts(set);
    const auto table =
        b.shared.services.read()->find({state::record_kind::service, "s", 1});
    std::uint32_t slots = 0;
    for (const auto& it : table->picks->candidates) {
        slots += it.weight > 0 ? it.slots : 0;
    }
    EXPECT_GE(slots, 8U);
    fake_caller caller(b.ioc, b.worker.address());
    EXPECT_EQ(caller.get("/read").result_int(), 200U);
}

// Guards against new requests at an upstream that said it drains.
TEST(upstream_health, draining_upstream_gets_no_new_request)
{
    auto& b = make_bench();
    for (int n = 0; n < 100; ++n) {
        b.upstreams[0].add({answer_text("ok", "Oriolegrade-Draining: 1\r\n")});
        b.upstreams[1].add({answer_text("ok")});
        b.upstreams[2].add({answer_text("ok")});
    }
    fake_caller caller(b.ioc, b.worker.address());
    for (int n = 0; n < 40; ++n) {
        caller.get("/read");
    }
    ASSERT_GT(b.upstreams[0].runs, 0);
    b.collect();
    const auto runs = b.upstreams[0].runs;
    for (int n = 0; n < 40; ++n) {
        EXPECT_EQ(caller.get("/read").result_int(), 200U);
    }
    EXPECT_EQ(b.upstreams[0].runs, runs);
}

// Guards against a non-idempotent request at an upstream on trial, and
// against a trial without any request.
TEST(upstream_health, trial_upstream_gets_idempotent_requests_only)
{
    auto& b = make_bench();
    b.answer_all(answer_text("ok"), 600);
    b.set_state(0, state::upstream_state::trial);
    fake_caller caller(b.ioc, b.worker.address());
    for (int n = 0; n < 100; ++n) {
        caller.post("/book", "x");
    }
    EXPECT_EQ(b.upstreams[0].runs, 0);
    for (int n = 0; n < 500; ++n) {
        caller.get("/read");
    }
    EXPECT_GT(b.upstreams[0].runs, 0);
    EXPECT_LT(b.upstreams[0].runs, 50);
}

// Guards against a hanging upstream that gives no evidence before deadlines
// pass, or that is counted twice.
TEST(upstream_health, hanging_request_is_evidence_before_its_end)
{
    auto& b = make_bench();
    for (auto& it : b.upstreams) {
        it.add({answer_text("late"), 290ms});
    }
    fake_caller caller(b.ioc, b.worker.address());
    caller.send("GET /read HTTP/1.1\r\nHost: x\r\n\r\n");
    // The limit is half of the deadline of 300 ms; checks are 100 ms apart.
    boost::this_fiber::sleep_for(270ms);
    b.collect();
    EXPECT_EQ(b.seen[evidence_kind::slow], 1U);
    caller.receive();
    b.collect();
    EXPECT_EQ(b.seen.non_shed(), 1U);
}

// Guards against a caller that is served beyond its limit, and against
// "not-run" for a request whose token may have been used before.
TEST(upstream_health, limited_caller_gets_the_right_outcome)
{
    auto& b = make_bench(4, 2);
    b.answer_all(answer_text("ok"), 10);
    fake_caller caller(b.ioc, b.worker.address());
    caller.get("/read");
    caller.get("/read");
    const auto plain = caller.get("/read");
    EXPECT_EQ(plain.result_int(), 429U);
    EXPECT_EQ(plain["Retry-After"], "1");
    EXPECT_EQ(test::outcome_of(plain), "not-run");
    const auto keyed = caller.post("/book", "x", "Idempotency-Key: k\r\n");
    EXPECT_EQ(keyed.result_int(), 429U);
    EXPECT_EQ(test::outcome_of(keyed), "unknown");
}

// Guards against workspaces without a limit, and against one workspace that
// uses up what others may send.
TEST(upstream_health, limited_workspace_leaves_others_alone)
{
    auto& b = make_bench();
    b.answer_all(answer_text("ok"), 10);
    fake_caller caller(b.ioc, b.worker.address());
    const auto get = [&](const std::string& workspace) {
        std::string text = "GET /read HTTP/1.1\r\nHost: x\r\n";
        text += "Oriolegrade-Workspace: ";
        text += workspace;
        text += "\r\n\r\n";
        caller.send(text);
        return caller.receive().result_int();
    };
    EXPECT_EQ(get("w"), 200U);
    EXPECT_EQ(get("w"), 429U);
    EXPECT_EQ(get("unknown"), 200U);
}

} // namespace
