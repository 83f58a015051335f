// Guards the way of load decisions into the request path: where requests are
// sent, and how many connections are kept.

#include "fakes/fiber_thread.hpp"
#include "fakes/request_path.hpp"
#include "fakes/scripted_upstream.hpp"

#include <oriolegrade/transport/entry_worker.hpp>
#include <oriolegrade/transport/table_choice.hpp>

#include <gtest/gtest.h>

#include <memory>
#include <vector>

namespace {

using namespace oriolegrade;
using namespace std::chrono_literals;
using test::answer_text;
using test::fake_caller;

const std::string shed_text = "HTTP/1.1 503 Service Unavailable\r\n"
                              "Oriolegrade-Shed: 1\r\n"
                              "Content-Length: 0\r\n\r\n";

/// Two workers of one process with two scripted upstreams.
struct bench
{
    explicit bench(boost::asio::io_context& ioc_in,
                   std::uint32_t max_connections)
        : ioc(ioc_in)
        , first(ioc)
        , second(ioc)
        , shared(test::test_options())
        , once("host", "fleet-key", std::chrono::steady_clock::now())
        , control(shared, {"host", "dc1"})
        , worker(ioc, shared, once)
        , other_worker(ioc, shared, once)
    {
        state::service_spec service;
        service.upstreams = {{first.address(), "dc1", 4, max_connections},
                             {second.address(), "dc1", 4, max_connections}};
        state::configuration conf;
        conf.put(test::make_entry(state::record_kind::service, "s", service));
        conf.put(test::make_entry(
            state::record_kind::route, "read",
            test::make_route("/read", "GET",
                             state::request_class::idempotent)));
        test::activate_configuration(shared, control, conf);
    }

    boost::asio::io_context& ioc;
    test::scripted_upstream first;
    test::scripted_upstream second;
    transport::entry_shared shared;
    transport::once_shared once;
    transport::service_control control;
    transport::entry_worker worker;
    transport::entry_worker other_worker;
};

/// Kept until the process ends: fibers that wait on sockets refer to it.
bench& make_bench(std::uint32_t max_connections = 400)
{
    static std::vector<std::unique_ptr<bench>> benches;
    benches.push_back(
        std::make_unique<bench>(test::fiber_context(), max_connections));
    return *benches.back();
}

// Guards against a shed request that is refused while another upstream has
// room, or that runs at both.
TEST(upstream_choice, shed_request_runs_once_elsewhere)
{
    auto& b = make_bench();
    b.first.add({shed_text});
    b.second.add({answer_text("ok")});
    b.second.add({answer_text("ok")});
    fake_caller caller(b.ioc, b.worker.address());
    // Until the request met the shedding upstream first.
    for (int n = 0; n < 20 && b.first.runs == 0; ++n) {
        b.second.add({answer_text("ok")});
        EXPECT_EQ(caller.get("/read").body(), "ok");
    }
    const auto ran = b.second.runs;
    EXPECT_EQ(b.first.runs, 1);
    EXPECT_GE(ran, 1);
}

// Guards against counts of requests in flight that leak or are lost, and
// against load reports that are not taken.
TEST(upstream_choice, counts_return_to_zero_and_reports_are_taken)
{
    auto& b = make_bench();
    const std::string report = "Oriolegrade-Load: 3/4\r\n";
    fake_caller caller(b.ioc, b.worker.address());
    for (int n = 0; n < 30; ++n) {
        b.first.add({answer_text("ok", report)});
        b.second.add({answer_text("ok", report)});
        caller.get("/read");
    }
    const auto table =
        b.shared.services.read()->find({state::record_kind::service, "s", 1});
    ASSERT_NE(table, nullptr);
    for (const auto& it : table->picks->candidates) {
        EXPECT_EQ(it.load->in_flight(), 0U);
        EXPECT_EQ(it.load->report().in_use, 3U);
    }
}

// Guards against more open connections than the upstream grants the host,
// each worker counting for itself.
TEST(upstream_choice, threads_share_the_connection_budget)
{
    // Three quarters of three connections: two for this host.
    auto& b = make_bench(3);
    std::vector<std::unique_ptr<fake_caller>> callers;
    for (int n = 0; n < 8; ++n) {
        const auto& worker = n % 2 == 0 ? b.worker : b.other_worker;
        b.first.add({answer_text("ok"), 50ms});
        b.second.add({answer_text("ok"), 50ms});
        callers.push_back(
            std::make_unique<fake_caller>(b.ioc, worker.address()));
        callers.back()->send("GET /read HTTP/1.1\r\nHost: x\r\n\r\n");
    }
    for (auto& it : callers) {
        EXPECT_EQ(it->receive().body(), "ok");
    }
    const auto table =
        b.shared.services.read()->find({state::record_kind::service, "s", 1});
    for (const auto& it : table->upstreams) {
        EXPECT_LE(it->connections, 2U);
        EXPECT_GE(it->connections, 1U);
    }
}

// Guards against a change of one service that rebuilds, or loses the counts
// of, all others.
TEST(upstream_choice, unchanged_tables_are_shared)
{
    auto& b = make_bench();
    const state::record_key key{state::record_kind::service, "s", 1};
    const auto before = b.shared.services.read()->find(key);
    auto conf = *b.shared.configuration.read();
    state::service_spec service;
    service.upstreams = {{b.first.address(), "dc1", 4, 400}};
    conf.put(test::make_entry(state::record_kind::service, "t", service));
    test::activate_configuration(b.shared, b.control, conf);
    EXPECT_EQ(b.shared.services.read()->find(key), before);
    EXPECT_EQ(b.shared.services.read()->size(), 2U);
}

// Guards against a malformed load report that is believed.
TEST(upstream_choice, load_reports_are_checked)
{
    EXPECT_EQ(transport::slots_in_use("3/4"), 3U);
    EXPECT_FALSE(transport::slots_in_use("3"));
    EXPECT_FALSE(transport::slots_in_use("-1/4"));
    EXPECT_FALSE(transport::slots_in_use("99999999999/4"));
    EXPECT_FALSE(transport::slots_in_use("x/y"));
}

} // namespace
