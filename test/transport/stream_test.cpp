// Streams between own processes over loopback.

#include "fakes/own_fiber_thread.hpp"

#include <oriolegrade/transport/fiber_yield.hpp>
#include <oriolegrade/transport/stream_client_map.hpp>
#include <oriolegrade/transport/stream_server.hpp>

#include <boost/asio.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <stdexcept>

namespace {

using namespace oriolegrade;
using namespace oriolegrade::transport;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using boost::this_fiber::sleep_for;

constexpr std::uint32_t loopback = 0x7f000001;

asio::ip::tcp::acceptor open_port(asio::io_context& ioc, std::uint16_t port = 0)
{
    return std::move(listen_on(ioc, {asio::ip::address_v4(loopback), port}))
        .value();
}

/// A server with its handler and a client for it, on one thread.
struct pair_of_ends
{
    template <class Handler>
    pair_of_ends(asio::io_context& ioc, const stream_limits& limits,
                 Handler handler, const std::string& client_key = "key")
        : server(open_port(ioc), "key", limits, handler)
        , client(ioc, {loopback, server.port().value()}, client_key, limits)
    {
        server.start();
    }
    ~pair_of_ends()
    {
        client.stop();
        server.stop(0ms);
    }

    stream_server server;
    stream_client client;
};

void echo(server_stream& s)
{
    std::array<char, 1000> buf;
    s.respond(200).value();
    while (true) {
        const auto n = s.read_some(asio::buffer(buf));
        if (!n || n.value() == 0 ||
            !s.write_all(asio::buffer(buf.data(), n.value()))) {
            break;
        }
    }
    s.finish();
}

std::string text_of(std::size_t bytes, std::size_t seed)
{
    std::string out(bytes, '\0');
    for (std::size_t i = 0; i < bytes; ++i) {
        out[i] = static_cast<char>(seed + i * 31 + i / 251);
    }
    return out;
}

std::string read_all(client_stream& s)
{
    std::string out;
    std::array<char, 3000> buf;
    while (true) {
        const auto n = s.read_some(asio::buffer(buf));
        if (!n || n.value() == 0) {
            return out;
        }
        out.append(buf.data(), n.value());
    }
}

// Guards against a sender that buffers without bound for a slow reader, in
// the direction of the answer.
TEST(stream, slow_client_bounds_the_server)
{
    test::on_fiber_thread([](asio::io_context& ioc) {
        const stream_limits limits;
        const auto text = text_of(3'000'000, 1);
        std::size_t taken = 0;
        pair_of_ends ends(ioc, limits, [&](server_stream& s) {
            s.respond(200).value();
            while (taken < text.size()) {
                taken += s.write_some(asio::buffer(text) + taken).value();
            }
            s.finish();
        });
        auto s = std::move(ends.client.open("/", {}, 10s)).value();
        s.finish();
        sleep_for(100ms);
        EXPECT_GT(taken, 0U);
        EXPECT_LE(taken, limits.window_bytes + limits.output_bytes);
        EXPECT_LE(s.unread_bytes(), limits.window_bytes);
        EXPECT_TRUE(read_all(s) == text);
    });
}

// Guards against the same in the direction of the request, and against a
// stalled stream that delays other streams of the connection.
TEST(stream, slow_server_bounds_the_client_and_no_other_stream)
{
    test::on_fiber_thread([](asio::io_context& ioc) {
        const stream_limits limits;
        bool go = false;
        pair_of_ends ends(ioc, limits, [&](server_stream& s) {
            while (s.path() == "/slow" && !go) {
                sleep_for(5ms);
            }
            echo(s);
        });
        const auto text = text_of(1'000'000, 2);
        std::vector<client_stream> stalled;
        std::vector<boost::fibers::fiber> writers;
        std::vector<std::size_t> taken(20);
        for (std::size_t i = 0; i < taken.size(); ++i) {
            stalled.push_back(
                std::move(ends.client.open("/slow", {}, 20s)).value());
        }
        for (std::size_t i = 0; i < taken.size(); ++i) {
            writers.emplace_back([&, i] {
                while (taken[i] < text.size()) {
                    taken[i] += stalled[i]
                                    .write_some(asio::buffer(text) + taken[i])
                                    .value();
                }
                stalled[i].finish();
            });
        }
        const auto reply = ends.client.call("/fast", {}, text, 5s);
        ASSERT_TRUE(reply);
        EXPECT_TRUE(reply.value().body == text);
        for (const auto n : taken) {
            EXPECT_LE(n, limits.window_bytes + limits.output_bytes);
        }
        go = true;
        for (std::size_t i = 0; i < taken.size(); ++i) {
            EXPECT_TRUE(read_all(stalled[i]) == text);
            writers[i].join();
        }
    });
}

// Guards against answers that reach another stream, and against streams
// beyond the limit that fail instead of waiting for room.
TEST(stream, many_concurrent_calls_get_their_own_answers)
{
    test::on_fiber_thread([](asio::io_context& ioc) {
        stream_limits limits;
        limits.streams = 50;
        pair_of_ends ends(ioc, limits, echo);
        std::vector<boost::fibers::fiber> callers;
        std::size_t right = 0;
        for (std::size_t i = 0; i < 300; ++i) {
            callers.emplace_back([&, i] {
                for (std::size_t k = 0; k < 5; ++k) {
                    const auto text = text_of(10 * i + k, i * 7 + k);
                    const auto reply = ends.client.call("/", {}, text, 20s);
                    right += reply && reply.value().body == text ? 1 : 0;
                }
            });
        }
        for (auto& it : callers) {
            it.join();
        }
        EXPECT_EQ(right, 1500U);
        EXPECT_EQ(ends.server.connection_count(), 1U);
    });
}

// Guards against strangers that reach a handler, also with a large body that
// nobody reads.
TEST(stream, wrong_fleet_key_never_reaches_the_handler)
{
    test::on_fiber_thread([](asio::io_context& ioc) {
        for (const std::string key : {"", "kez", "key2"}) {
            bool handled = false;
            pair_of_ends ends(
                ioc, {}, [&](server_stream&) { handled = true; }, key);
            const auto reply =
                ends.client.call("/", {}, text_of(500'000, 3), 2s);
            ASSERT_TRUE(reply);
            EXPECT_EQ(reply.value().status, 403U);
            EXPECT_FALSE(handled);
        }
    });
}

// Guards against a cut answer that is taken for a whole one, against a lost
// connection that is reported as not processed, and against a client that
// does not connect again.
TEST(stream, killed_peer_is_unknown_and_the_next_call_reconnects)
{
    test::on_fiber_thread([](asio::io_context& ioc) {
        auto server = std::make_unique<stream_server>(
            open_port(ioc), "key", stream_limits(), [](server_stream& s) {
                s.respond(200).value();
                s.write_all(asio::buffer("part", 4)).value();
                while (!s.is_cancelled()) {
                    sleep_for(5ms);
                }
            });
        server->start();
        const auto port = server->port().value();
        stream_client client(ioc, {loopback, port}, "key", {});
        auto s = std::move(client.open("/", {}, 5s)).value();
        EXPECT_EQ(s.status().value(), 200U);
        server->stop(0ms);
        std::array<char, 100> buf;
        auto n = s.read_some(asio::buffer(buf));
        while (n && n.value() > 0) {
            n = s.read_some(asio::buffer(buf));
        }
        ASSERT_FALSE(n);
        EXPECT_EQ(n.error().failure, stream_failure::connection_lost);
        EXPECT_TRUE(n.error().maybe_processed);
        stream_server next(open_port(ioc, port), "key", {}, echo);
        next.start();
        EXPECT_EQ(client.call("/", {}, "x", 2s).value().body, "x");
        client.stop();
        next.stop(0ms);
    });
}

// Guards against cancelled and expired calls that keep running at the peer.
TEST(stream, cancel_and_deadline_reach_the_handler)
{
    test::on_fiber_thread([](asio::io_context& ioc) {
        std::size_t cancelled = 0;
        pair_of_ends ends(ioc, {}, [&](server_stream& s) {
            s.on_cancel([&] { ++cancelled; });
            while (!s.is_cancelled()) {
                sleep_for(2ms);
            }
            EXPECT_FALSE(s.write_some(asio::buffer("x", 1)));
        });
        const auto late = ends.client.call("/", {}, "x", 50ms);
        ASSERT_FALSE(late);
        EXPECT_EQ(late.error().failure, stream_failure::timed_out);
        EXPECT_TRUE(late.error().maybe_processed);
        {
            auto dropped = std::move(ends.client.open("/", {}, 5s)).value();
            sleep_for(20ms);
        }
        sleep_for(50ms);
        EXPECT_EQ(cancelled, 2U);
        EXPECT_TRUE(ends.client.is_connected());
    });
}

// Guards against a refusal that is not recognised as proof that the request
// did not run, and against an unfinished answer that looks whole.
TEST(stream, refused_and_unfinished_streams_are_told_apart)
{
    test::on_fiber_thread([](asio::io_context& ioc) {
        pair_of_ends ends(ioc, {}, [](server_stream& s) {
            if (s.path() == "/refuse") {
                s.refuse();
            } else {
                s.respond(200).value();
                s.write_all(asio::buffer("part", 4)).value();
            }
        });
        const auto refused = ends.client.call("/refuse", {}, "x", 2s);
        ASSERT_FALSE(refused);
        EXPECT_EQ(refused.error().failure, stream_failure::refused);
        EXPECT_FALSE(refused.error().maybe_processed);
        const auto partial = ends.client.call("/partial", {}, "x", 2s);
        ASSERT_FALSE(partial);
        EXPECT_TRUE(partial.error().maybe_processed);
    });
}

// Guards against a request that crossed a GOAWAY and is reported as possibly
// processed, or that reaches the application all the same.
TEST(stream, goaway_below_the_id_proves_not_processed)
{
    test::on_fiber_thread([](asio::io_context& ioc) {
        auto acceptor = open_port(ioc);
        asio::ip::tcp::socket near(ioc);
        near.connect(acceptor.local_endpoint());
        std::vector<stream_session::stream_ptr> handled;
        fiber_group fibers;
        const auto server = std::make_shared<stream_session>(
            boost::beast::tcp_stream(acceptor.accept()), stream_limits(),
            [&](const stream_session::stream_ptr& s) { handled.push_back(s); });
        const auto client = std::make_shared<stream_session>(
            boost::beast::tcp_stream(std::move(near)), stream_limits(),
            nullptr);
        server->start(fibers);
        client->start(fibers);
        const auto limit = std::chrono::steady_clock::now() + 2s;
        const auto first = client->open("/1", {}, false, limit).value();
        sleep_for(20ms);
        server->refuse_new_streams();
        const auto second = client->open("/2", {}, false, limit).value();
        const auto refused = second->wait_headers();
        ASSERT_FALSE(refused);
        EXPECT_EQ(refused.error().failure, stream_failure::refused);
        EXPECT_FALSE(refused.error().maybe_processed);
        ASSERT_EQ(handled.size(), 1U);
        handled[0]->respond(200, {}, false).value();
        EXPECT_TRUE(first->wait_headers());
        handled.clear();
        server->close();
        client->close();
        fibers.join();
    });
}

// Guards against connections from addresses that are no members.
TEST(stream, other_addresses_are_cut_off)
{
    test::on_fiber_thread([](asio::io_context& ioc) {
        stream_server server(open_port(ioc), "key", {}, echo);
        std::uint32_t member = 0x7f000002;
        server.admit_only([&](std::uint32_t peer) { return peer == member; });
        server.start();
        stream_client client(ioc, {loopback, server.port().value()}, "key", {});
        EXPECT_FALSE(client.call("/", {}, "x", 1s));
        member = loopback;
        EXPECT_TRUE(client.call("/", {}, "x", 1s));
        client.stop();
        server.stop(0ms);
    });
}

// Guards against a process that ends with the exception of one handler, and
// against a client that waits for its answer until the deadline.
TEST(stream, fault_of_a_handler_resets_its_stream)
{
    test::on_fiber_thread([](asio::io_context& ioc) {
        pair_of_ends ends(ioc, {}, [](server_stream& s) {
            if (s.path() == "/fault") {
                throw std::runtime_error("made by a test");
            }
            echo(s);
        });
        const auto began = std::chrono::steady_clock::now();
        EXPECT_FALSE(ends.client.call("/fault", {}, "x", 5s));
        EXPECT_LT(std::chrono::steady_clock::now() - began, 2s);
        EXPECT_TRUE(ends.client.call("/", {}, "x", 1s));
    });
}

// Guards against a server that takes no connection after a fault.
TEST(stream, fault_of_one_connection_leaves_the_accept_loop)
{
    test::on_fiber_thread([](asio::io_context& ioc) {
        stream_server server(open_port(ioc), "key", {}, echo);
        int connections = 0;
        server.admit_only([&](std::uint32_t) {
            if (++connections == 1) {
                throw std::runtime_error("made by a test");
            }
            return true;
        });
        server.start();
        stream_client client(ioc, {loopback, server.port().value()}, "key", {});
        EXPECT_FALSE(client.call("/", {}, "x", 1s));
        EXPECT_TRUE(client.call("/", {}, "x", 1s));
        client.stop();
        server.stop(0ms);
    });
}

// Guards against a shutdown that cuts streams in flight.
TEST(stream, graceful_stop_finishes_streams_in_flight)
{
    test::on_fiber_thread([](asio::io_context& ioc) {
        pair_of_ends ends(ioc, {}, [](server_stream& s) {
            sleep_for(100ms);
            s.reply(200, "done").value();
        });
        boost::fibers::fiber caller([&] {
            const auto reply = ends.client.call("/", {}, "x", 2s);
            ASSERT_TRUE(reply);
            EXPECT_EQ(reply.value().body, "done");
        });
        sleep_for(30ms);
        ends.server.stop(2s);
        caller.join();
        const auto after = ends.client.call("/", {}, "x", 2s);
        ASSERT_FALSE(after);
        EXPECT_FALSE(after.error().maybe_processed);
    });
}

// Guards against a shutdown that leaves the outcome of any request unknown,
// including those on their way when it begins.
TEST(stream, graceful_stop_leaves_no_outcome_unknown)
{
    for (int round = 0; round < 20; ++round) {
        std::size_t handled = 0;
        std::promise<std::uint16_t> port;
        std::atomic<bool> stop = false;
        std::thread server_side([&] {
            run_fibers([&](asio::io_context& ioc) {
                stream_server server(open_port(ioc), "key", {},
                                     [&](server_stream& s) {
                                         ++handled;
                                         echo(s);
                                     });
                server.start();
                port.set_value(server.port().value());
                while (!stop) {
                    sleep_for(1ms);
                }
                server.stop(5s);
            });
        });
        std::size_t answered = 0;
        std::size_t unknown = 0;
        test::on_fiber_thread([&](asio::io_context& ioc) {
            stream_client client(ioc, {loopback, port.get_future().get()},
                                 "key", {});
            std::vector<boost::fibers::fiber> callers;
            callers.reserve(40);
            for (int i = 0; i < 40; ++i) {
                callers.emplace_back([&] {
                    while (true) {
                        const auto reply = client.call("/", {}, "x", 5s);
                        if (!reply) {
                            unknown += reply.error().maybe_processed ? 1 : 0;
                            return;
                        }
                        ++answered;
                    }
                });
            }
            sleep_for(10ms);
            stop = true;
            for (auto& it : callers) {
                it.join();
            }
            client.stop();
        });
        server_side.join();
        EXPECT_GT(answered, 0U);
        EXPECT_EQ(unknown, 0U);
        EXPECT_EQ(answered, handled);
    }
}

// Guards against connection failures that are slow or reported as unknown.
TEST(stream, connect_refused_is_not_processed)
{
    test::on_fiber_thread([](asio::io_context& ioc) {
        const auto port = open_port(ioc).local_endpoint().port();
        stream_client client(ioc, {loopback, port}, "key", {});
        const auto reply = client.call("/", {}, "x", 2s);
        ASSERT_FALSE(reply);
        EXPECT_EQ(reply.error().failure, stream_failure::connect_failed);
        EXPECT_FALSE(reply.error().maybe_processed);
    });
}

// Guards against a silent peer that holds its streams until their deadlines.
TEST(stream, silent_peer_is_found_dead_by_ping)
{
    test::on_fiber_thread([](asio::io_context& ioc) {
        auto acceptor = open_port(ioc);
        stream_limits limits;
        limits.ping_interval = 50ms;
        stream_client client(ioc, {loopback, acceptor.local_endpoint().port()},
                             "key", limits);
        const auto start = std::chrono::steady_clock::now();
        const auto reply = client.call("/", {}, "x", 10s);
        ASSERT_FALSE(reply);
        EXPECT_EQ(reply.error().failure, stream_failure::connection_lost);
        EXPECT_TRUE(reply.error().maybe_processed);
        EXPECT_LT(std::chrono::steady_clock::now() - start, 1s);
        client.stop();
    });
}

// Guards against a client per address ever seen.
TEST(stream, client_map_keeps_connected_clients_and_drops_others)
{
    test::on_fiber_thread([](asio::io_context& ioc) {
        stream_server server(open_port(ioc), "key", {}, echo);
        server.start();
        stream_client_map clients(ioc, "key", {}, 3);
        const state::endpoint peer{loopback, server.port().value()};
        const auto* connected = clients.at(peer).get();
        EXPECT_TRUE(clients.at(peer)->call("/", {}, "x", 1s));
        for (std::uint16_t port = 1; port < 20; ++port) {
            clients.at({loopback, port});
            EXPECT_LE(clients.size(), 3U);
        }
        EXPECT_EQ(clients.at(peer).get(), connected);
        clients.stop();
        server.stop(0ms);
    });
}

// Guards against a process that takes its peers for dead after it was paused
// itself while a ping was on its way.
TEST(stream, own_pause_does_not_make_the_peer_dead)
{
    test::on_fiber_thread([](asio::io_context& ioc) {
        stream_limits limits;
        limits.ping_interval = 100ms;
        pair_of_ends ends(ioc, limits, echo);
        EXPECT_TRUE(ends.client.call("/", {}, "x", 2s));
        for (int i = 0; i < 6; ++i) {
            sleep_for(std::chrono::milliseconds(95 + 5 * i));
            // Blocks the thread and with it both ends.
            std::this_thread::sleep_for(220ms);
        }
        sleep_for(50ms);
        EXPECT_TRUE(ends.client.is_connected());
    });
}

// Guards against header blocks without bound.
TEST(stream, large_header_block_fails_alone)
{
    test::on_fiber_thread([](asio::io_context& ioc) {
        pair_of_ends ends(ioc, {}, echo);
        EXPECT_FALSE(ends.client.call("/", {{"big", std::string(20'000, 'x')}},
                                      "x", 2s));
        EXPECT_TRUE(ends.client.call("/", {}, "x", 2s));
    });
}

// Guards against polling in idle connections, and against connections that
// are never closed.
TEST(stream, idle_connection_uses_no_cpu_and_is_closed)
{
    test::on_fiber_thread([](asio::io_context& ioc) {
        stream_limits limits;
        limits.ping_interval = 100ms;
        limits.idle_timeout = 2000ms;
        pair_of_ends ends(ioc, limits, echo);
        EXPECT_TRUE(ends.client.call("/", {}, "x", 2s));
        const auto before = test::cpu_seconds();
        sleep_for(400ms);
        EXPECT_LT(test::cpu_seconds() - before, 0.02);
        EXPECT_TRUE(ends.client.is_connected());
        sleep_for(1800ms);
        EXPECT_FALSE(ends.client.is_connected());
        EXPECT_TRUE(ends.client.call("/", {}, "x", 2s));
    });
}

} // namespace
