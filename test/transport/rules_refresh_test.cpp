// Guards the look for newer rules that requests ask for: one at a time for the
// host, whatever its callers send, and an end for each that waits.

#include "fakes/fake_source.hpp"
#include "fakes/fiber_thread.hpp"
#include "fakes/lone_follower.hpp"

#include <oriolegrade/transport/gateway/rules_client.hpp>
#include <oriolegrade/transport/gateway/rules_follower.hpp>

#include <boost/fiber/operations.hpp>
#include <gtest/gtest.h>

#include <memory>

namespace {

using namespace oriolegrade;
using namespace std::chrono_literals;

/// Its documents are version numbers; reads take some time.
class slow_source : public test::fake_source
{
public:
    state::source_result<state::rules_read> newest_rules()
    {
        boost::this_fiber::sleep_for(delay);
        return fake_source::newest_rules();
    }
    static state::result<state::traffic_rules, state::findings>
    decode_rules(const std::string& document)
    {
        state::traffic_rules out;
        out.version = std::stoull(document);
        return out;
    }

    std::chrono::milliseconds delay{20};
};

struct refresh_bench
{
    refresh_bench()
        : shared(transport::gateway_options())
        , follower(shared, source)
    {
        test::make_lone(follower);
        follower.ask_peer = [this](const std::string& host, std::uint64_t) {
            asked.push_back(host);
            return test::view_of(peer_document);
        };
        source.rules.document = "2";
        shared.configured = true;
    }

    void refresh()
    {
        follower.refresh([this] { ++ended; });
    }
    std::uint64_t version() const
    {
        return test::version_in_force(shared);
    }
    bool may_be_behind() const
    {
        return shared.may_be_behind(std::chrono::steady_clock::now(),
                                    version());
    }

    slow_source source;
    transport::gateway_shared shared;
    transport::rules_follower<slow_source> follower;
    std::optional<std::string> peer_document;
    std::vector<std::string> asked;
    int ended = 0;
};

/// Kept until the process ends: its fibers refer to it.
refresh_bench& make_refresh()
{
    test::fiber_context();
    return *new refresh_bench;
}

TEST(rules_refresh, one_read_serves_all_that_ask)
{
    auto& b = make_refresh();
    for (int n = 0; n < 50; ++n) {
        b.refresh();
        boost::this_fiber::yield();
    }
    EXPECT_EQ(b.ended, 0);
    boost::this_fiber::sleep_for(60ms);
    EXPECT_EQ(b.ended, 50);
    EXPECT_EQ(b.source.calls, 1);
    EXPECT_EQ(b.version(), 2U);
    // The read confirms the version for a while.
    EXPECT_FALSE(b.may_be_behind());
}

// Callers with wrong keys made a host that had lost the store call it without
// a pause.
TEST(rules_refresh, a_look_that_failed_is_not_repeated_at_once)
{
    auto& b = make_refresh();
    b.source.failure = state::source_failure::unreachable;
    b.source.delay = 0ms;
    for (int n = 0; n < 20; ++n) {
        b.refresh();
        boost::this_fiber::sleep_for(1ms);
    }
    EXPECT_EQ(b.ended, 20);
    EXPECT_EQ(b.source.calls, 1);
    EXPECT_EQ(b.asked.size(), 1U);
    EXPECT_TRUE(b.may_be_behind());
    boost::this_fiber::sleep_for(transport::rules_ask_pause);
    b.peer_document = "7";
    b.refresh();
    boost::this_fiber::sleep_for(20ms);
    EXPECT_EQ(b.version(), 7U);
}

TEST(rules_refresh, the_host_that_told_is_asked_first)
{
    auto& b = make_refresh();
    b.peer_document = "5";
    b.follower.heard("host-5", 5, std::nullopt);
    EXPECT_TRUE(b.may_be_behind());
    b.refresh();
    boost::this_fiber::sleep_for(20ms);
    EXPECT_EQ(b.asked, std::vector<std::string>{"host-5"});
    EXPECT_EQ(b.source.calls, 0);
    EXPECT_EQ(b.version(), 5U);
}

// The host that has the document sends it to others first: a request on a new
// route was refused some milliseconds before the rules came.
TEST(rules_refresh, a_look_ends_before_a_version_that_is_on_its_way)
{
    auto& b = make_refresh();
    transport::spawn_fiber([&b] { b.follower.run_notices(); });
    b.follower.heard("host-5", 5, std::nullopt);
    boost::this_fiber::sleep_for(5ms);
    EXPECT_FALSE(b.asked.empty());
    b.refresh();
    boost::this_fiber::sleep_for(5ms);
    EXPECT_EQ(b.ended, 0);
    b.peer_document = "5";
    boost::this_fiber::sleep_for(150ms);
    EXPECT_EQ(b.version(), 5U);
    EXPECT_EQ(b.ended, 1);
}

// A confirmation by another host is as good as a read, and lapses.
TEST(rules_refresh, a_confirmation_lapses)
{
    auto& b = make_refresh();
    EXPECT_TRUE(b.may_be_behind());
    b.follower.heard("h", 0, transport::rules_confirm_limit - 50ms);
    EXPECT_FALSE(b.may_be_behind());
    boost::this_fiber::sleep_for(70ms);
    EXPECT_TRUE(b.may_be_behind());
}

// Waiters were left without an end after an exception.
TEST(rules_refresh, a_look_that_throws_ends)
{
    auto& b = make_refresh();
    b.source.rules.document = "no number";
    b.refresh();
    boost::this_fiber::sleep_for(60ms);
    EXPECT_EQ(b.ended, 1);
    EXPECT_TRUE(b.may_be_behind());
}

// A worker waits no longer than it was told.
TEST(rules_refresh, a_worker_stops_to_wait_at_its_limit)
{
    auto& ioc = test::fiber_context();
    std::function<void()> late;
    auto& client = *new transport::rules_client(
        ioc, ioc,
        [&late](std::function<void()> done) { late = std::move(done); });
    const auto began = std::chrono::steady_clock::now();
    client.refresh(began + 30ms);
    EXPECT_GE(std::chrono::steady_clock::now() - began, 30ms);
    // The end comes after the wait.
    ASSERT_TRUE(late);
    late();
    boost::this_fiber::sleep_for(5ms);
}

TEST(rules_refresh, a_worker_goes_on_at_the_end_of_the_look)
{
    auto& ioc = test::fiber_context();
    auto& client = *new transport::rules_client(
        ioc, ioc, [](const std::function<void()>& done) { done(); });
    const auto began = std::chrono::steady_clock::now();
    client.refresh(began + 5s);
    EXPECT_LT(std::chrono::steady_clock::now() - began, 1s);
}

} // namespace
