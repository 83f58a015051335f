// Guards against requests that run twice, lost results and unbounded memory.

#include <oriolegrade/coordination/incarnation_set.hpp>

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace {

using namespace oriolegrade;
using namespace oriolegrade::coordination;
using state::run_outcome;

const state::identifier fingerprint{9, 9};

state::request_id token_id(std::uint64_t n)
{
    return {state::request_id_kind::token, {0, n}};
}

state::answer_ptr answer_of(std::size_t size)
{
    return std::make_shared<const state::stored_answer>(
        state::stored_answer{200, {}, std::string(size, 'x')});
}

start_result start(used_table& used, std::uint64_t n, std::uint64_t expires = 9,
                   std::uint64_t now = 0)
{
    return used.try_start(token_id(n), fingerprint, expires, now, {});
}

state::reply_reason reason_of(const start_result& it)
{
    return std::get<start_refused>(it).reason;
}

// Guards against two threads that both run the same token, and against waiters
// that never receive the result.
TEST(used_table, one_of_several_threads_runs_each_token)
{
    used_table used;
    constexpr int tokens = 2000;
    std::vector<std::atomic<int>> runs(tokens);
    std::atomic<int> results = 0;
    const auto work = [&] {
        for (int i = 0; i < tokens; ++i) {
            const auto got = used.try_start(
                token_id(i), fingerprint, 9, 0,
                [&](const auto& it) { results += it.answer ? 1 : 0; });
            if (std::holds_alternative<run_granted>(got)) {
                ++runs[i];
                used.finish(token_id(i), {run_outcome::ran, answer_of(1)});
                ++results;
            } else if (const auto* old = std::get_if<replay>(&got)) {
                results += old->result.answer ? 1 : 0;
            }
        }
    };
    std::vector<std::thread> threads;
    for (int i = 0; i < 4; ++i) {
        threads.emplace_back(work);
    }
    for (auto& it : threads) {
        it.join();
    }
    for (const auto& it : runs) {
        EXPECT_EQ(it, 1);
    }
    EXPECT_EQ(results, 4 * tokens);
}

// Guards against a second run by an attempt that checked the token's expiry
// before the entry was purged.
TEST(used_table, purged_token_does_not_start_again)
{
    used_table used;
    ASSERT_TRUE(std::holds_alternative<run_granted>(start(used, 1, 10)));
    used.finish(token_id(1), {run_outcome::ran, answer_of(1)});
    used.purge(10);
    EXPECT_EQ(used.size(), 0U);
    const auto late = start(used, 1, 10, 8);
    EXPECT_EQ(reason_of(late), state::reply_reason::token_expired);
    EXPECT_EQ(std::get<start_refused>(late).outcome, run_outcome::unknown);
}

// Guards against purging an entry whose run is still in progress.
TEST(used_table, running_entry_survives_its_expiry)
{
    used_table used;
    start(used, 1, 10);
    used.purge(1000);
    EXPECT_TRUE(std::holds_alternative<wait_for_result>(start(used, 1, 10)));
}

// Guards against growth beyond the limits, and against an eviction that loses
// the record that a request ran.
TEST(used_table, bounds_entries_and_answers)
{
    used_table used({640, 6400, 100, 2});
    std::uint64_t refused = 0;
    for (std::uint64_t n = 0; n < 2000; ++n) {
        const auto got = start(used, n);
        if (std::holds_alternative<run_granted>(got)) {
            used.finish(token_id(n), {run_outcome::ran, answer_of(60)});
        } else {
            EXPECT_EQ(reason_of(got), state::reply_reason::table_full);
            ++refused;
        }
    }
    EXPECT_GT(refused, 0U);
    EXPECT_LE(used.size(), 640U);
    EXPECT_LE(used.answer_bytes(), 6400U);
    for (std::uint64_t n = 0; n < 2000; ++n) {
        const auto got = start(used, n);
        if (const auto* old = std::get_if<replay>(&got)) {
            EXPECT_EQ(old->result.outcome, run_outcome::ran);
        }
    }
}

// Guards against running a different request with a used token, and against
// running an abandoned request later.
TEST(used_table, conflict_and_abandon_end_as_not_run)
{
    used_table used;
    start(used, 1);
    const auto other = used.try_start(token_id(1), {1, 1}, 9, 0, {});
    EXPECT_EQ(reason_of(other), state::reply_reason::binding_conflict);
    EXPECT_EQ(std::get<start_refused>(other).outcome, run_outcome::not_run);
    used.abandon(token_id(1));
    EXPECT_EQ(std::get<replay>(start(used, 1)).result.outcome,
              run_outcome::not_run);
}

// Guards against running a claim whose reservation was cancelled, dropped or
// has expired.
TEST(used_table, claim_runs_only_while_reserved)
{
    used_table used;
    const state::request_id id{state::request_id_kind::claim, {4, 4}};
    const auto begin = [&] {
        return used.try_start(id, fingerprint, 99, 0, {});
    };
    EXPECT_EQ(reason_of(begin()), state::reply_reason::incarnation_gone);
    ASSERT_TRUE(used.reserve(id, fingerprint, 99, 0));
    used.drop_reservation(id);
    EXPECT_EQ(reason_of(begin()), state::reply_reason::incarnation_gone);
    ASSERT_TRUE(used.reserve(id, fingerprint, 99, 0));
    EXPECT_FALSE(std::holds_alternative<run_granted>(
        used.try_start(id, fingerprint, 0, 99, {})));
    ASSERT_TRUE(used.reserve(id, fingerprint, 99, 0));
    EXPECT_TRUE(used.cancel_reservation(id));
    EXPECT_EQ(std::get<replay>(begin()).result.outcome, run_outcome::not_run);
}

// Guards against runs on both sides of a hand-over, against a second successor,
// and against a repeated import that discards the record of later runs.
TEST(incarnation_set, hand_over_moves_the_right_once)
{
    const state::time_point now{std::chrono::hours(1)};
    incarnation_set from(generate_identity(), now, std::chrono::hours(1));
    incarnation_set to(generate_identity(), now, std::chrono::hours(1));
    auto& old = from.own()->used;
    start(old, 1);
    start(old, 2);
    old.finish(token_id(2), {run_outcome::ran, answer_of(3)});
    const auto moved = from.export_all(to.own()->authority.incarnation(), now);
    ASSERT_EQ(moved.size(), 1U);
    EXPECT_TRUE(from.export_all({5, 5}, now).empty());
    EXPECT_EQ(reason_of(start(old, 3)), state::reply_reason::handed_over);
    ASSERT_EQ(to.import(moved[0], now), import_result::imported);
    auto& used = to.find(from.own()->authority.incarnation())->used;
    EXPECT_EQ(std::get<replay>(start(used, 1)).result.outcome,
              run_outcome::unknown);
    EXPECT_EQ(std::get<replay>(start(used, 2)).result.answer->body, "xxx");
    EXPECT_TRUE(std::holds_alternative<run_granted>(start(used, 3)));
    EXPECT_EQ(to.import(moved[0], now), import_result::repeated);
    EXPECT_TRUE(std::holds_alternative<wait_for_result>(start(used, 3)));
    incarnation_set third(generate_identity(), now, std::chrono::hours(1));
    EXPECT_EQ(third.import(moved[0], now), import_result::not_for_us);
}

} // namespace
