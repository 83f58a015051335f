// Guards against two answers to one request: the caller takes the second one
// for the answer to its next request, or for a part of the first.

#include "fakes/fiber_thread.hpp"
#include "fakes/request_path.hpp"

#include <oriolegrade/transport/caller_session.hpp>
#include <oriolegrade/transport/listener.hpp>

#include <gtest/gtest.h>

namespace {

using namespace oriolegrade;

/// Front that sends a reply behind a whole answer, or behind a part of one.
class replying_front
{
public:
    struct request_plan
    {
        bool repeatable = false;
    };

    static transport::caller_io_limits io_limits()
    {
        return {};
    }
    static request_plan prepare(const protocol::request_head&,
                                transport::caller_request&)
    {
        return {};
    }
    static void serve(request_plan&, const protocol::request_head& head,
                      transport::caller_request&,
                      transport::caller_answer& answer)
    {
        protocol::answer_head out;
        out.status = 200;
        out.framing.length = 4;
        transport::error_code ec;
        answer.start(out, ec);
        answer.write(head.target == "/part" ? "pa" : "good", ec);
        if (head.target != "/part") {
            answer.finish(ec);
        }
        transport::send_reply(answer, state::reply_reason::connection_lost);
    }
    static void drop(request_plan&, transport::caller_answer&) {}
    static std::string_view request_id(const protocol::request_head&)
    {
        return {};
    }
    static void fail(request_plan&, const protocol::request_head&,
                     transport::caller_request&, transport::caller_answer&)
    {}
};

/// Kept until the process ends: connections refer to it.
state::endpoint replying_host()
{
    static transport::caller_shared shared({});
    static replying_front front;
    static transport::listener listener(
        test::fiber_context(), {0x7f000001, 0}, 10,
        [](transport::tcp_stream stream) {
            transport::caller_session session(std::move(stream), front, shared);
            session.run();
        });
    return listener.address();
}

TEST(caller_answer, is_followed_by_a_reply)
{
    test::fake_caller caller(test::fiber_context(), replying_host());
    EXPECT_EQ(caller.get("/first").body(), "good");
    EXPECT_EQ(caller.get("/second").body(), "good");
}

TEST(caller_answer, that_is_incomplete_is_filled_up_by_a_reply)
{
    test::fake_caller caller(test::fiber_context(), replying_host());
    caller.send("GET /part HTTP/1.1\r\nHost: x\r\n\r\n");
    transport::error_code ec;
    const auto got = caller.receive(ec);
    EXPECT_TRUE(ec);
    EXPECT_EQ(got.body(), "pa");
}

} // namespace
