// Guards against requests that were refused or failed and cannot be found in
// the log.

#include "fakes/captured_output.hpp"

#include <oriolegrade/transport/event_log.hpp>
#include <oriolegrade/transport/gateway/request_log.hpp>

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <thread>

namespace {

using namespace oriolegrade;
using namespace std::chrono_literals;

/// The lines of a second are bounded for the whole process.
void wait_for_a_new_second()
{
    using std::chrono::steady_clock;
    std::this_thread::sleep_until(
        std::chrono::ceil<std::chrono::seconds>(steady_clock::now()));
}

transport::request_line line_of(std::string_view id)
{
    transport::request_line out;
    out.request_id = id;
    out.began = std::chrono::steady_clock::now();
    return out;
}

// A busy host writes no line for most of the requests that it answers. The few
// that it refuses must not be among those left out.
TEST(request_log, answered_requests_leave_out_a_refused_one)
{
    wait_for_a_new_second();
    test::captured_output output;
    for (int n = 0; n < 1000; ++n) {
        line_of("answered").write(transport::request_end::answered, "answered");
    }
    line_of("lost").write(transport::request_end::failed, "connection_lost");
    line_of("unrun").write(transport::request_end::refused, "shed");
    const auto text = output.take();
    EXPECT_NE(text.find("id=lost"), std::string::npos);
    EXPECT_NE(text.find("id=unrun"), std::string::npos);
}

/// Writes what a busy host does before the line, and returns the log.
std::string log_behind_others(const transport::request_line& line,
                              transport::request_end end)
{
    wait_for_a_new_second();
    test::captured_output output;
    auto usual = line_of("usual");
    usual.sends = {"u1"};
    usual.results = {state::send_result::answered};
    const auto unsent = line_of("unsent");
    for (int n = 0; n < 200; ++n) {
        usual.write(transport::request_end::answered, "answered");
        unsent.write(transport::request_end::refused, "no_route");
    }
    line.write(end, "reason");
    return output.take();
}

// A refusal behind a send is a promise that rests on what the upstream said.
// Neither answered requests nor a storm that is refused may displace it.
TEST(request_log, a_refusal_behind_a_send_is_lost_among_usual_lines)
{
    auto line = line_of("refused");
    line.sends = {"u1"};
    line.results = {state::send_result::refused};
    EXPECT_NE(log_behind_others(line, transport::request_end::refused)
                  .find("id=refused"),
              std::string::npos);
}

TEST(request_log, a_second_send_is_lost_among_usual_lines)
{
    auto line = line_of("repeated");
    line.sends = {"u1", "u2"};
    line.results = {state::send_result::refused, state::send_result::answered};
    EXPECT_NE(log_behind_others(line, transport::request_end::answered)
                  .find("id=repeated"),
              std::string::npos);
}

// A request that outlives its answer looks like one that is answered late, and
// a hedge like a repeat.
TEST(request_log, the_course_of_a_request_is_lost)
{
    auto line = line_of("hedged");
    line.sends = {"u1", "u2"};
    line.kinds = {state::send_kind::first, state::send_kind::hedge};
    line.results = {state::send_result::lost, state::send_result::answered};
    line.answer_began = line.began + 30ms;
    const auto text = log_behind_others(line, transport::request_end::answered);
    EXPECT_NE(text.find("kinds=first,hedge"), std::string::npos);
    EXPECT_NE(text.find("answer_ms=30"), std::string::npos);
}

// Without a bound a burst of refusals would cost a burst of output.
TEST(request_log, a_burst_of_refusals_writes_without_bound)
{
    wait_for_a_new_second();
    test::captured_output output;
    for (int n = 0; n < 1000; ++n) {
        line_of("unrun").write(transport::request_end::refused, "shed");
    }
    const auto text = output.take();
    std::size_t lines = 0;
    for (auto n = text.find("id=unrun"); n != std::string::npos;
         n = text.find("id=unrun", n + 1)) {
        ++lines;
    }
    // The calls may fall into two seconds.
    EXPECT_LE(lines, 100U);
    EXPECT_GE(lines, 1U);
}

} // namespace
