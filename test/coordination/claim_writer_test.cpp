// Guards against wrong answers to claimants when appends to the log fail.

#include "fakes/fake_claim_log.hpp"

#include <oriolegrade/coordination/execution_decision.hpp>

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace {

using namespace oriolegrade;
using namespace std::chrono_literals;
using namespace oriolegrade::coordination;
using fakes::claim_append_fault;

const state::time_point start{10h};

struct claim_writer_test : ::testing::Test
{
    using writer_type =
        claim_writer<fakes::fake_claim_log, fakes::batch_index_codec>;

    fakes::fake_claim_log log;
    std::vector<state::claim_batch> batches;
    writer_type writer{log, fakes::batch_index_codec(batches), 0};
    std::map<std::uint64_t, claim_status> got;

    void submit(std::uint64_t n, std::string_view key)
    {
        writer.submit({state::digest_of({key}), {1, n}, {2, n}, 1000}, start,
                      [this, n](const auto& it) { got[n] = it.status; });
    }

    void fault(claim_append_fault it)
    {
        log.next_fault = [it] {
            return it;
        };
    }
};

// Guards against one append per claim, and against a next_due() that makes the
// caller of pump() spin.
TEST_F(claim_writer_test, batches_claims_and_waits)
{
    EXPECT_FALSE(writer.next_due());
    for (std::uint64_t n = 0; n < 100; ++n) {
        submit(n, std::to_string(n % 50));
    }
    EXPECT_EQ(writer.next_due(), start + 20ms);
    writer.pump(start + 19ms);
    EXPECT_EQ(log.end(), 0U);
    writer.pump(start + 20ms);
    EXPECT_EQ(log.end(), 1U);
    EXPECT_FALSE(writer.next_due());
    for (std::uint64_t n = 0; n < 100; ++n) {
        EXPECT_EQ(got.at(n), n < 50 ? claim_status::won : claim_status::lost);
    }
    fault(claim_append_fault::lose_request);
    submit(200, "x");
    EXPECT_EQ(writer.next_due(), start + 340ms);
    writer.pump(start + 340ms);
    EXPECT_EQ(writer.next_due(), start + 390ms);
}

// Guards against a claim that is reported as lost or refused although only the
// acknowledgement of its append was lost.
TEST_F(claim_writer_test, resolves_a_lost_answer_by_reading)
{
    fault(claim_append_fault::lose_answer);
    submit(1, "a");
    writer.pump(start + 20ms);
    EXPECT_EQ(got.at(1), claim_status::won);
}

// Guards against not_claimed for a claim that may still be appended, and
// against a cancelled claim that wins later and runs.
TEST_F(claim_writer_test, late_win_of_a_cancelled_claim_never_runs)
{
    used_table used;
    const state::request_id id{state::request_id_kind::claim, {2, 1}};
    ASSERT_TRUE(used.reserve(id, {3, 3}, 1000, 0));
    fault(claim_append_fault::delay);
    submit(1, "a");
    writer.pump(start + 20ms);
    fault(claim_append_fault::refuse);
    writer.pump(start + 3s);
    ASSERT_EQ(got.at(1), claim_status::unresolved);
    const auto decision = resolve_claim(used, {1, 1}, {2, 1}, {});
    EXPECT_EQ(std::get<refuse_request>(decision).outcome,
              state::run_outcome::unknown);
    log.write_delayed();
    writer.pump(start + 4s);
    EXPECT_EQ(writer.winner(state::digest_of({"a"}))->nonce, id.value);
    const auto result = used.try_start(id, {3, 3}, 0, 0, {});
    EXPECT_EQ(std::get<replay>(result).result.outcome,
              state::run_outcome::not_run);
}

// Guards against claims that are never answered while the log refuses appends
// or the queue is full.
TEST_F(claim_writer_test, refuses_when_the_log_refuses_or_the_queue_is_full)
{
    fault(claim_append_fault::refuse);
    for (std::uint64_t n = 0; n < 4097; ++n) {
        submit(n, std::to_string(n));
    }
    EXPECT_EQ(got.size(), 1U);
    EXPECT_EQ(got.at(4096), claim_status::not_claimed);
    for (int i = 0; i < 16; ++i) {
        writer.pump(start + 320ms * i + 1s);
    }
    EXPECT_EQ(got.size(), 4097U);
    EXPECT_EQ(got.at(0), claim_status::not_claimed);
    EXPECT_FALSE(writer.next_due());
}

// Guards against claims that are lost or answered twice when several threads
// call submit() while another calls pump().
TEST_F(claim_writer_test, answers_each_claim_of_several_threads_once)
{
    constexpr std::uint64_t each = 300;
    std::array<std::atomic<int>, 3 * each> answers{};
    std::vector<std::thread> threads;
    for (std::uint64_t t = 0; t < 3; ++t) {
        threads.emplace_back([&, t] {
            for (auto n = t * each; n < (t + 1) * each; ++n) {
                writer.submit(
                    {state::digest_of({std::to_string(n)}), {1, n}, {2, n}, 9},
                    start, [&, n](const auto&) { ++answers[n]; });
                (void)writer.winner({});
            }
        });
    }
    auto now = start;
    for (int i = 0; i < 20; ++i) {
        writer.pump(now += 320ms);
    }
    for (auto& it : threads) {
        it.join();
    }
    for (int i = 0; i < 20; ++i) {
        writer.pump(now += 320ms);
    }
    for (const auto& it : answers) {
        EXPECT_EQ(it, 1);
    }
}

// Guards against the loss of active claims when the log is trimmed although a
// writer is running.
TEST_F(claim_writer_test, checkpoint_carries_claims_past_a_trim)
{
    submit(1, "a");
    writer.pump(start + 20ms);
    writer.maintain(start + 30ms);
    log.trim_to(1);
    writer_type late_reader(log, fakes::batch_index_codec(batches), 0);
    late_reader.pump(start + 40ms);
    EXPECT_TRUE(late_reader.complete());
    EXPECT_TRUE(late_reader.winner(state::digest_of({"a"})));
    log.trim_to(log.end());
    writer_type incomplete(log, fakes::batch_index_codec(batches), 0);
    incomplete.pump(start + 40ms);
    EXPECT_FALSE(incomplete.complete());
}

} // namespace
