// Guards against exceptions in what the reactor and nghttp2 call. One that
// leaves a handler of the reactor ends the process; one that leaves a callback
// of a stream ended the streams beside it, or was the reason why they never
// ended.

#include "fakes/fiber_thread.hpp"

#include <oriolegrade/transport/caller_connection.hpp>
#include <oriolegrade/transport/claim_service.hpp>
#include <oriolegrade/transport/fiber_yield.hpp>
#include <oriolegrade/transport/stream_client.hpp>
#include <oriolegrade/transport/stream_server.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/operations.hpp>
#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <stdexcept>
#include <string>

namespace {

using namespace oriolegrade;
using namespace oriolegrade::transport;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using boost::this_fiber::sleep_for;

constexpr std::uint32_t loopback = 0x7f000001;

void fail()
{
    throw std::runtime_error("made by a test");
}

/// Two connected sockets.
struct socket_pair
{
    socket_pair()
        : server(test::fiber_context())
        , client(test::fiber_context())
    {
        asio::ip::tcp::acceptor acceptor(test::fiber_context(),
                                         {asio::ip::address_v4::loopback(), 0});
        client.connect(acceptor.local_endpoint());
        acceptor.accept(server.socket());
    }

    tcp_stream server;
    asio::ip::tcp::socket client;
};

class caller_fault : public ::testing::Test
{
protected:
    socket_pair ends;
    std::atomic<bool> stopping = false;
    oriolegrade::coordination::memory_budget memory{0};
};

TEST_F(caller_fault, in_the_reactor_ends_the_connection)
{
    caller_input input(ends.server, 1000, memory, fail);
    input.start();
    asio::write(ends.client, asio::buffer("x", 1));
    error_code ec;
    input.wait_more(100, std::chrono::steady_clock::now() + 1s, ec);
    EXPECT_TRUE(input.ended());
    EXPECT_EQ(ec, asio::error::fault);
    ends.server.close();
    input.join();
}

// The caller has left, and nobody waits for the answers.
TEST_F(caller_fault, of_one_cancelled_request_leaves_others_running)
{
    caller_connection connection(std::move(ends.server), {}, memory, stopping,
                                 [] {});
    connection.input().start();
    bool cancelled = false;
    {
        const caller_connection::cancel_guard first(connection, fail);
        const caller_connection::cancel_guard second(
            connection, [&cancelled] { cancelled = true; });
        ends.client.close();
        sleep_for(50ms);
    }
    EXPECT_TRUE(cancelled);
    connection.end();
    connection.close(false);
}

/// Sessions of a server whose handler a test gives, and a client.
struct session_pair
{
    explicit session_pair(const stream_session::request_handler& on_request)
        : acceptor(listen_on(test::fiber_context(),
                             {asio::ip::address_v4::loopback(), 0})
                       .value())
        , client(test::fiber_context(),
                 {loopback, acceptor.local_endpoint().port()}, "", {})
    {
        fibers.spawn([this, on_request] {
            asio::ip::tcp::socket socket(test::fiber_context());
            error_code ec;
            acceptor.async_accept(socket, fiber_yield(ec));
            session = std::make_shared<stream_session>(
                boost::beast::tcp_stream(std::move(socket)), stream_limits(),
                on_request);
            session->start(fibers);
        });
    }
    ~session_pair()
    {
        client.stop();
        if (session) {
            session->close();
        }
        fibers.join();
    }

    asio::ip::tcp::acceptor acceptor;
    stream_client client;
    std::shared_ptr<stream_session> session;
    fiber_group fibers;
};

TEST(stream_fault, of_a_new_stream_ends_the_streams_beside_it)
{
    test::fiber_context();
    stream_session::stream_ptr sound;
    session_pair ends([&sound](const stream_session::stream_ptr& it) {
        if (find_header(it->headers(), ":path") == "/throws") {
            fail();
        }
        sound = it;
    });
    auto first = ends.client.open("/sound", {}, 1s);
    ASSERT_TRUE(first);
    sleep_for(20ms);
    auto second = ends.client.open("/throws", {}, 1s);
    ASSERT_TRUE(second);
    const auto status = second.value().status();
    ASSERT_FALSE(status);
    EXPECT_EQ(status.error().failure, stream_failure::reset);
    ASSERT_TRUE(sound);
    EXPECT_TRUE(sound->respond(204, {}, false));
    const auto answer = first.value().status();
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer.value(), 204U);
}

// Handlers of the other streams waited for ever for bytes of a connection
// that is gone.
TEST(stream_fault, of_one_cancelled_stream_keeps_others_open)
{
    test::fiber_context();
    std::vector<stream_session::stream_ptr> streams;
    session_pair ends([&streams](const stream_session::stream_ptr& it) {
        it->on_cancel(fail);
        streams.push_back(it);
    });
    auto first = ends.client.open("/", {}, 1s);
    auto second = ends.client.open("/", {}, 1s);
    ASSERT_TRUE(first);
    ASSERT_TRUE(second);
    sleep_for(20ms);
    ASSERT_EQ(streams.size(), 2U);
    ends.client.stop();
    sleep_for(20ms);
    for (const auto& it : streams) {
        EXPECT_TRUE(it->is_closed());
    }
    EXPECT_EQ(ends.session->stream_count(), 0U);
}

/// Callback of a claim. Its copies throw while a test wants it.
struct throwing_callback
{
    bool& armed;
    std::optional<coordination::claim_answer>& answer;

    throwing_callback(bool& armed_in,
                      std::optional<coordination::claim_answer>& answer_in)
        : armed(armed_in)
        , answer(answer_in)
    {}
    throwing_callback(const throwing_callback& it)
        : armed(it.armed)
        , answer(it.answer)
    {
        if (armed) {
            fail();
        }
    }
    throwing_callback(throwing_callback&& it) noexcept
        : armed(it.armed)
        , answer(it.answer)
    {}

    void operator()(const coordination::claim_answer& it) const
    {
        answer = it;
    }
};

TEST(claim_fault, in_the_reactor_leaves_the_claim_unresolved)
{
    auto& ioc = test::fiber_context();
    // Handlers refer to both beyond the test.
    static once_shared once("host-1", "key", std::chrono::steady_clock::now());
    static claim_service claims(ioc, once, {loopback, 1});
    bool armed = false;
    for (const bool submits : {true, false}) {
        std::optional<coordination::claim_answer> answer;
        coordination::claim_callback done = throwing_callback(armed, answer);
        if (submits) {
            claims.submit({}, 100ms, std::move(done));
        } else {
            claims.write({}, std::move(done));
        }
        armed = true;
        sleep_for(20ms);
        armed = false;
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->status, coordination::claim_status::unresolved);
    }
}

} // namespace
