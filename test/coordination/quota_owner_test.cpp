// Guards the owner of a workspace's limit: what it lends never exceeds what
// hosts have delegated.

#include <oriolegrade/coordination/quota_owner.hpp>

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace {

using namespace oriolegrade;
using namespace std::chrono_literals;

const state::time_point start{1000s};
const std::string workspace = "w";

struct quota_owner : ::testing::Test
{
    quota_owner()
    {
        owner.set_limits({{workspace, {100, 50}}}, now);
        owner.set_hosts({"a", "b"});
    }

    /// Hosts answer each request that is due.
    void delegate_all(const std::vector<std::string>& hosts,
                      state::duration age = 1h)
    {
        for (const auto& it : owner.take_requests(now)) {
            for (const auto& host : hosts) {
                if (it.host == host) {
                    state::quota_delegation answer;
                    answer.shard = it.message.shard;
                    answer.number = it.message.number;
                    answer.fraction = 0.5;
                    answer.age = age;
                    owner.answered(host, answer, now);
                }
            }
        }
    }

    void send_ask(const std::string& host, std::uint32_t waiting,
                  std::uint64_t applied = 0, bool holds = false)
    {
        state::quota_ask it;
        it.workspace = workspace;
        it.number = ++number;
        it.applied = applied;
        it.holds = holds;
        it.waiting = waiting;
        owner.ask(host, it, now);
    }

    /// Level of the only grant; -1 without one.
    double granted()
    {
        const auto out = owner.take_grants(now);
        EXPECT_LE(out.size(), 1);
        return out.empty() ? -1 : out.front().message.slice.level;
    }

    state::time_point now = start;
    std::uint64_t number = 0;
    coordination::quota_owner owner;
};

TEST_F(quota_owner, lends_before_any_share_is_delegated)
{
    send_ask("a", 1);
    EXPECT_EQ(granted(), -1);
    now += coordination::first_delegations;
    EXPECT_EQ(granted(), 0);
}

TEST_F(quota_owner, lends_more_than_the_delegated_part)
{
    send_ask("a", 80);
    delegate_all({"a"});
    now += coordination::first_delegations;
    EXPECT_EQ(granted(), 25);
    send_ask("b", 80);
    EXPECT_EQ(granted(), 0);
}

TEST_F(quota_owner, refunds_tokens_that_a_host_has_spent)
{
    send_ask("a", 50);
    delegate_all({"a", "b"});
    EXPECT_EQ(granted(), 50);
    // Applied, spent and expired since.
    send_ask("a", 50, number, false);
    EXPECT_EQ(granted(), 0);
}

TEST_F(quota_owner, keeps_tokens_of_an_answer_that_was_lost)
{
    send_ask("a", 50);
    delegate_all({"a", "b"});
    EXPECT_EQ(granted(), 50);
    send_ask("a", 50, 0, false);
    EXPECT_EQ(granted(), 50);
}

TEST_F(quota_owner, lends_from_delegations_that_end_first)
{
    send_ask("a", 1);
    delegate_all({"a", "b"});
    granted();
    // No host renews.
    now += 2s;
    owner.take_requests(now);
    send_ask("a", 10);
    EXPECT_LE(granted(), 0);
    now += 2s;
    send_ask("b", 10);
    EXPECT_LE(granted(), 0);
}

TEST_F(quota_owner, a_woken_owner_lends_what_others_hold)
{
    send_ask("a", 1);
    delegate_all({"a", "b"});
    granted();
    now += 1h;
    send_ask("a", 10);
    EXPECT_LE(granted(), 0);
}

TEST_F(quota_owner, keeps_or_loses_what_an_idle_shard_has_gained)
{
    send_ask("a", 50);
    delegate_all({"a", "b"});
    EXPECT_EQ(granted(), 50);
    for (int n = 0; n < 100; ++n) {
        now += 100ms;
        for (const auto& it : owner.take_requests(now)) {
            if (it.message.term == 0s) {
                // At 100/s half a second fills the burst of 50.
                EXPECT_GE(it.message.age, 500ms);
                EXPECT_LE(it.message.age, 2h);
                EXPECT_EQ(owner.active(), 0);
                return;
            }
            state::quota_delegation answer;
            answer.shard = it.message.shard;
            answer.number = it.message.number;
            answer.fraction = 0.5;
            owner.answered(it.host, answer, now);
        }
    }
    FAIL() << "not released";
}

} // namespace
