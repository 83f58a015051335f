// Guards the way of a large document over a narrow link: it arrives in whole,
// however long that takes, and nothing else takes its link.

#include "narrow_store.hpp"

#include "fakes/fiber_thread.hpp"
#include "fakes/lone_follower.hpp"

#include <store_source.hpp>

#include <oriolegrade/transport/gateway/dispatch_link.hpp>
#include <oriolegrade/transport/gateway/host_call.hpp>
#include <oriolegrade/transport/gateway/rules_follower.hpp>
#include <oriolegrade/transport/stream_server.hpp>
#include <oriolegrade/transport/tcp.hpp>

#include <boost/fiber/operations.hpp>
#include <gtest/gtest.h>

#include <chrono>
#include <memory>

namespace {

using namespace oriolegrade;
using namespace std::chrono_literals;

/// A document of the given size, readable as rules of the version.
std::string document(std::uint64_t version, std::size_t bytes)
{
    return R"({"version": "r)" + std::to_string(version) +
           R"(", "routes": {}, "services": {}})" + std::string(bytes, ' ');
}

/// Reads documents from a store behind a narrow link. Kept until the process
/// ends: its fibers refer to it.
struct transfer_bench
{
    explicit transfer_bench(boost::asio::io_context& ioc)
        : store(ioc, 400'000)
        , source(ioc, store.address())
        , shared(transport::gateway_options{})
        , follower(shared, source)
    {
        test::make_lone(follower);
    }

    test::narrow_store store;
    platform::store_source source;
    transport::gateway_shared shared;
    transport::rules_follower<platform::store_source> follower;
};

transfer_bench& make_bench()
{
    return *new transfer_bench(test::fiber_context());
}

// A document of 750 KB does not pass a link of 10 Mbit/s beside other traffic
// within the time limit of a call, and each read began anew.
TEST(document_transfer, an_answer_that_goes_on_arriving_is_given_up)
{
    auto& b = make_bench();
    b.store.put(document(2, 450'000));
    const auto began = std::chrono::steady_clock::now();
    const auto read = b.source.newest_rules();
    EXPECT_GT(std::chrono::steady_clock::now() - began, 1s);
    ASSERT_TRUE(read);
    ASSERT_TRUE(read.value().document);
    EXPECT_EQ(read.value().document->size(), document(2, 450'000).size());
}

// A notice, a request without a route and the usual read of a host each read
// the document: the link of the host carried three, and none came through.
TEST(document_transfer, one_document_is_read_several_times_at_once)
{
    auto& b = make_bench();
    b.store.put(document(2, 200'000));
    b.shared.configured = true;
    transport::spawn_fiber([&b] { b.follower.run(); });
    transport::spawn_fiber([&b] { b.follower.run_notices(); });
    b.follower.heard("other", 2, {});
    bool looked = false;
    b.follower.refresh([&looked] { looked = true; });
    EXPECT_TRUE(test::reaches_version(b.shared, 2, 5s));
    EXPECT_EQ(b.store.most_at_once, 1);
    boost::this_fiber::sleep_for(100ms);
    EXPECT_TRUE(looked);
}

// The same for the answer of another host.
TEST(document_transfer, a_host_that_goes_on_answering_is_given_up)
{
    auto& ioc = test::fiber_context();
    const std::string body(60'000, 'x');
    auto acceptor =
        transport::listen_on(ioc, transport::to_tcp({0x7f000001, 0}));
    ASSERT_TRUE(acceptor);
    const auto address = acceptor.value().local_endpoint();
    auto& server = *new transport::stream_server(
        std::move(acceptor.value()), std::string(),
        transport::gateway_stream_limits(),
        [&body](transport::server_stream& stream) {
            constexpr std::size_t pieces = 10;
            const auto n = body.size() / pieces;
            if (!stream.respond(200)) {
                return;
            }
            for (std::size_t k = 0; k < pieces; ++k) {
                boost::this_fiber::sleep_for(60ms);
                (void)stream.write_all(
                    boost::asio::buffer(body.data() + k * n, n));
            }
            stream.finish();
        });
    server.start();
    const auto answer =
        transport::call_host(ioc, {0x7f000001, address.port()},
                             transport::fleet_view_path, "1", 300ms);
    ASSERT_TRUE(answer);
    EXPECT_EQ(*answer, body);
}

} // namespace
