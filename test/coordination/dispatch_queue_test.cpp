// Guards the rules of the dispatcher's queue; each test applies the load
// pattern that its rule handles.

#include "fakes/queue_fixture.hpp"

#include <oriolegrade/coordination/dispatch_queue.hpp>

#include <gtest/gtest.h>

#include <ctime>
#include <map>

namespace {

using namespace oriolegrade;
using namespace std::chrono_literals;
using coordination::dispatch_queue;
using state::send_kind;
using state::send_result;
using test::slots;
using test::start;

class dispatch_queue_rules : public test::queue_fixture
{};

// Guards against requests that wait at one upstream while another has a free
// slot. No upstream gets more requests than it has slots; further ones wait in
// the queue.
TEST_F(dispatch_queue_rules, no_upstream_gets_more_than_its_slots)
{
    set_upstreams(3);
    std::map<std::string, int> counts;
    for (int n = 0; n < 6; ++n) {
        ++counts[ask(request())];
    }
    for (const auto& it : list) {
        EXPECT_EQ(counts[it.id], static_cast<int>(slots)) << it.id;
    }
    EXPECT_EQ(ask(request()), "");
    EXPECT_EQ(queue.waiting(), 1U);
    end(1);
    EXPECT_EQ(queue.poll(now).size(), 1U);
}

// Guards against requests that are refused because an upstream could not be
// reached: 170 of 3,600 bookings on a day with partitions found no budget for
// another place. What did not arrive is no extra send.
TEST_F(dispatch_queue_rules, an_unreached_upstream_costs_no_extra_send)
{
    queue = dispatch_queue({{0.0, 0, 10s}, 50});
    set_upstreams(2);
    auto again = request();
    again.placed_before = true;
    again.tried = {ask(request())};
    EXPECT_NE(ask(again), "");
    auto repeat = request(send_kind::repeat);
    EXPECT_EQ(ask(repeat), "");
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->reason, state::place_refusal_reason::budget);
    EXPECT_EQ(queue.summary(now).requests, 1U);
}

// Guards against overloading upstreams after a change of dispatcher: requests
// that were placed by others occupy slots too.
TEST_F(dispatch_queue_rules, load_placed_by_others_counts)
{
    set_upstreams(2);
    queue.adopt(list[0].id, slots, now);
    EXPECT_EQ(ask(request()), list[1].id);
    EXPECT_EQ(ask(request()), list[1].id);
    EXPECT_EQ(ask(request()), "");
}

// Guards against a slot that stays free while requests wait: an upstream
// reports its load with an answer and counts the request that it answers. On
// the users' bench 2,734 of 3,800 reports were one above the dispatcher's
// count, and three of four slots were in use.
TEST_F(dispatch_queue_rules, an_answered_request_counts_as_running)
{
    set_upstreams(1);
    ask(request());
    ask(request());
    EXPECT_EQ(ask(request()), "");
    queue.report(1, {send_result::answered, 100ms, {{slots, 0, slots}}}, now);
    EXPECT_EQ(queue.place_waiting(now).size(), 1U);
}

// A report that exceeds the dispatcher's count by more than the request that it
// answers shows requests of others, and so does any that comes with a refusal.
TEST_F(dispatch_queue_rules, reported_load_of_others_takes_slots)
{
    set_upstreams(1);
    ask(request());
    queue.report(1, {send_result::answered, 100ms, {{slots + 1, 0, slots}}},
                 now);
    EXPECT_EQ(ask(request()), "");
    now += coordination::external_load_time;
    ASSERT_EQ(queue.poll(now).size(), 1U);
    queue.report(last, {send_result::refused, 1ms, {{slots, 0, slots}}}, now);
    EXPECT_EQ(ask(request()), "");
}

// Guards against avoidable traffic between data centres, which is charged by
// the byte: upstreams in the request's own one are used first.
TEST_F(dispatch_queue_rules, own_data_centre_comes_first)
{
    set_upstreams(1, "dc2");
    set_upstreams(1, "dc1");
    // The first request to each upstream is due whatever its cost.
    for (std::size_t n = 0; n < list.size(); ++n) {
        ask(request());
        end(last);
    }
    EXPECT_EQ(ask(request()), list[1].id);
    auto upload = request();
    upload.upload = true;
    EXPECT_EQ(ask(upload), list[1].id);
    EXPECT_EQ(ask(request()), list[0].id);
}

