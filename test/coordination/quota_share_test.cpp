// Guards a host's own share: it never counts twice.

#include <oriolegrade/coordination/quota_share.hpp>

#include <gtest/gtest.h>

namespace {

using namespace oriolegrade;
using namespace std::chrono_literals;
using coordination::quota_share;
using state::quota_answer;

const state::time_point start{1000s};

state::quota_delegation_request request(std::uint64_t number,
                                        state::duration term = 3s)
{
    return {1, number, term, {}};
}

quota_share ready_share(std::size_t hosts = 10)
{
    quota_share out(start - 1h, false);
    out.set_hosts(hosts, start);
    return out;
}

TEST(quota_share, two_owners_hold_it_at_once)
{
    auto share = ready_share();
    const auto first = share.delegate(request(1), "a", "a", start);
    EXPECT_EQ(first.answer, quota_answer::given);
    EXPECT_DOUBLE_EQ(first.fraction, 0.1);
    EXPECT_GE(first.age, 59min);
    // The host takes another one for the owner now.
    EXPECT_EQ(share.delegate(request(2), "a", "b", start + 1s).answer,
              quota_answer::held_elsewhere);
    const auto early = share.delegate(request(1), "b", "b", start + 1s);
    EXPECT_EQ(early.answer, quota_answer::held_elsewhere);
    EXPECT_EQ(early.free_in, 2s);
    const auto second = share.delegate(request(2), "b", "b", start + 3500ms);
    EXPECT_EQ(second.answer, quota_answer::given);
    EXPECT_EQ(second.age, 500ms);
}

// The tokens of the time of a delegation are with the owner.
TEST(quota_share, a_renewed_delegation_hands_tokens_over_again)
{
    auto share = ready_share();
    share.delegate(request(1), "a", "a", start);
    EXPECT_EQ(share.delegate(request(2), "a", "a", start + 1s).age, 0s);
    EXPECT_EQ(share.delegate(request(1), "b", "b", start + 3900ms).answer,
              quota_answer::held_elsewhere);
}

TEST(quota_share, a_late_release_ends_a_newer_delegation)
{
    auto share = ready_share();
    share.delegate(request(1), "a", "a", start);
    share.delegate(request(3), "a", "a", start + 1s);
    auto release = request(2, 0s);
    share.delegate(release, "a", "a", start + 1s);
    EXPECT_EQ(share.delegate(request(1), "b", "b", start + 2s).answer,
              quota_answer::held_elsewhere);
    release.number = 4;
    release.age = 700ms;
    share.delegate(release, "a", "a", start + 2s);
    const auto next = share.delegate(request(2), "b", "b", start + 2s);
    EXPECT_EQ(next.answer, quota_answer::given);
    EXPECT_EQ(next.age, 700ms);
}

// The process before may have delegated the share until then, and others may
// not have read of a host that has joined.
TEST(quota_share, a_new_process_uses_its_share_too_early)
{
    quota_share restarted(start, false);
    restarted.set_hosts(10, start);
    const auto early = restarted.delegate(request(1), "a", "a", start + 1s);
    EXPECT_EQ(early.answer, quota_answer::not_ready);
    EXPECT_EQ(early.free_in, 2s);
    const auto given = restarted.delegate(request(2), "a", "a", start + 3s);
    EXPECT_EQ(given.answer, quota_answer::given);
    EXPECT_EQ(given.age, 0s);

    quota_share joined(start, true);
    joined.set_hosts(11, start);
    EXPECT_EQ(joined.fraction(start + 24s), 0);
    joined.set_hosts(11, start + 20s);
    EXPECT_GT(joined.fraction(start + 25s), 0);
}

TEST(quota_share, a_host_out_of_touch_counts_too_few_hosts)
{
    auto share = ready_share();
    EXPECT_DOUBLE_EQ(share.fraction(start + 11s), 0.1);
    EXPECT_DOUBLE_EQ(share.fraction(start + 12s), 0.08);
    EXPECT_EQ(share.fraction(start + 10min), 0);
}

// A host that left the directory may be cut off and go on with its share.
TEST(quota_share, shares_of_hosts_that_left_are_taken_at_once)
{
    auto share = ready_share(20);
    share.set_hosts(10, start + 5s);
    EXPECT_DOUBLE_EQ(share.fraction(start + 5s), 0.05);
    share.set_hosts(10, start + 10min + 1s);
    EXPECT_DOUBLE_EQ(share.fraction(start + 10min + 1s), 0.1);
    // More hosts count at once.
    share.set_hosts(40, start + 11min);
    EXPECT_DOUBLE_EQ(share.fraction(start + 11min), 0.025);
}

TEST(quota_share, a_limit_without_burst_lets_nothing_pass)
{
    const auto usable = coordination::usable_limit({1, 0}, 10s);
    EXPECT_DOUBLE_EQ(usable.burst, 1);
    EXPECT_DOUBLE_EQ(usable.rate_per_s, 0.9);
    const auto kept = coordination::usable_limit({100, 50}, 10s);
    EXPECT_EQ(kept, (state::quota_limit{100, 50}));
    for (const double rate : {0.05, 0.2, 3.0, 500.0}) {
        for (const double burst : {0.0, 0.4, 5.0}) {
            const auto it = coordination::usable_limit({rate, burst}, 10s);
            EXPECT_LE(it.rate_per_s * 10 + it.burst, rate * 10 + burst + 1e-9);
            EXPECT_GE(it.rate_per_s, 0);
        }
    }
}

} // namespace
