// Guards against a start from a wrong snapshot, a wrong status of changes, and
// too many or too few readers of the log.

#include <oriolegrade/coordination/change_tracker.hpp>
#include <oriolegrade/coordination/reader_election.hpp>
#include <oriolegrade/coordination/snapshot_choice.hpp>

#include <fakes/fake_clock.hpp>

#include <gtest/gtest.h>

#include <algorithm>

namespace {

using namespace oriolegrade;
using namespace std::chrono_literals;

// Guards against a start from a stale peer, or from one whose configuration
// differs from that of all others.
TEST(snapshot_choice, highest_offset_with_most_holders_wins)
{
    const state::identifier good{0, 1};
    const state::identifier odd{0, 9};
    const auto choice = coordination::choose_snapshot({{"h1", "a", 5, good},
                                                       {"h2", "a", 9, odd},
                                                       {"h3", "a", 9, good},
                                                       {"h4", "b", 9, good}});
    ASSERT_TRUE(choice);
    EXPECT_EQ(choice->next_offset, 9U);
    EXPECT_EQ(choice->digest, good);
    EXPECT_EQ(choice->holders, (std::vector<std::size_t>{2, 3}));
    EXPECT_TRUE(choice->disputed);
    EXPECT_FALSE(coordination::choose_snapshot({}));
}

// Guards against a start from the offers of one disconnected data centre, and
// against a start that never completes because a data centre is down.
TEST(snapshot_choice, offers_from_two_data_centres_are_required_if_possible)
{
    std::vector<coordination::snapshot_offer> offers(
        3, {"h", "a", 5, state::identifier{0, 1}});
    coordination::offer_poll survey{{"a", "b"}, 5, 3};
    EXPECT_FALSE(coordination::has_enough_offers(offers, survey));
    survey.finished = 5;
    EXPECT_TRUE(coordination::has_enough_offers(offers, survey));
    survey.finished = 4;
    offers.push_back({"k", "b", 4, state::identifier{0, 2}});
    EXPECT_TRUE(coordination::has_enough_offers(offers, survey));
    EXPECT_FALSE(coordination::has_enough_offers({}, {{"a"}, 1, 1}));
}

// Guards against a log without a snapshot, and against 810 hosts that write
// one at the same time.
TEST(snapshot_choice, snapshot_is_due_after_a_third_of_retention_by_rank)
{
    EXPECT_FALSE(coordination::snapshot_due(8h, 24h, 0));
    EXPECT_TRUE(coordination::snapshot_due(8h + 1s, 24h, 0));
    EXPECT_FALSE(coordination::snapshot_due(8h + 29s, 24h, 1));
    EXPECT_TRUE(coordination::snapshot_due(8h + 31s, 24h, 1));
    EXPECT_TRUE(coordination::snapshot_due(12h + 1s, 24h, 100'000));
}

// Guards against a status that counts a host which has not applied the change,
// and against memory that grows with every change.
TEST(change_tracker, status_lists_lagging_hosts)
{
    coordination::change_tracker tracker;
    tracker.add({{4, {}, {0, 1}, "ann", {}}, {7, {}, {0, 1}, "ann", {}}});
    const auto status = tracker.status({0, 1}, {{"c", 4}, {"a", 5}, {"b", 0}});
    ASSERT_TRUE(status);
    EXPECT_EQ(status->record.offset, 4U);
    EXPECT_EQ(status->applied, 1U);
    EXPECT_EQ(status->live, 3U);
    EXPECT_EQ(status->lagging, (std::vector<std::string>{"b", "c"}));
    for (std::uint64_t n = 2; n < coordination::change_tracker::max_changes + 9;
         ++n) {
        tracker.add({{n, {}, {0, n}, "ann", {}}});
    }
    EXPECT_EQ(tracker.size(), coordination::change_tracker::max_changes);
    EXPECT_FALSE(tracker.status({0, 1}, {}));
}

// Guards against an order that changes for other hosts when one is lost, and
// against hosts that disagree because their lists are sorted differently.
TEST(reader_election, order_is_stable_when_a_host_is_lost)
{
    std::vector<std::string> hosts;
    for (int n = 0; n < 41; ++n) {
        hosts.push_back("host-" + std::to_string(n));
    }
    auto order = coordination::reader_order(hosts, "configuration");
    std::reverse(hosts.begin(), hosts.end());
    EXPECT_EQ(coordination::reader_order(hosts, "configuration"), order);
    EXPECT_EQ(coordination::reader_rank(hosts, order[5], "configuration"), 5U);
    EXPECT_EQ(coordination::reader_rank(hosts, "other", "configuration"), 41U);
    const auto lost = order[2];
    std::erase(hosts, lost);
    std::erase(order, lost);
    EXPECT_EQ(coordination::reader_order(hosts, "configuration"), order);
}

// Guards against a host that waits for readers that are all down.
TEST(reader_election, host_reads_log_after_1_s_without_update)
{
    fakes::fake_clock clock;
    coordination::read_schedule schedule(clock.now());
    EXPECT_TRUE(schedule.should_read(clock.now(), true));
    clock.advance(999ms);
    EXPECT_FALSE(schedule.should_read(clock.now(), false));
    clock.advance(1ms);
    EXPECT_TRUE(schedule.should_read(clock.now(), false));
    schedule.on_log_update(clock.now());
    EXPECT_FALSE(schedule.should_read(clock.now(), false));
}

} // namespace