// Guards against urgent requests that wait behind others: in a burst above
// capacity the most urgent rank is placed first, not the oldest request.
TEST_F(dispatch_queue_rules, the_most_urgent_runs_first)
{
    set_upstreams(1);
    ask(request());
    ask(request());
    auto patient = request();
    patient.rank = 2;
    ask(patient);
    auto urgent = request();
    urgent.rank = 1;
    ask(urgent);
    end(1);
    const auto answers = queue.poll(now);
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].number, 4U);
}

// Guards against late requests that delay others in a burst above capacity:
// requests that can still meet their target are placed first.
TEST_F(dispatch_queue_rules, in_time_requests_run_before_late_ones)
{
    set_upstreams(1);
    ask(request());
    ask(request());
    auto late = request();
    late.target_left = 0ms;
    ask(late);
    ask(request());
    end(1);
    const auto answers = queue.poll(now);
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].number, 4U);
}

// Guards against requests that wait in vain: in a burst above capacity, a
// request that cannot be answered before its deadline is refused immediately,
// with a time to retry.
TEST_F(dispatch_queue_rules,
       requests_that_miss_their_deadline_are_refused_at_once)
{
    set_upstreams(1);
    ask(request());
    ask(request());
    auto hurried = request();
    hurried.time_left = 200ms;
    EXPECT_EQ(ask(hurried), "");
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->reason, state::place_refusal_reason::overloaded);
    EXPECT_GT(refusal->retry_after, 0ms);
    EXPECT_EQ(queue.waiting(), 0U);
}

// Guards against refused callers that all retry at the same moment.
TEST_F(dispatch_queue_rules, callers_refused_together_retry_apart)
{
    set_upstreams(1);
    ask(request());
    ask(request());
    std::map<state::duration, int> times;
    for (int n = 0; n < 16; ++n) {
        auto hurried = request();
        hurried.time_left = 200ms;
        ask(hurried);
        ++times[refusal->retry_after];
    }
    EXPECT_EQ(times.size(), 16U);
}

// Guards against waiting requests that time out without a refusal.
TEST_F(dispatch_queue_rules, a_waiting_request_is_refused_before_its_deadline)
{
    set_upstreams(1);
    ask(request());
    ask(request());
    ask(request());
    now += 3900ms;
    const auto answers = queue.poll(now);
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_TRUE(
        std::holds_alternative<state::place_refusal>(answers[0].decision));
}

// Guards against each host having to learn of a gray failure on its own: one
// failure reported by one host protects the requests of all.
TEST_F(dispatch_queue_rules, one_failure_protects_all_hosts)
{
    set_upstreams(3);
    fail(list[0].id);
    auto other = request();
    other.host = "h2";
    for (int n = 0; n < 4; ++n) {
        EXPECT_NE(ask(other), list[0].id);
    }
}

// Guards against trials at the expense of non-idempotent requests: a repeatable
// request tries a failed upstream soon, because a repeat hides its failure.
TEST_F(dispatch_queue_rules, repeatable_requests_try_a_failed_upstream_first)
{
    set_upstreams(2);
    fail(list[0].id);
    now += 290ms;
    EXPECT_EQ(ask(request()), list[1].id);
    now += 20ms;
    auto read = request();
    read.repeatable = true;
    EXPECT_EQ(ask(read), list[0].id);
}

// Guards against ending a trial too soon: an upstream in a gray failure answers
// some requests, so one success proves too little.
TEST_F(dispatch_queue_rules, two_successes_end_a_trial)
{
    set_upstreams(3);
    fail(list[0].id);
    auto read = request();
    read.repeatable = true;
    read.tried = {list[1].id, list[2].id};
    for (int n = 0; n < 2; ++n) {
        now += 400ms;
        ASSERT_EQ(ask(read), list[0].id);
        EXPECT_NE(queue.find(list[0].id)->standing(now),
                  coordination::upstream_standing::in_service);
        end(last);
    }
    EXPECT_EQ(queue.find(list[0].id)->standing(now),
              coordination::upstream_standing::in_service);
}

