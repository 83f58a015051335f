// Guards against pickers that make requests wait too long for a slot. The
// model, 41 hosts in front of ten servers of four slots, runs in virtual time
// and is deterministic.

#include "../../bench/coordination/picking_model.hpp"

#include <gtest/gtest.h>

namespace {

using namespace oriolegrade;
using namespace oriolegrade::bench;
using coordination::random_picker;
using coordination::two_choices_picker;

model_options options_at(double load)
{
    model_options o;
    o.load = load;
    o.attempts = o.servers;
    o.requests = 100000;
    return o;
}

// Guards against missing the goal of design section 9: at 90% load at most 1.3
// times the mean wait of a perfect central queue.
TEST(picker_wait, is_near_a_central_queue_at_90_percent)
{
    auto o = options_at(0.9);
    o.server_queue = 1;
    EXPECT_LE(run_model<two_choices_picker>(o).mean_wait_ms,
              1.3 * run_central_queue(o).mean_wait_ms);
}

// Guards against a picker that gains nothing from correct reports.
TEST(picker_wait, true_reports_beat_a_random_pick)
{
    for (const double load : {0.7, 0.9}) {
        const auto o = options_at(load);
        EXPECT_LT(run_model<two_choices_picker>(o).mean_wait_ms,
                  run_model<random_picker>(o).mean_wait_ms);
    }
}

// Guards against hosts that overload the upstreams which late or false reports
// show as idle: such reports may at most double the wait of a random pick.
TEST(picker_wait, late_and_false_reports_do_little_harm)
{
    for (const double load : {0.7, 0.9}) {
        auto o = options_at(load);
        const auto blind = run_model<random_picker>(o).mean_wait_ms;
        for (const auto mode : {report_mode::lagging, report_mode::lying}) {
            o.reports = mode;
            EXPECT_LT(run_model<two_choices_picker>(o).mean_wait_ms, 2 * blind);
        }
    }
}

// Guards against a shed that is returned to the caller or retried on the same
// full server instead of being redirected.
TEST(picker_wait, sheds_sent_elsewhere_shorten_the_wait)
{
    auto o = options_at(0.9);
    const auto queued = run_model<two_choices_picker>(o).mean_wait_ms;
    o.server_queue = 1;
    EXPECT_LT(run_model<two_choices_picker>(o).mean_wait_ms, queued / 2);
}

} // namespace
