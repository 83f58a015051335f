// Guards against wrong results being reported to operators who publish
// changes.

#include <oriolegrade/coordination/publisher.hpp>

#include <fakes/fake_log.hpp>
#include <fakes/fake_record.hpp>

#include <gtest/gtest.h>

namespace {

using namespace oriolegrade;
using namespace oriolegrade::fakes;
using coordination::publish_outcome;

/// A publisher with its own connection to the log.
struct publisher_fixture
{
    explicit publisher_fixture(fake_log_store& store)
        : log(store)
    {}

    coordination::publish_result publish(const state::record& rec)
    {
        const auto pause = [this](state::duration) {
            ++pauses;
        };
        coordination::publisher p(log, fake_decoder{}, pause);
        return p.publish(std::make_shared<const state::configuration>(),
                         rec.change_id, encode(rec));
    }

    fake_log log;
    unsigned pauses = 0;
};

std::size_t records_in(fake_log_store& store)
{
    return store.streams[std::string(coordination::configuration_stream)]
        .records.size();
}

// Guards against two accepted changes of one revision, or a refused operator
// who is not told which change won.
TEST(publisher, concurrent_changes_have_one_winner)
{
    fake_log_store store;
    publisher_fixture ann(store);
    publisher_fixture bo(store);
    const auto first = ann.publish(workspace_record("a", 0, 1, "ann"));
    const auto second = bo.publish(workspace_record("a", 0, 2, "bo"));
    EXPECT_EQ(first.outcome, publish_outcome::accepted);
    EXPECT_EQ(first.decision.revision, 1U);
    EXPECT_EQ(second.outcome, publish_outcome::refused);
    EXPECT_EQ(second.decision.winner, "ann");
    EXPECT_EQ(second.decision.winner_change.low, 1U);
}

// Guards against a change that is applied twice, or reported as failed, when
// the log accepted it but the reply was lost.
TEST(publisher, lost_reply_is_resolved_by_reading)
{
    fake_log_store store;
    publisher_fixture ann(store);
    ann.log.append_faults = {append_fault::answer_lost};
    const auto r = ann.publish(workspace_record("a", 0, 1, "ann"));
    EXPECT_EQ(r.outcome, publish_outcome::accepted);
    EXPECT_EQ(r.offset, 0U);
    EXPECT_EQ(records_in(store), 1U);
}

// Guards against a duplicated record whose result is taken from its second
// occurrence, after another operator's change.
TEST(publisher, repeated_append_is_evaluated_at_its_first_offset)
{
    fake_log_store store;
    publisher_fixture ann(store);
    const auto rec = workspace_record("a", 0, 1, "ann");
    ann.log.append_faults = {append_fault::answer_lost};
    ann.log.reads_unavailable = true;
    EXPECT_EQ(ann.publish(rec).outcome, publish_outcome::unresolved);
    publisher_fixture bo(store);
    bo.publish(workspace_record("a", 1, 2, "bo"));
    ann.log.reads_unavailable = false;
    const auto again = ann.publish(rec);
    EXPECT_EQ(again.outcome, publish_outcome::accepted);
    EXPECT_EQ(again.offset, 0U);
}

// Guards against a change that is dropped when the log loses the request and
// sends no reply.
TEST(publisher, lost_record_is_appended_again)
{
    fake_log_store store;
    publisher_fixture ann(store);
    ann.log.append_faults = {append_fault::record_lost};
    EXPECT_EQ(ann.publish(workspace_record("a", 0, 1, "ann")).outcome,
              publish_outcome::accepted);
    EXPECT_EQ(ann.pauses, 1U);
}

// Guards against a change that is reported as not in the log although it may
// be, and the reverse, for each point in time at which the log can fail.
TEST(publisher, outage_before_during_and_after_an_append)
{
    const auto rec = workspace_record("a", 0, 1, "ann");
    fake_log_store store;
    publisher_fixture before(store);
    before.log.append_faults.assign(3, append_fault::unavailable);
    EXPECT_EQ(before.publish(rec).outcome, publish_outcome::not_published);
    EXPECT_EQ(records_in(store), 0U);

    publisher_fixture during(store);
    during.log.append_faults = {append_fault::record_lost,
                                append_fault::unavailable,
                                append_fault::unavailable};
    during.log.reads_unavailable = true;
    EXPECT_EQ(during.publish(rec).outcome, publish_outcome::unresolved);

    publisher_fixture after(store);
    after.log.reads_unavailable = true;
    EXPECT_EQ(after.publish(rec).outcome, publish_outcome::unresolved);
    after.log.reads_unavailable = false;
    after.log.failing_reads = 2;
    EXPECT_EQ(after.publish(rec).outcome, publish_outcome::accepted);
}

} // namespace