// Guards against trials that take as long as a response: errors come
// immediately, so a trial that lasts longer is confirmed and frees the next
// one. Two of them return the upstream to service before either has been
// answered.
TEST_F(dispatch_queue_rules, a_trial_that_outlasts_faults_is_confirmed)
{
    set_upstreams(3);
    for (int n = 0; n < 5; ++n) {
        fail(list[0].id);
        now += 100ms;
    }
    now += 10s;
    auto read = request();
    read.repeatable = true;
    read.tried = {list[1].id, list[2].id};
    ASSERT_EQ(ask(read), list[0].id);
    EXPECT_EQ(ask(read), "");
    now += 30ms;
    const auto answers = queue.poll(now);
    ASSERT_EQ(answers.size(), 1U);
    now += 30ms;
    queue.poll(now);
    EXPECT_EQ(queue.find(list[0].id)->standing(now),
              coordination::upstream_standing::in_service);
}

// Guards against trials with non-idempotent requests while other upstreams are
// idle. With uploads to eight upstreams, of which one in three failed at a
// time, 15 of 27 failures were such trials.
TEST_F(dispatch_queue_rules, a_suspected_upstream_is_not_tried_without_need)
{
    set_upstreams(4);
    fail(list[0].id);
    for (int n = 0; n < 50; ++n) {
        now += 200ms;
        EXPECT_NE(ask(request()), list[0].id);
        end(last);
    }
    // All others are full.
    for (int n = 0; n < 3 * static_cast<int>(slots); ++n) {
        ask(request());
    }
    EXPECT_EQ(ask(request()), list[0].id);
}

// Guards against failed upstreams that stay out of service for lack of trials:
// with few in service, non-idempotent requests try them too.
TEST_F(dispatch_queue_rules, suspected_upstreams_are_tried_when_few_are_left)
{
    set_upstreams(4);
    for (int n = 0; n < 3; ++n) {
        fail(list[static_cast<std::size_t>(n)].id);
    }
    now += coordination::first_hold + coordination::canary_wait_time;
    // Of equal upstreams the least recently used one comes first.
    EXPECT_EQ(ask(request()), list[3].id);
    EXPECT_NE(ask(request()), list[3].id);
}

// Guards against repeated trials during a gray failure, which lasts longer than
// the first hold.
TEST_F(dispatch_queue_rules, a_second_failure_extends_the_hold)
{
    set_upstreams(3);
    fail(list[0].id);
    now += 500ms;
    auto read = request();
    read.repeatable = true;
    read.tried = {list[1].id, list[2].id};
    ASSERT_EQ(ask(read), list[0].id);
    end(last, send_result::server_error, 1ms);
    now += 3s;
    EXPECT_FALSE(queue.find(list[0].id)->quick_trial_due(now));
    now = start + coordination::repeated_failure_quick_hold;
    EXPECT_EQ(ask(read), list[0].id);
}

// Guards against counting one fault several times: the failure of a request
// that was sent before the hold began is not a new one.
TEST_F(dispatch_queue_rules, requests_sent_together_fail_once)
{
    set_upstreams(1);
    ask(request());
    ask(request());
    now += 1ms;
    end(1, send_result::server_error, 1ms);
    now += 10ms;
    end(2, send_result::server_error, 1ms);
    now += coordination::first_hold;
    EXPECT_TRUE(queue.find(list[0].id)->quick_trial_due(now));
}

// Guards against holding all upstreams when most of a service fails at once.
TEST_F(dispatch_queue_rules, not_all_upstreams_are_held)
{
    set_upstreams(5);
    for (const auto& it : list) {
        fail(it.id);
        now += 1ms;
    }
    int held = 0;
    for (const auto& it : list) {
        held += queue.find(it.id)->standing(now) ==
                        coordination::upstream_standing::held
                    ? 1
                    : 0;
    }
    EXPECT_LE(held, 4);
    EXPECT_NE(ask(request()), "");
}

