// Guards that an exception in the fiber of a request ends that request only.
// Without a handler it ended the process, and the requests of all callers.

#include "fakes/gateway_bench.hpp"

#include <gtest/gtest.h>

#include <new>
#include <stdexcept>

namespace {

using namespace oriolegrade;
using namespace std::chrono_literals;
using test::answer;
using test::fake_caller;
using test::hooked_dialect;
using test::make_bench;
using test::outcome_of;
using test::read_request;
using bench = test::gateway_bench;

struct thrown_type
{
    const char* name;
    void (*raise)();
    /// Text in the log.
    const char* text;
};

const thrown_type thrown_types[] = {
    {"runtime_error", [] { throw std::runtime_error("made by a test"); },
     "error=\"made by a test\""},
    {"bad_alloc", [] { throw std::bad_alloc(); }, "error=std::bad_alloc"},
    {"no_standard_exception", [] { throw 1; },
     "error=\"not a std::exception\""},
};

class request_fault : public ::testing::TestWithParam<thrown_type>
{
protected:
    ~request_fault() override
    {
        hooked_dialect::on_answer = {};
    }

    /// Throws once, at the n-th call.
    std::function<void()> at_call(int n) const
    {
        return [raise = GetParam().raise, n]() mutable {
            if (--n == 0) {
                raise();
            }
        };
    }
};

/// Another caller is served, and nothing counts as in progress.
void expect_service(bench& b)
{
    b.places.answers.clear();
    b.place_at(b.second, "u2");
    b.second.add({answer("next")});
    EXPECT_EQ(b.book().body(), "next");
    for (int n = 0; n < 100 && b.shared.requests_in_flight > 0; ++n) {
        boost::this_fiber::sleep_for(10ms);
    }
    EXPECT_EQ(b.shared.requests_in_flight, 0);
}

// Nothing was sent: the caller hears so. A request of another caller runs.
TEST_P(request_fault, before_a_send_refuses_the_request)
{
    auto& b = make_bench();
    b.place_at(b.first, "u1");
    b.first.add({answer("slow", "a"), 100ms});
    b.places.on_ask = at_call(2);
    fake_caller other(b.ioc, b.worker.address());
    other.send(read_request("a"));
    boost::this_fiber::sleep_for(20ms);
    const auto got = b.book();
    EXPECT_EQ(got.result_int(), 503U);
    EXPECT_EQ(outcome_of(got), "not-run");
    EXPECT_EQ(got.count("Retry-After"), 1U);
    EXPECT_EQ(other.receive().body(), "slow");
    EXPECT_EQ(b.first.runs, 1);
    expect_service(b);
}

// The request may have run. The rest of its answer stands on the connection,
// which must not carry another request.
TEST_P(request_fault, in_an_answer_tells_an_unknown_outcome)
{
    auto& b = make_bench();
    b.place_at(b.first, "u1");
    b.first.add({answer("one")});
    hooked_dialect::on_answer = at_call(1);
    const auto got = b.book();
    EXPECT_EQ(got.result_int(), 502U);
    EXPECT_EQ(outcome_of(got), "unknown");
    EXPECT_EQ(b.places.reports[1], std::vector{state::send_result::cancelled});
    b.place_at(b.first, "u1");
    b.first.add({answer("two")});
    EXPECT_EQ(b.book().body(), "two");
    EXPECT_EQ(b.first.connections, 2);
    expect_service(b);
}

// The caller has its answer when the report of the place fails.
TEST_P(request_fault, behind_the_answer_leaves_it_whole)
{
    auto& b = make_bench();
    b.place_at(b.first, "u1");
    b.first.add({answer("one")});
    b.places.on_report = at_call(1);
    EXPECT_EQ(b.book().body(), "one");
    expect_service(b);
}

// A place was given back while the exception was in flight, and the report
// threw as well.
TEST_P(request_fault, beside_another_one_ends_the_request_only)
{
    auto& b = make_bench();
    b.place_at(b.first, "u1");
    b.first.add({answer("one")});
    hooked_dialect::on_answer = at_call(1);
    b.places.on_report = at_call(1);
    EXPECT_EQ(b.book().result_int(), 502U);
    expect_service(b);
}

// Requests around it on the connection are answered in their order.
TEST_P(request_fault, of_a_request_sent_ahead_keeps_the_connection)
{
    auto& b = make_bench();
    b.place_at(b.first, "u1");
    b.first.add({answer("one", "q1"), 50ms});
    b.places.on_ask = at_call(2);
    fake_caller caller(b.ioc, b.worker.address());
    caller.send(read_request("q1") + read_request("q2"));
    EXPECT_EQ(caller.receive().body(), "one");
    const auto got = caller.receive();
    EXPECT_EQ(got.result_int(), 503U);
    EXPECT_EQ(outcome_of(got), "not-run");
    b.place_at(b.second, "u2");
    b.second.add({answer("three", "q3")});
    caller.send(read_request("q3"));
    EXPECT_EQ(caller.receive().body(), "three");
    expect_service(b);
}

// The first send of a read answers although the second one failed.
TEST_P(request_fault, of_a_second_send_leaves_the_first)
{
    auto& b = make_bench();
    b.place_at(b.first, "u1", 20ms);
    b.first.add({answer("slow"), 100ms});
    b.places.on_ask = at_call(2);
    EXPECT_EQ(b.read().body(), "slow");
    expect_service(b);
}

// The second send answers although the first one failed beside it.
TEST_P(request_fault, of_a_first_send_leaves_the_second)
{
    auto& b = make_bench();
    b.place_at(b.first, "u1", 20ms);
    b.place_at(b.second, "u2");
    b.first.add({answer("one"), 50ms});
    b.second.add({answer("two"), 100ms});
    hooked_dialect::on_answer = at_call(1);
    EXPECT_EQ(b.read().body(), "two");
    expect_service(b);
}

// Both sends fail: the request may have run.
TEST_P(request_fault, of_both_sends_tells_an_unknown_outcome)
{
    auto& b = make_bench();
    b.place_at(b.first, "u1", 20ms);
    b.place_at(b.second, "u2");
    b.first.add({answer("one"), 50ms});
    b.second.add({answer("two"), 100ms});
    hooked_dialect::on_answer = GetParam().raise;
    const auto got = b.read();
    EXPECT_EQ(got.result_int(), 502U);
    EXPECT_EQ(outcome_of(got), "unknown");
    hooked_dialect::on_answer = {};
    expect_service(b);
}

// Nothing else tells of a fault that a caller only sees as a refusal.
TEST_P(request_fault, is_logged_once_with_the_id)
{
    transport::start_event_log("test", state::log_level::error);
    auto& b = make_bench();
    b.places.on_ask = at_call(1);
    testing::internal::CaptureStderr();
    b.book();
    const auto log = testing::internal::GetCapturedStderr();
    const auto at = log.find("event=request_fault id=q ");
    ASSERT_NE(at, std::string::npos) << log;
    EXPECT_NE(log.find(GetParam().text, at), std::string::npos) << log;
    EXPECT_EQ(log.find("event=request_fault", at + 1), std::string::npos)
        << log;
}

// The first send reached nobody and waits for another place, while the second
// one throws behind its send: the request may have run.
TEST_P(request_fault, of_a_second_send_is_not_called_unrun)
{
    auto& b = make_bench();
    b.places.answers.push_back(
        state::place{"u1", test::closed_address, 10, 20ms, 1});
    b.second.add({answer("two")});
    b.places.on_ask = [&b, n = 0]() mutable {
        if (++n == 3) {
            b.place_at(b.second, "u2");
        }
    };
    hooked_dialect::on_answer = at_call(1);
    const auto got = b.read();
    EXPECT_EQ(got.result_int(), 502U);
    EXPECT_EQ(outcome_of(got), "unknown");
    b.places.on_ask = {};
    expect_service(b);
}

/// Front that throws where the target of a request says so.
class throwing_front
{
public:
    struct request_plan
    {
        bool repeatable = false;
    };

