// Guards the framing of the small HTTP server that answers checks, metrics and
// administration.

#include "fakes/fiber_thread.hpp"
#include "fakes/request_path.hpp"

#include <oriolegrade/transport/http_server.hpp>

#include <gtest/gtest.h>

namespace {

using namespace oriolegrade;

// The body of an answer to HEAD stood where the caller reads its next answer.
TEST(http_server, an_answer_to_head_has_a_body)
{
    static transport::http_server server(test::fiber_context(), {0x7f000001, 0},
                                         [](const transport::http_request&) {
                                             return transport::text_answer(
                                                 200, "ready");
                                         });
    test::fake_caller caller(test::fiber_context(), server.address());
    caller.send("HEAD /ready HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_EQ(caller.receive_head()["Content-Length"], "5");
    EXPECT_EQ(caller.get("/ready").body(), "ready");
}

} // namespace