// Guards against an upstream that hangs and returns no result: the age of its
// requests in flight counts as a failure.
TEST_F(dispatch_queue_rules, a_stalled_request_counts_as_a_failure)
{
    set_upstreams(2);
    for (int n = 0; n < 20; ++n) {
        ask(request());
        end(last, send_result::answered, 100ms);
    }
    const auto hanging = ask(request());
    now += 900ms;
    queue.poll(now);
    EXPECT_EQ(queue.find(hanging)->standing(now),
              coordination::upstream_standing::held);
}

// Guards against ordinary requests that look stalled because requests with
// little work share their route. This held a third of the upstreams of the
// catalogue service at any time.
TEST_F(dispatch_queue_rules, short_answers_do_not_make_usual_ones_look_stalled)
{
    set_upstreams(2);
    for (int n = 0; n < 40; ++n) {
        ask(request());
        end(last, send_result::answered, n % 4 == 0 ? 300ms : 5ms);
    }
    const auto usual = ask(request());
    now += 600ms;
    queue.poll(now);
    EXPECT_EQ(queue.find(usual)->standing(now),
              coordination::upstream_standing::in_service);
}

// Guards against mass holds at a new dispatcher: the first responses are the
// shortest, and compared with these alone, requests of usual length look
// stalled. This held 62 of 78 upstreams in the first 0.25 s.
TEST_F(dispatch_queue_rules, first_answers_do_not_make_others_look_stalled)
{
    set_upstreams(10);
    for (int n = 0; n < 20; ++n) {
        ASSERT_NE(ask(request()), "");
    }
    now += 20ms;
    for (int n = 1; n <= 6; ++n) {
        end(n, send_result::answered, 20ms);
    }
    now += 380ms;
    queue.poll(now);
    for (const auto& it : list) {
        EXPECT_EQ(queue.find(it.id)->standing(now),
                  coordination::upstream_standing::in_service)
            << it.id;
    }
}

// Guards against failures that are the route's own: a route may allow less time
// than its work takes, and its timeouts prove nothing about the upstream.
TEST_F(dispatch_queue_rules, a_short_time_limit_is_no_failure_of_the_upstream)
{
    set_upstreams(3);
    const auto direct = [this] {
        auto out = request();
        out.tried = {list[1].id, list[2].id};
        return out;
    };
    for (int n = 0; n < 20; ++n) {
        ask(direct());
        end(last, send_result::answered, 300ms);
    }
    auto short_route = direct();
    short_route.route = "short";
    ask(short_route);
    end(last, send_result::expired, 400ms);
    EXPECT_EQ(queue.find(list[0].id)->standing(now),
              coordination::upstream_standing::in_service);
    ask(direct());
    end(last, send_result::expired, 2s);
    EXPECT_EQ(queue.find(list[0].id)->standing(now),
              coordination::upstream_standing::held);
}

// Guards against slow detection of an upstream that hangs: one that responds to
// no request at all is suspected sooner than one that is slow with a single
// request.
TEST_F(dispatch_queue_rules, a_silent_upstream_is_suspected_sooner)
{
    set_upstreams(3);
    const auto direct = [this] {
        auto out = request();
        out.tried = {list[1].id, list[2].id};
        return out;
    };
    for (int n = 0; n < 20; ++n) {
        ask(direct());
        end(last, send_result::answered, 100ms);
    }
    now += 10ms;
    ask(direct());
    ask(direct());
    now += 100ms;
    end(last);
    now += 200ms;
    queue.poll(now);
    EXPECT_EQ(queue.find(list[0].id)->standing(now),
              coordination::upstream_standing::in_service);
    ask(direct());
    now += 260ms;
    queue.poll(now);
    EXPECT_EQ(queue.find(list[0].id)->standing(now),
              coordination::upstream_standing::held);
}

