// Guards against sound upstreams that stay idle while a considerable share of a
// service's requests fails; see docs/incidents/floor.md.

#include "fakes/queue_fixture.hpp"

#include <oriolegrade/coordination/dispatch_queue.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>

namespace {

using namespace oriolegrade;
using namespace std::chrono_literals;
using state::send_result;
using test::start;

/// The users' capacity rule: in any two seconds with more than a tenth of the
/// requests unserved, at least seven tenths of the sound upstreams get a
/// request. An upstream that failed is sound again after two seconds.
constexpr state::duration window = 2s;
constexpr double floor_share = 0.7;

class dispatch_floor : public test::queue_fixture
{
protected:
    /// Result of a request at an upstream; empty when it is never reported.
    using outcome_function = std::function<std::optional<send_result>(
        const std::string& upstream, int number)>;

    /// Sends non-idempotent requests and checks the capacity rule for each
    /// window of two seconds.
    /// @param pause time between two requests
    void run_traffic(state::duration length, state::duration pause,
                     const outcome_function& how)
    {
        const auto end = now + length;
        for (; now < end; now += pause) {
            for (const auto& it : queue.poll(now)) {
                if (const auto* place =
                        std::get_if<state::place>(&it.decision)) {
                    send(it.number, place->upstream, how);
                }
            }
            send_request(how);
            check_window();
        }
    }

    /// Makes each of the first `n` upstreams fail twice, as in a fault of some
    /// seconds that ends now.
    void fail_twice(std::size_t n)
    {
        for (int round = 0; round < 2; ++round) {
            for (std::size_t i = 0; i < n; ++i) {
                auto direct = request();
                for (const auto& it : list) {
                    if (it.id != list[i].id) {
                        direct.tried.push_back(it.id);
                    }
                }
                // Near its deadline a request may be sent to any upstream.
                direct.time_left = 300ms;
                ASSERT_EQ(ask(direct), list[i].id);
                now += 1ms;
                end(last, send_result::server_error, 1ms);
                failed_at[list[i].id] = now;
            }
            now += 500ms;
        }
    }

    int checked_windows = 0;
    std::size_t most_idle = 0;
    /// Smallest share of the sound upstreams that got a request in a checked
    /// window.
    double least_in_use = 1.0;

private:
    struct finished_request
    {
        state::time_point at;
        bool served;
    };

    void send_request(const outcome_function& how)
    {
        const auto upstream = ask(request());
        if (upstream.empty()) {
            requests.push_back({now, false});
            return;
        }
        const auto result = send(last, upstream, how);
        requests.push_back({now, result == send_result::answered});
    }

    std::optional<send_result>
    send(coordination::dispatch_queue::request_id request_id,
         const std::string& upstream, const outcome_function& how)
    {
        last_sent_at[upstream] = now;
        const auto result = how(upstream, ++number);
        if (!result) {
            return result;
        }
        end(request_id, *result, 20ms);
        if (*result == send_result::server_error) {
            failed_at[upstream] = now;
        }
        return result;
    }

    void check_window()
    {
        while (requests.front().at <= now - window) {
            requests.pop_front();
        }
        const auto unserved = std::count_if(
            requests.begin(), requests.end(),
            [](const finished_request& it) { return !it.served; });
        const auto all = static_cast<std::ptrdiff_t>(requests.size());
        if (now - start < 2 * window || unserved * 10 <= all ||
            unserved * 2 >= all) {
            return;
        }
        std::size_t sound = 0;
        std::size_t in_use = 0;
        for (const auto& it : list) {
            // Only upstreams that were sound during the whole window count.
            if (failed_at.contains(it.id) &&
                now - failed_at[it.id] < window + coordination::sound_after) {
                continue;
            }
            ++sound;
            in_use += now - last_sent_at[it.id] < window ? 1 : 0;
        }
        if (sound > 0 && in_use > 0) {
            ++checked_windows;
            least_in_use =
                std::min(least_in_use, static_cast<double>(in_use) /
                                           static_cast<double>(sound));
        }
    }