    explicit throwing_front(void (*raise)())
        : raise_(raise)
    {}

    transport::caller_io_limits io_limits() const
    {
        return {};
    }
    request_plan prepare(const protocol::request_head& head,
                         transport::caller_request&) const
    {
        if (head.target == "/prepare") {
            raise_();
        }
        return {};
    }
    void serve(request_plan&, const protocol::request_head& head,
               transport::caller_request&,
               transport::caller_answer& answer) const
    {
        protocol::answer_head out;
        out.status = 200;
        transport::error_code ec;
        answer.start(out, ec);
        answer.write("part", ec);
        if (head.target == "/serve") {
            raise_();
        }
        answer.finish(ec);
    }
    void drop(request_plan&, transport::caller_answer&) const {}
    static std::string_view request_id(const protocol::request_head&)
    {
        return {};
    }
    void fail(request_plan&, const protocol::request_head&,
              transport::caller_request&, transport::caller_answer& answer)
    {
        ++failed;
        if (!answer.started()) {
            raise_();
        }
    }

    int failed = 0;

private:
    void (*raise_)();
};

// An answer that has begun cannot be taken back, and an answer of the host's
// own may fail too: the caller sees a reset.
TEST_P(request_fault, without_an_answer_resets_the_connection)
{
    auto& ioc = test::fiber_context();
    static transport::caller_shared shared({});
    // Kept until the process ends: connections refer to it.
    auto& front = *new throwing_front(GetParam().raise);
    auto& listener = *new transport::listener(
        ioc, {0x7f000001, 0}, 10, [&front](transport::tcp_stream stream) {
            transport::caller_session session(std::move(stream), front, shared);
            session.run();
        });
    for (const auto* target : {"/prepare", "/serve"}) {
        fake_caller caller(ioc, listener.address());
        caller.send("GET " + std::string(target) +
                    " HTTP/1.1\r\nHost: x\r\n\r\n");
        transport::error_code ec;
        caller.receive(ec);
        EXPECT_TRUE(ec) << target;
        EXPECT_EQ(fake_caller(ioc, listener.address()).get("/fine").body(),
                  "part");
    }
    EXPECT_EQ(front.failed, 2);
    boost::this_fiber::sleep_for(20ms);
    EXPECT_EQ(shared.requests_in_flight, 0);
    EXPECT_EQ(listener.open_connections(), 0U);
}

INSTANTIATE_TEST_SUITE_P(platform, request_fault,
                         ::testing::ValuesIn(thrown_types), [](const auto& it) {
                             return std::string(it.param.name);
                         });

} // namespace