// Guards against one host's connect failure that removes an upstream for all: a
// partition between a host and an upstream affects only that host.
TEST_F(dispatch_queue_rules, one_host_cut_off_takes_nothing_from_others)
{
    set_upstreams(1);
    ask(request());
    end(1, send_result::unreachable, 500ms);
    EXPECT_EQ(ask(request()), "");
    EXPECT_EQ(refusal->reason, state::place_refusal_reason::no_upstream);
    auto other = request();
    other.host = "h2";
    EXPECT_EQ(ask(other), list[0].id);
}

// Guards against each host having to find an unreachable upstream on its own:
// three hosts that fail to connect hold it for all.
TEST_F(dispatch_queue_rules, several_hosts_cut_off_count_for_all)
{
    set_upstreams(3);
    for (const auto* host : {"h1", "h2", "h3"}) {
        auto what = request();
        what.host = host;
        what.tried = {list[1].id, list[2].id};
        ASSERT_EQ(ask(what), list[0].id);
        end(last, send_result::unreachable, 500ms);
    }
    auto other = request();
    other.host = "h4";
    for (int n = 0; n < 4; ++n) {
        EXPECT_NE(ask(other), list[0].id);
    }
}

// Guards against holding an upstream that some hosts cannot reach while it
// answers all others. With a quarter of 185 hosts cut off, 44 of 106 upstreams
// were held and 480 requests were waiting.
TEST_F(dispatch_queue_rules, an_upstream_that_answers_others_stays_in_service)
{
    set_upstreams(3);
    const auto direct = [this](const std::string& host) {
        auto what = request();
        what.host = host;
        what.tried = {list[1].id, list[2].id};
        return what;
    };
    for (const auto* host : {"h1", "h2", "h3", "h4"}) {
        ASSERT_EQ(ask(direct(host)), list[0].id);
        const auto cut = last;
        now += 50ms;
        ASSERT_EQ(ask(direct("well")), list[0].id);
        now += 100ms;
        end(last);
        queue.report(cut, {send_result::unreachable, 150ms, {}}, now);
    }
    EXPECT_EQ(queue.find(list[0].id)->standing(now),
              coordination::upstream_standing::in_service);
}

// Guards against idle upstreams during many failures. While more than a tenth
// of the requests in 2 s fail, at least seven tenths of the upstreams, held
// ones included, get a request in that time. In one case 5 of 7 sound upstreams
// got none while a tenth of the requests failed.
TEST_F(dispatch_queue_rules, few_upstreams_are_idle_while_many_requests_fail)
{
    constexpr std::size_t count = 10;
    constexpr int window = 200;
    set_upstreams(count);
    std::map<std::string, int> last_use;
    std::vector<bool> failed;
    int checked_windows = 0;
    for (int n = 0; n < 2000; ++n) {
        now += 10ms;
        const auto id = ask(request());
        // Four upstreams fail all requests, and every eighth request times out,
        // which proves nothing about its upstream.
        const bool faulty = id < "dc1-4";
        const bool late = n % 8 == 0;
        failed.push_back(faulty || late);
        if (!id.empty()) {
            last_use[id] = n;
            end(last,
                late     ? send_result::expired
                : faulty ? send_result::server_error
                         : send_result::answered,
                late || faulty ? 1ms : 100ms);
        }
        if (n < window) {
            continue;
        }
        const auto failures =
            std::count(failed.end() - window, failed.end(), true);
        if (failures <= window / 10) {
            continue;
        }
        ++checked_windows;
        std::size_t in_use = 0;
        for (const auto& it : last_use) {
            in_use += n - it.second < window ? 1 : 0;
        }
        EXPECT_GE(in_use * 10, count * 7) << "at " << n;
    }
    EXPECT_GT(checked_windows, 0);
}

// Guards against uncounted failures of reads: a read that fails and gets no
// second place is unserved. In one case 80 of 723 reads were lost in this way.
TEST_F(dispatch_queue_rules, failed_reads_without_a_repeat_count_for_the_floor)
{
    queue = dispatch_queue({{0.0, 0, 10s}, 50});
    set_upstreams(10);
    for (int n = 0; n < 300; ++n) {
        now += 20ms;
        auto read = request();
        read.repeatable = true;
        const auto id = ask(read);
        const bool faulty = id < "dc1-4";
        end(last, faulty ? send_result::server_error : send_result::answered,
            faulty ? 1ms : 100ms);
        if (faulty || n % 8 == 0) {
            // The budget of extra sends allows no repeat.
            read.kind = send_kind::repeat;
            read.tried = {id};
            EXPECT_EQ(ask(read), "");
        }
    }
    std::size_t idle = 0;
    for (const auto& it : list) {
        idle += now - queue.find(it.id)->last_begin() > 2s ? 1 : 0;
    }
    EXPECT_LE(idle, 3U);
}

