// Guards against an end of a request that is told wrongly.

#include "fakes/fiber_thread.hpp"
#include "fakes/scripted_upstream.hpp"

#include <oriolegrade/transport/hedged_run.hpp>
#include <oriolegrade/transport/request_runner.hpp>

#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <vector>

namespace {

using namespace oriolegrade;
using namespace std::chrono_literals;
using transport::error_code;

/// Sink that tells when it has passed on the whole answer.
struct fake_sink
{
    std::function<void()> on_finish;
    std::string body = {};

    void start(const protocol::answer_head&, error_code&) {}
    void write(std::string_view bytes, error_code&)
    {
        body += bytes;
    }
    void finish(error_code&)
    {
        on_finish();
    }
};

/// Gives one upstream and keeps how the send ended.
struct fake_choice
{
    state::endpoint address;
    std::vector<state::attempt_result> results = {};

    std::optional<transport::chosen_upstream> next()
    {
        return transport::chosen_upstream{address, 1};
    }
    static state::reply_reason refusal()
    {
        return state::reply_reason::no_upstream;
    }
    static bool may_retry()
    {
        return false;
    }
    void ended(state::attempt_result result, const protocol::answer_head*,
               state::duration)
    {
        results.push_back(result);
    }
};

// A caller that has received its answer may close the connection before the
// host goes on.
TEST(request_runner, an_answer_whose_caller_closes_at_once_counts_as_lost)
{
    auto& ioc = test::fiber_context();
    static test::scripted_upstream upstream(ioc);
    upstream.add({"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine"});
    transport::upstream_pool pool(ioc, {});
    state::route_spec route;
    protocol::request_head head;
    head.method = "GET";
    head.target = "/";
    head.host = "x";
    fake_choice choice{upstream.address()};
    fake_sink sink{};
    transport::no_body body;
    coordination::memory_budget memory(0);
    transport::request_runner<transport::no_body, fake_sink, fake_choice>
        runner(pool, route, std::chrono::steady_clock::now() + 2s, body, sink,
               choice, memory);
    sink.on_finish = [&runner] {
        runner.cancel();
    };
    const auto report = runner.run(head);
    EXPECT_EQ(sink.body, "mine");
    EXPECT_EQ(report.step, coordination::next_step::done);
    ASSERT_EQ(choice.results.size(), 1U);
    EXPECT_EQ(choice.results[0], state::attempt_result::answered);
}

} // namespace
