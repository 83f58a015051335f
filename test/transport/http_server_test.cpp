// Guards the framing of the small HTTP server and client, which carry checks,
// metrics, administration and calls to the store.

#include "fakes/fiber_thread.hpp"
#include "fakes/raw_upstream.hpp"
#include "fakes/request_path.hpp"
#include "fakes/scripted_upstream.hpp"

#include <oriolegrade/transport/http_client.hpp>
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

/// Sends a request without content in pieces, as the fake upstreams answer.
void send_in_pieces(test::fake_caller& caller)
{
    for (const auto& it :
         test::with_empty_body_in_pieces("PUT /x HTTP/1.1\r\nHost: x\r\n")) {
        caller.send(it);
        boost::this_fiber::sleep_for(std::chrono::milliseconds(5));
    }
}

// An assertion of the library ended the process.
TEST(http_server, an_empty_chunked_body_in_pieces_ends_the_process)
{
    static transport::http_server server(
        test::fiber_context(), {0x7f000001, 0},
        [](const transport::http_request& request) {
            return transport::text_answer(200, "got " + request.body());
        });
    test::fake_caller caller(test::fiber_context(), server.address());
    send_in_pieces(caller);
    EXPECT_EQ(caller.receive().body(), "got ");
}

// The same in an answer, of the store for example.
TEST(http_client, an_empty_chunked_answer_in_pieces_ends_the_process)
{
    static test::raw_upstream server(
        test::fiber_context(),
        test::with_empty_body_in_pieces("HTTP/1.1 200 OK\r\n"));
    transport::http_client client(test::fiber_context(), server.address(), {});
    const auto got = client.call(
        transport::make_request(boost::beast::http::verb::get, "/x", {}),
        std::chrono::seconds(1));
    ASSERT_TRUE(got);
    EXPECT_EQ(got.value().body(), "");
}

// Bytes behind an answer were dropped, and the rest of them was read as the
// answer to the next call.
TEST(http_client, bytes_behind_an_answer_spoil_the_next_one)
{
    static test::scripted_upstream server(test::fiber_context());
    const auto extra = test::answer_text("extra");
    server.add({.bytes = test::answer_text("one") + extra.substr(0, 20),
                .late = extra.substr(20)});
    server.add({test::answer_text("two")});
    transport::http_client client(test::fiber_context(), server.address(), {});
    for (const auto* due : {"one", "two"}) {
        const auto got = client.call(
            transport::make_request(boost::beast::http::verb::get, "/x", {}),
            std::chrono::seconds(1));
        ASSERT_TRUE(got) << due;
        EXPECT_EQ(got.value().body(), due);
    }
}

} // namespace
