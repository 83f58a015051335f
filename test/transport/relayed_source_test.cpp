// Guards reads through another host: dispatchers that the store turns away
// keep a fresh view, and hosts return to the store when it answers.

#include "fakes/fake_source.hpp"
#include "fakes/fiber_thread.hpp"

#include <oriolegrade/transport/gateway/relayed_source.hpp>

#include <boost/fiber/operations.hpp>
#include <gtest/gtest.h>

namespace {

using namespace oriolegrade;
using namespace std::chrono_literals;

/// Another host, with its own way to the store.
struct fake_relay
{
    std::optional<state::source_reply>
    relay(const state::source_request& request)
    {
        if (!reachable) {
            return std::nullopt;
        }
        ++calls;
        return transport::read_source(source, request);
    }

    test::fake_source source;
    bool reachable = true;
    int calls = 0;
};

static_assert(transport::source_relay<fake_relay>);

struct relayed_reads : ::testing::Test
{
    relayed_reads()
    {
        other.source.upstreams.next_offset = 7;
    }

    test::fake_source own;
    fake_relay other;
    transport::relayed_source<test::fake_source, fake_relay> source{own, other};
};

TEST_F(relayed_reads, a_store_that_answers_is_read_directly)
{
    EXPECT_TRUE(source.read_upstreams(1));
    EXPECT_TRUE(source.newest_rules());
    EXPECT_EQ(other.calls, 0);
}

// The store is out of reach of this host only. Its calls are charged also when
// they fail, so it does not repeat each of them before it asks.
TEST_F(relayed_reads, a_host_that_is_turned_away_reads_through_another)
{
    own.failure = state::source_failure::turned_away;
    for (int n = 0; n < 10; ++n) {
        const auto read = source.read_upstreams(1);
        ASSERT_TRUE(read);
        EXPECT_EQ(read.value().next_offset, 7U);
    }
    EXPECT_EQ(own.calls, 1);
    EXPECT_EQ(other.calls, 10);
}

TEST_F(relayed_reads, dropped_history_is_no_reason_to_ask)
{
    own.failure = state::source_failure::trimmed;
    const auto read = source.read_upstreams(1);
    ASSERT_FALSE(read);
    EXPECT_EQ(read.error(), state::source_failure::trimmed);
    EXPECT_EQ(other.calls, 0);
}

// History that the other host finds dropped is dropped for this one too.
TEST_F(relayed_reads, dropped_history_is_told_by_the_other_host)
{
    own.failure = state::source_failure::unreachable;
    other.source.failure = state::source_failure::trimmed;
    const auto read = source.read_upstreams(1);
    ASSERT_FALSE(read);
    EXPECT_EQ(read.error(), state::source_failure::trimmed);
}

TEST_F(relayed_reads, a_store_that_is_away_for_all_tells_its_failure)
{
    own.failure = state::source_failure::turned_away;
    other.reachable = false;
    const auto read = source.read_upstreams(1);
    ASSERT_FALSE(read);
    EXPECT_EQ(read.error(), state::source_failure::turned_away);
    EXPECT_FALSE(source.read_upstreams(1));
    EXPECT_EQ(own.calls, 2);
}

// A store that drops its history leaves waits unanswered while it serves this
// host. Asking others to wait took up to four seconds on a bench day.
TEST_F(relayed_reads, a_failed_wait_is_no_reason_to_ask)
{
    own.failure = state::source_failure::unreachable;
    EXPECT_FALSE(source.wait_for_rules(1, 1s));
    EXPECT_EQ(other.calls, 0);
    own.failure.reset();
    EXPECT_TRUE(source.newest_rules());
    EXPECT_EQ(other.calls, 0);
}

// A reader that was cut off in silence waited 2.1 s for its own call to fail,
// while all hosts relied on it and changes must be in force within 2 s.
TEST_F(relayed_reads, an_overdue_wait_holds_up_the_news)
{
    own.silence = 1900ms;
    other.source.rules.next_offset = 9;
    const auto began = std::chrono::steady_clock::now();
    const auto read = source.wait_for_rules(1, 1s);
    EXPECT_LT(std::chrono::steady_clock::now() - began, 1450ms);
    ASSERT_TRUE(read);
    EXPECT_EQ(read.value().next_offset, 9U);
    boost::this_fiber::sleep_for(600ms);
}

// Without another host that answers, the own call decides.
TEST_F(relayed_reads, an_overdue_wait_that_nobody_helps_ends_early)
{
    own.silence = 600ms;
    other.reachable = false;
    const auto began = std::chrono::steady_clock::now();
    EXPECT_FALSE(source.wait_for_rules(1, 100ms));
    EXPECT_GE(std::chrono::steady_clock::now() - began, 600ms);
}

TEST_F(relayed_reads, rules_read_through_another_host_are_read_with_pauses)
{
    own.failure = state::source_failure::turned_away;
    ASSERT_TRUE(source.newest_rules());
    const auto began = std::chrono::steady_clock::now();
    EXPECT_TRUE(source.wait_for_rules(1, 1s));
    EXPECT_GE(std::chrono::steady_clock::now() - began,
              transport::relay_rules_interval);
    EXPECT_EQ(other.calls, 2);
}

// A reader that the store turned away had another host bring the document every
// half second, also when it had not changed.
TEST_F(relayed_reads, a_known_document_is_read_again_through_another_host)
{
    own.failure = state::source_failure::turned_away;
    ASSERT_TRUE(source.newest_rules());
    const auto read = other.source.newest_rules_calls;
    EXPECT_TRUE(source.wait_for_rules(1, 1s));
    EXPECT_EQ(other.calls, 2);
    EXPECT_EQ(other.source.newest_rules_calls, read);
}

TEST_F(relayed_reads, a_host_returns_to_the_store_when_it_answers)
{
    own.failure = state::source_failure::unreachable;
    ASSERT_TRUE(source.read_upstreams(1));
    own.failure.reset();
    boost::this_fiber::sleep_for(transport::relay_test_interval + 50ms);
    ASSERT_TRUE(source.read_upstreams(1));
    boost::this_fiber::sleep_for(20ms);
    const auto asked = other.calls;
    ASSERT_TRUE(source.read_upstreams(1));
    EXPECT_EQ(other.calls, asked);
}

} // namespace