    int number = 0;
    std::deque<finished_request> requests;
    std::map<std::string, state::time_point> last_sent_at;
    std::map<std::string, state::time_point> failed_at;
};

// Guards against uncounted failures when hosts are killed one after another:
// their requests end with them, and nobody reports that they were not served.
TEST_F(dispatch_floor, lost_hosts_leave_sound_upstreams_idle)
{
    set_upstreams(20);
    fail_twice(10);
    run_traffic(12s, 10ms, [](const std::string&, int n) {
        return n % 5 == 0 ? send_result::cancelled : send_result::answered;
    });
    EXPECT_GT(checked_windows, 0);
    EXPECT_GE(least_in_use, floor_share);
}

// Guards against counting only the reported requests of a lost host: until the
// load balancer notices, it loses many more callers than the requests it had in
// progress.
TEST_F(dispatch_floor, callers_of_a_lost_host_are_not_counted)
{
    set_upstreams(20);
    fail_twice(10);
    const auto healthy = [](const std::string&, int) {
        return send_result::answered;
    };
    run_traffic(3s, 10ms, healthy);
    // The lost host had three requests in progress; the service has 200 in two
    // seconds.
    for (int n = 0; n < 3; ++n) {
        ask(request());
        queue.report_host_lost(last, now);
    }
    run_traffic(1900ms, 10ms, healthy);
    std::size_t idle = 0;
    for (const auto& it : list) {
        idle += now - queue.find(it.id)->last_begin() >= window ? 1 : 0;
    }
    EXPECT_LE(static_cast<double>(idle),
              (1.0 - floor_share) * static_cast<double>(list.size()));
}

// Guards against a minimum count that exempts small services: two failures of
// twelve requests in two seconds exceed the limit of a tenth.
TEST_F(dispatch_floor, few_requests_leave_sound_upstreams_idle)
{
    set_upstreams(6);
    fail_twice(3);
    run_traffic(20s, 160ms, [](const std::string&, int n) {
        return n % 5 == 0 ? send_result::expired : send_result::answered;
    });
    EXPECT_GT(checked_windows, 0);
    EXPECT_GE(least_in_use, floor_share);
}

// Guards against too many idle upstreams before a fault: when all hosts are
// lost at once, the dispatcher is lost as well and nothing can react.
TEST_F(dispatch_floor, too_many_upstreams_are_idle_when_all_hosts_are_lost)
{
    set_upstreams(20);
    fail_twice(9);
    run_traffic(12s, 10ms, [this](const std::string&, int) {
        std::size_t idle = 0;
        for (const auto& it : list) {
            const auto& tracker = *queue.find(it.id);
            idle += now - tracker.idle_since() >= window ? 1 : 0;
        }
        most_idle = std::max(most_idle, now - start > 4s ? idle : 0);
        return send_result::answered;
    });
    EXPECT_LE(static_cast<double>(most_idle),
              (1.0 - floor_share) * static_cast<double>(list.size()));
}

// Guards against waiting for reports of frozen hosts: their requests are
// reported long after the caller's deadline, if at all.
TEST_F(dispatch_floor, silent_hosts_leave_sound_upstreams_idle)
{
    set_upstreams(40);
    fail_twice(20);
    run_traffic(6s, 20ms, [](const std::string&, int n) {
        return n % 6 == 0 ? std::nullopt : std::optional(send_result::answered);
    });
    EXPECT_GT(checked_windows, 0);
    EXPECT_GE(least_in_use, floor_share);
}

// Guards against slots that stay taken by hosts that stopped responding with
// requests in progress, until the hosts are back or their streams time out.
TEST_F(dispatch_floor, slots_of_silent_hosts_keep_sound_upstreams_idle)
{
    set_upstreams(14);
    const auto healthy = [](const std::string&, int) {
        return send_result::answered;
    };
    run_traffic(3s, 10ms, healthy);
    for (std::uint32_t n = 0; n < 13 * test::slots; ++n) {
        auto frozen = request();
        frozen.host = "frozen";
        ASSERT_NE(ask(frozen), "");
    }
    run_traffic(window + window / 2, 10ms, healthy);
    const auto idle = std::count_if(list.begin(), list.end(), [&](auto& it) {
        return now - queue.find(it.id)->last_begin() >= window;
    });
    EXPECT_LE(static_cast<double>(idle),
              (1.0 - floor_share) * static_cast<double>(list.size()));
}

// Guards against uncounted refusals: upstreams refuse requests unrun, and the
// entry gives up after its last attempt without another place request.
TEST_F(dispatch_floor, shed_requests_leave_sound_upstreams_idle)
{
    set_upstreams(20);
    fail_twice(9);
    run_traffic(12s, 40ms, [](const std::string&, int n) {
        return n % 7 == 0 ? send_result::refused : send_result::answered;
    });
    EXPECT_GT(checked_windows, 0);
    EXPECT_GE(least_in_use, floor_share);
}

// Guards against an idle limit that is a share of all upstreams: with most of a
// service under a fault, a tenth of all upstreams is most of the sound ones.
TEST_F(dispatch_floor, the_share_that_may_rest_is_most_of_a_few_sound_upstreams)
{
    set_upstreams(30);
    const std::set<std::string> sound{list[0].id, list[1].id, list[2].id,
                                      list[3].id};
    fail_twice(4);
    run_traffic(20s, 10ms, [&](const std::string& upstream, int n) {
        const bool faulty = !sound.contains(upstream) && n % 4 == 0;
        return faulty ? send_result::server_error : send_result::answered;
    });
    EXPECT_GT(checked_windows, 0);
    EXPECT_GE(least_in_use, floor_share);
}

// Guards against a trial that hangs: an upstream on trial gets one request at a
// time, and the next one must not wait for the deadline of the first.
TEST_F(dispatch_floor, a_hanging_trial_keeps_an_upstream_idle)
{
    set_upstreams(10);
    fail_twice(4);
    std::set<std::string> hung;
    run_traffic(
        12s, 10ms,
        [&](const std::string& upstream, int n) -> std::optional<send_result> {
            // The first request at each suspected upstream hangs.
            if (upstream < "dc1-4" && hung.insert(upstream).second) {
                return std::nullopt;
            }
            return n % 7 == 0 ? send_result::expired : send_result::answered;
        });
    EXPECT_GT(checked_windows, 0);
    EXPECT_GE(least_in_use, floor_share);
}

} // namespace
