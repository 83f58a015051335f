// Guards the spreading of a large document: neither the link of the host that
// has it first nor the reads of the store are used up by all hosts at once.

#include "fake_store.hpp"

#include "fakes/dispatch_fleet.hpp"
#include "fakes/fiber_thread.hpp"
#include "fakes/lone_follower.hpp"

#include <store_source.hpp>

#include <oriolegrade/coordination/document_search.hpp>
#include <oriolegrade/protocol/dispatch_messages.hpp>
#include <oriolegrade/transport/gateway/dispatch_link.hpp>
#include <oriolegrade/transport/gateway/rules_follower.hpp>
#include <oriolegrade/transport/stream_client.hpp>

#include <gtest/gtest.h>

#include <memory>
#include <random>
#include <vector>

namespace {

using namespace oriolegrade;
using namespace std::chrono_literals;
using boost::this_fiber::sleep_for;

/// Text that no packing makes much smaller.
std::string random_text(std::size_t bytes)
{
    std::mt19937 random(1);
    std::string out;
    while (out.size() < bytes) {
        out += static_cast<char>('!' + random() % 90);
    }
    return out;
}

void put_in_force(transport::gateway_shared& shared, std::uint64_t version,
                  const std::string& document)
{
    state::traffic_rules rules;
    rules.version = version;
    rules.document = document;
    shared.rules.publish(std::make_shared<const state::route_index>(
        std::make_shared<const state::traffic_rules>(std::move(rules))));
}

// A dispatcher told 200 hosts of a version, and all fetched it at once: its
// link was full for five seconds, and its places came too late.
TEST(document_fan_out, a_host_sends_the_document_to_all_at_once)
{
    constexpr std::size_t askers = 12;
    auto& f = test::make_fleet();
    put_in_force(f.first().shared, 2, random_text(600'000));
    std::vector<std::unique_ptr<transport::stream_client>> clients;
    std::vector<transport::client_stream> streams;
    unsigned given = 0;
    for (std::size_t n = 0; n < askers; ++n) {
        clients.push_back(std::make_unique<transport::stream_client>(
            test::fiber_context(), f.first().shared.options.self.control,
            std::string(), transport::gateway_stream_limits()));
        auto opened = clients.back()->open(transport::fleet_view_path, {}, 2s);
        ASSERT_TRUE(opened);
        streams.push_back(std::move(opened.value()));
        ASSERT_TRUE(streams.back().write_all(boost::asio::buffer("1", 1)));
        streams.back().finish();
    }
    for (auto& it : streams) {
        const auto status = it.status();
        ASSERT_TRUE(status);
        given += status.value() == 200 ? 1 : 0;
    }
    EXPECT_EQ(given, coordination::usual_document_transfers);
    streams.clear();
    sleep_for(50ms);
    // The transfers have ended, and another host gets the document.
    const auto last =
        clients.front()->call(transport::fleet_view_path, {}, "1", 2s);
    ASSERT_TRUE(last);
    EXPECT_EQ(last.value().status, 200U);
    const auto view = protocol::decode_fleet_view(last.value().body);
    ASSERT_TRUE(view);
    EXPECT_EQ(view.value().rules_document, random_text(600'000));
    for (const auto& it : clients) {
        it->stop();
    }
}

// Names and numbers of routes differ, and the rest of a document repeats.
TEST(document_fan_out, a_document_travels_between_hosts_in_full_length)
{
    std::mt19937 random(1);
    std::string document = R"({"version": "r2", "routes": {)";
    for (int n = 0; n < 4'000; ++n) {
        document += R"("r-)" + std::to_string(random()) +
                    R"(": {"service": "orderbook", "host": "a.example",
                    "path_prefix": "/)" +
                    std::to_string(random()) +
                    R"(/", "kind": "safe", "timeout": "4000ms",
                    "target_latency": "1000ms", "priority": 2},)";
    }
    document.back() = '}';
    document += "}";
    const auto bytes = protocol::encode_fleet_view({document, {}});
    EXPECT_LT(bytes.size(), document.size() / 4);
    const auto view = protocol::decode_fleet_view(bytes);
    ASSERT_TRUE(view);
    EXPECT_EQ(view.value().rules_document, document);
}

/// A host that reads the store only when no other one helps.
struct follower_bench
{
    explicit follower_bench(boost::asio::io_context& ioc)
        : store(ioc)
        , source(ioc, store.address())
        , shared(transport::gateway_options{})
        , follower(shared, source)
    {
        test::make_lone(follower);
        follower.ask_peer = [this](const std::string&, std::uint64_t) {
            ++asked;
            return test::view_of({});
        };
        put(1);
        transport::spawn_fiber([this] { follower.run(); });
        transport::spawn_fiber([this] { follower.run_notices(); });
    }

    void put(int version)
    {
        store.put("keyed.op", "config",
                  R"({"version": "r)" + std::to_string(version) +
                      R"(", "routes": {}, "services": {}})");
    }
    bool reaches(std::uint64_t version, std::chrono::milliseconds limit) const
    {
        return test::reaches_version(shared, version, limit);
    }

    test::fake_store store;
    platform::store_source source;
    transport::gateway_shared shared;
    transport::rules_follower<platform::store_source> follower;
    int asked = 0;
};

follower_bench& make_follower()
{
    return *new follower_bench(test::fiber_context());
}

// The store gives 80 MB/s to all reads together: 200 hosts that read a document
// there leave nothing for the register.
TEST(document_fan_out, every_host_reads_the_store_for_a_notice)
{
    auto& b = make_follower();
    ASSERT_TRUE(b.reaches(1, 1s));
    b.follower.heard("other", 1, 0ms);
    b.put(2);
    const auto before = b.store.newest_calls;
    b.follower.heard("other", 2, 0ms);
    sleep_for(500ms);
    EXPECT_GE(b.asked, 2);
    EXPECT_EQ(b.store.newest_calls, before);
    // Nobody helps: the host reads in person, within the limit of 2 s.
    EXPECT_TRUE(b.reaches(2, 1s));
}

// The readers fell silent, and each host read a document that it had.
TEST(document_fan_out, an_unconfirmed_host_reads_the_whole_document_again)
{
    auto& b = make_follower();
    ASSERT_TRUE(b.reaches(1, 1s));
    const auto before = b.store.newest_calls;
    for (int n = 0; n < 4; ++n) {
        b.follower.heard("other", 1, 0ms);
        sleep_for(100ms);
    }
    sleep_for(1'700ms);
    EXPECT_EQ(b.store.newest_calls, before);
    b.put(2);
    EXPECT_TRUE(b.reaches(2, 500ms));
}

} // namespace
