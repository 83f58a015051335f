// Guards requests that wait for room, second attempts beside slow ones, and
// work that cannot end in time.

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
using state::request_class;
using test::answer_text;
using test::fake_caller;

state::entry_ptr route_entry(const std::string& name, state::priority order,
                             bool hedge)
{
    auto route = test::make_route("/" + name, "GET", request_class::idempotent);
    route.order = order;
    route.hedge = hedge;
    route.deadline = 2s;
    return test::make_entry(state::record_kind::route, name, route);
}

/// Worker with one or two scripted upstreams.
struct bench
{
    explicit bench(std::size_t count)
        : shared(test::test_options())
        , once("host", "fleet-key", std::chrono::steady_clock::now())
        , worker(ioc, shared, once)
    {
        state::service_spec service;
        for (std::size_t n = 0; n < count; ++n) {
            upstreams.push_back(std::make_unique<test::scripted_upstream>(ioc));
            service.upstreams.push_back(
                {upstreams.back()->address(), "dc1", 4, 400});
        }
        state::configuration conf;
        conf.put(test::make_entry(state::record_kind::service, "s", service));
        conf.put(route_entry("low", state::priority::low, false));
        conf.put(route_entry("normal", state::priority::normal, false));
        conf.put(route_entry("high", state::priority::high, false));
        conf.put(route_entry("hedged", state::priority::normal, true));
        test::activate_configuration(shared, conf);
    }

    transport::service_table_ptr table() const
    {
        return shared.services.read()->find(
            {state::record_kind::service, "s", 1});
    }

    /// Lets one request at a time to the only upstream.
    void limit_to_one() const
    {
        const auto it = table();
        auto& load = *it->picks->candidates[0].load;
        for (int n = 0; n < 20; ++n) {
            it->upstreams[0]->limit.on_shed(load,
                                            std::chrono::steady_clock::now());
        }
        ASSERT_EQ(load.limit(), 1U);
    }

    boost::asio::io_context& ioc = test::fiber_context();
    std::vector<std::unique_ptr<test::scripted_upstream>> upstreams;
    transport::entry_shared shared;
    transport::once_shared once;
    transport::entry_worker worker;
};

/// Kept until the process ends: fibers that wait on sockets refer to it.
bench& make_bench(std::size_t count)
{
    static std::vector<std::unique_ptr<bench>> benches;
    benches.push_back(std::make_unique<bench>(count));
    return *benches.back();
}

std::string get_text(const std::string& target)
{
    std::string text = "GET ";
    text += target;
    text += " HTTP/1.1\r\nHost: x\r\n\r\n";
    return text;
}

// Guards against refusals while a short wait would do, and against requests
// of a low priority that are served before those of a high one.
TEST(wait_and_hedge, full_upstream_is_waited_for_in_order_of_priority)
{
    auto& b = make_bench(1);
    b.limit_to_one();
    std::vector<std::unique_ptr<fake_caller>> callers;
    for (const std::string target : {"/normal/0", "/low", "/normal", "/high"}) {
        b.upstreams[0]->add({answer_text("ok"), 40ms});
        callers.push_back(
            std::make_unique<fake_caller>(b.ioc, b.worker.address()));
        callers.back()->send(get_text(target));
        boost::this_fiber::sleep_for(5ms);
    }
    EXPECT_EQ(b.upstreams[0]->runs, 1);
    for (auto& it : callers) {
        EXPECT_EQ(it->receive().body(), "ok");
    }
    const std::vector<std::string> expected{"/normal/0", "/high", "/normal",
                                            "/low"};
    EXPECT_EQ(b.upstreams[0]->targets, expected);
}

// Guards against a wait without end: the caller learns that its request was
// not run.
TEST(wait_and_hedge, long_wait_ends_as_not_run)
{
    auto& b = make_bench(1);
    b.limit_to_one();
    b.upstreams[0]->add({answer_text("ok"), 800ms});
    fake_caller first(b.ioc, b.worker.address());
    fake_caller second(b.ioc, b.worker.address());
    first.send(get_text("/normal"));
    boost::this_fiber::sleep_for(10ms);
    second.send(get_text("/normal"));
    const auto answer = second.receive();
    EXPECT_EQ(answer.result_int(), 503U);
    EXPECT_EQ(test::outcome_of(answer), "not-run");
    EXPECT_EQ(b.upstreams[0]->runs, 1);
    EXPECT_EQ(first.receive().body(), "ok");
}

// Guards against a hedge that does not start or does not win, and against a
// loser that keeps its connection and its place.
TEST(wait_and_hedge, hedge_answers_first_and_the_loser_is_cancelled)
{
    auto& b = make_bench(2);
    const auto table = b.table();
    for (int n = 0; n < 200; ++n) {
        table->controls->hedge.add_latency(10ms);
    }
    fake_caller caller(b.ioc, b.worker.address());
    for (int n = 0; n < 15; ++n) {
        b.upstreams[0]->add({answer_text("slow"), 300ms});
        b.upstreams[1]->add({answer_text("fast")});
        const auto began = std::chrono::steady_clock::now();
        caller.send(get_text("/hedged"));
        EXPECT_EQ(caller.receive().body(), "fast");
        EXPECT_LT(std::chrono::steady_clock::now() - began, 250ms);
    }
    EXPECT_GT(b.upstreams[0]->runs, 0);
    boost::this_fiber::sleep_for(10ms);
    for (std::size_t n = 0; n < 2; ++n) {
        const bool slow =
            table->picks->candidates[n].address == b.upstreams[0]->address();
        EXPECT_EQ(table->picks->candidates[n].load->in_flight(), 0U);
        EXPECT_EQ(table->upstreams[n]->connections, slow ? 0U : 1U);
    }
}

// Guards against work at an upstream for an answer that cannot be in time.
TEST(wait_and_hedge, hopeless_request_is_refused_unsent)
{
    auto& b = make_bench(1);
    b.table()->controls->fastest.add(50ms);
    fake_caller caller(b.ioc, b.worker.address());
    caller.send("GET /normal HTTP/1.1\r\nHost: x\r\n"
                "Oriolegrade-Deadline-Ms: 20\r\n\r\n");
    const auto answer = caller.receive();
    EXPECT_EQ(answer.result_int(), 504U);
    EXPECT_EQ(test::outcome_of(answer), "not-run");
    EXPECT_EQ(b.upstreams[0]->runs, 0);
}

} // namespace
