// Guards against resending a request that may have run and must not run twice.

#include <oriolegrade/coordination/attempt_policy.hpp>

#include <gtest/gtest.h>

namespace {

using namespace oriolegrade;
using coordination::attempt_context;
using coordination::next_step;
using state::attempt_result;
using state::request_class;

attempt_context context_of(attempt_result result, request_class request)
{
    attempt_context context;
    context.result = result;
    context.request = request;
    context.max_attempts = request == request_class::non_idempotent ? 1 : 2;
    return context;
}

// Guards against a second run of a non-idempotent request whose first attempt
// may have run.
TEST(attempt_policy, non_idempotent_request_is_never_repeated_after_bytes)
{
    for (const auto result : {attempt_result::lost, attempt_result::expired}) {
        const auto d = coordination::decide_next(
            context_of(result, request_class::non_idempotent));
        EXPECT_EQ(d.step, next_step::reply);
        EXPECT_EQ(state::reply_of(d.reason).outcome,
                  state::run_outcome::unknown);
    }
}

// Guards against a non-idempotent request that fails although another upstream
// has capacity.
TEST(attempt_policy, refused_unrun_request_goes_elsewhere)
{
    for (const auto result : {attempt_result::shed, attempt_result::not_sent}) {
        auto context = context_of(result, request_class::non_idempotent);
        EXPECT_EQ(coordination::decide_next(context).step, next_step::retry);
        context.upstream_left = false;
        const auto d = coordination::decide_next(context);
        EXPECT_EQ(d.step, next_step::reply);
        EXPECT_EQ(state::reply_of(d.reason).outcome,
                  state::run_outcome::not_run);
    }
}

// Guards against a second answer after part of the first one was sent, and
// against unbounded retries.
TEST(attempt_policy, started_answers_and_spent_attempts_end_the_request)
{
    auto context = context_of(attempt_result::lost, request_class::idempotent);
    EXPECT_EQ(coordination::decide_next(context).step, next_step::retry);
    context.answer_started = true;
    EXPECT_EQ(coordination::decide_next(context).step, next_step::abort);
    context.answer_started = false;
    context.attempts_made = 2;
    EXPECT_EQ(coordination::decide_next(context).step, next_step::reply);
}

// Guards against reporting not-run when an earlier attempt may have run.
TEST(attempt_policy, refusal_after_a_lost_attempt_is_unknown)
{
    using coordination::outcome_after;
    EXPECT_EQ(outcome_after(state::reply_reason::shed, true),
              state::run_outcome::unknown);
    EXPECT_EQ(outcome_after(state::reply_reason::shed, false),
              state::run_outcome::not_run);
}

// Guards against attempts after the deadline.
TEST(attempt_policy, no_retry_after_the_deadline)
{
    const auto d = coordination::decide_next(
        context_of(attempt_result::expired_unsent, request_class::idempotent));
    EXPECT_EQ(d.step, next_step::reply);
    EXPECT_EQ(state::reply_of(d.reason).outcome, state::run_outcome::not_run);
}

} // namespace