// Guards against a queue whose cost grows with waiting requests times
// upstreams: with 300 requests and 100 upstreams, a dispatcher that checked
// each pair after every response used up its share of a core and was considered
// failed. The limit is the design target: 2.8% of a core for a service's 114
// requests/s.
TEST_F(dispatch_queue_rules, a_long_line_costs_little)
{
    constexpr int upstreams = 100;
    constexpr int in_line = 300;
    constexpr int requests = 114;
    constexpr double limit_s = 0.028;
    set_upstreams(upstreams);
    for (int n = 0; n < upstreams * static_cast<int>(slots) + in_line; ++n) {
        ask(request());
    }
    ASSERT_EQ(queue.waiting(), static_cast<std::size_t>(in_line));
    const auto began = std::clock();
    std::size_t placed = 0;
    for (int n = 1; n <= requests; ++n) {
        now += 8ms;
        end(n);
        placed += queue.place_waiting(now).size();
        ask(request());
    }
    const auto used =
        static_cast<double>(std::clock() - began) / CLOCKS_PER_SEC;
    EXPECT_EQ(placed, static_cast<std::size_t>(requests));
    EXPECT_LT(used, limit_s);
}

// Guards against requests to an upstream that is draining.
TEST_F(dispatch_queue_rules, a_draining_upstream_gets_nothing)
{
    set_upstreams(1);
    list[0].state = state::registration_state::draining;
    queue.set_upstreams(list, now);
    EXPECT_EQ(ask(request()), "");
    EXPECT_EQ(refusal->reason, state::place_refusal_reason::no_upstream);
}

// Guards against holding a restarted upstream for failures of its previous
// incarnation.
TEST_F(dispatch_queue_rules, a_new_incarnation_has_no_past)
{
    set_upstreams(1);
    fail(list[0].id);
    list[0].born = 2;
    queue.set_upstreams(list, now);
    EXPECT_EQ(queue.find(list[0].id)->standing(now),
              coordination::upstream_standing::in_service);
}

// Guards against unlimited extra sends to a service, and against hedges that
// take the budget meant for repeats.
TEST_F(dispatch_queue_rules, extra_sends_take_from_the_budget)
{
    queue = dispatch_queue({{0.0, 10, 10s}, 50});
    queue.set_budget_share(1.0);
    set_upstreams(40);
    int hedges = 0;
    while (!ask(request(send_kind::hedge)).empty()) {
        ++hedges;
    }
    int repeats = 0;
    while (!ask(request(send_kind::repeat)).empty()) {
        ++repeats;
    }
    EXPECT_EQ(refusal->reason, state::place_refusal_reason::budget);
    EXPECT_EQ(hedges, 5);
    EXPECT_EQ(hedges + repeats, 10);
}

// Guards against a repeat at an upstream that already got the request.
TEST_F(dispatch_queue_rules, a_request_goes_to_no_upstream_twice)
{
    set_upstreams(2);
    auto again = request(send_kind::repeat);
    again.tried = {list[0].id};
    EXPECT_EQ(ask(again), list[1].id);
    again.tried = {list[0].id, list[1].id};
    EXPECT_EQ(ask(again), "");
}

// Guards against placing a waiting request whose caller has left.
TEST_F(dispatch_queue_rules, a_cancelled_request_leaves_the_queue)
{
    set_upstreams(1);
    ask(request());
    ask(request());
    ask(request());
    end(3, send_result::cancelled);
    EXPECT_EQ(queue.waiting(), 0U);
    end(1);
    EXPECT_TRUE(queue.poll(now).empty());
}

} // namespace
