// Guards the loops of a gateway's control thread against an exception in one
// round: it ended the process, and a loop that only ends leaves the host with
// old rules, upstreams or hosts.

#include "fakes/fake_source.hpp"
#include "fakes/fiber_thread.hpp"
#include "fakes/lone_follower.hpp"

#include <oriolegrade/transport/gateway/member_directory.hpp>
#include <oriolegrade/transport/gateway/registry_follower.hpp>
#include <oriolegrade/transport/gateway/relayed_source.hpp>
#include <oriolegrade/transport/gateway/rules_follower.hpp>

#include <boost/fiber/operations.hpp>
#include <gtest/gtest.h>

#include <memory>
#include <stdexcept>

namespace {

using namespace oriolegrade;
using namespace std::chrono_literals;

/// Throws from a number of calls of each kind.
class throwing_source : public test::fake_source
{
public:
    state::source_result<state::rules_read> newest_rules()
    {
        fail(rules_faults);
        return fake_source::newest_rules();
    }
    state::source_result<state::rules_read> wait_for_rules(std::uint64_t from,
                                                           state::duration time)
    {

        fail(rules_faults);
        boost::this_fiber::sleep_for(50ms);
        return fake_source::wait_for_rules(from, time);
    }
    state::result<state::traffic_rules, state::findings>
    decode_rules(const std::string&)
    {
        fail(decode_faults);
        state::traffic_rules out;
        out.version = 1;
        return out;
    }
    state::source_result<state::registry_read> newest_upstreams()
    {
        fail(upstream_faults);
        return fake_source::newest_upstreams();
    }
    state::source_result<state::directory_read> newest_hosts()
    {
        fail(host_faults);
        return fake_source::newest_hosts();
    }
    state::source_result<void> put_host(const state::host_member& host)
    {
        fail(put_faults);
        return fake_source::put_host(host);
    }

    int rules_faults = 0;
    int decode_faults = 0;
    int upstream_faults = 0;
    int host_faults = 0;
    int put_faults = 0;

private:
    static void fail(int& faults)
    {
        if (faults > 0) {
            --faults;
            throw std::runtime_error("made by a test");
        }
    }
};

struct rules_bench
{
    rules_bench()
        : shared(transport::gateway_options())
        , follower(shared, source)
    {
        test::make_lone(follower);
        follower.on_rules = [this] {
            ++in_force;
        };
        follower.is_reader = [] {
            return true;
        };
        source.rules.document = "document";
    }

    throwing_source source;
    transport::gateway_shared shared;
    transport::rules_follower<throwing_source> follower;
    int in_force = 0;
};

/// Kept until the process ends: its fibers run for ever.
rules_bench& make_rules()
{
    return *new rules_bench;
}

TEST(follower_fault, rules_are_read_again)
{
    test::fiber_context();
    auto& b = make_rules();
    b.source.rules_faults = 1;
    transport::spawn_fiber([&b] { b.follower.run(); });
    boost::this_fiber::sleep_for(100ms);
    EXPECT_EQ(b.in_force, 0);
    EXPECT_EQ(b.source.calls, 0);
    boost::this_fiber::sleep_for(transport::rules_last_retry);
    EXPECT_EQ(b.in_force, 1);
}

// A document that was read and not put in force must not be passed over, or be
// confirmed to other hosts.
TEST(follower_fault, rules_that_are_not_in_force_are_not_confirmed)
{
    test::fiber_context();
    auto& b = make_rules();
    b.source.decode_faults = 1;
    transport::spawn_fiber([&b] { b.follower.run(); });
    boost::this_fiber::sleep_for(100ms);
    EXPECT_EQ(b.source.calls, 1);
    EXPECT_FALSE(b.follower.is_fresh());
    EXPECT_FALSE(b.follower.confirmed_age());
    boost::this_fiber::sleep_for(transport::rules_last_retry);
    EXPECT_EQ(b.in_force, 1);
    EXPECT_TRUE(b.follower.is_fresh());
}

// Requests wait for the next read of the register.
TEST(follower_fault, register_reads_go_on_and_waiters_are_told)
{
    test::fiber_context();
    auto& source = *new throwing_source;
    auto& follower = *new transport::registry_follower<throwing_source>(source);
    follower.is_wanted = [] {
        return true;
    };
    follower.on_read = [] {
    };
    follower.ask_dispatchers = [] {
        return std::optional<state::registry_read>();
    };
    source.upstream_faults = 1;
    int told = 0;
    follower.refresh([&told] { ++told; });
    transport::spawn_fiber([&follower] { follower.run(); });
    boost::this_fiber::sleep_for(50ms);
    EXPECT_EQ(told, 1);
    EXPECT_EQ(follower.age(std::chrono::steady_clock::now()),
              state::duration::max());
    EXPECT_EQ(source.calls, 0);
    boost::this_fiber::sleep_for(transport::registry_retry + 100ms);
    EXPECT_GE(source.calls, 1);
    EXPECT_LT(follower.age(std::chrono::steady_clock::now()), 1s);
}

TEST(follower_fault, members_are_read_again)
{
    test::fiber_context();
    auto& source = *new throwing_source;
    source.put_faults = 1;
    source.host_faults = 1;
    const state::host_member self{"host-1", "dc", {0x7f000001, 1}, 100};
    auto& members =
        *new transport::member_directory<throwing_source>(source, self, true);
    std::size_t known = 0;
    members.on_members = [&known](const auto& list) {
        known = list.size();
    };
    members.ask_peer = [] {
        return std::optional<protocol::fleet_view>();
    };
    members.is_reader = [] {
        return true;
    };
    members.is_recorder = [] {
        return false;
    };
    source.directory.hosts.push_back({"host-2", "dc", {0x7f000001, 2}, 100});
    transport::spawn_fiber([&members] { members.run(); });
    boost::this_fiber::sleep_for(50ms);
    EXPECT_EQ(source.host_faults, 0);
    EXPECT_EQ(source.put_faults, 0);
    EXPECT_EQ(known, 2U);
}

// The reader of rules waits for the call.
TEST(follower_fault, wait_that_throws_counts_as_unanswered)
{
    test::fiber_context();
    struct no_relay
    {
        static std::optional<state::source_reply>
        relay(const state::source_request&)
        {
            return std::nullopt;
        }
    };
    throwing_source own;
    no_relay relay;
    transport::relayed_source<throwing_source, no_relay> source(own, relay);
    own.rules_faults = 1;
    const auto read = source.wait_for_rules(1, 100ms);
    ASSERT_FALSE(read);
    EXPECT_EQ(read.error(), state::source_failure::unreachable);
    EXPECT_TRUE(source.wait_for_rules(1, 100ms));
}

} // namespace
