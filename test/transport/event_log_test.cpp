// Guards against requests that wait for whoever reads the log.

#include "fakes/captured_output.hpp"

#include <oriolegrade/transport/event_log.hpp>

#include <gtest/gtest.h>

#include <chrono>
#include <string>

namespace {

using namespace oriolegrade;
using namespace std::chrono_literals;

// A pipe that nobody reads: lines are left out, none waits, and the next line
// that is taken tells how many are missing.
TEST(event_log, a_reader_that_stands_still_holds_up_nothing)
{
    test::captured_output output;
    const auto began = std::chrono::steady_clock::now();
    for (int n = 0; n < 5000; ++n) {
        transport::event(state::log_level::info, "line").with("n", n);
    }
    const auto took = std::chrono::steady_clock::now() - began;
    const auto first = output.take();
    transport::event(state::log_level::info, "last");
    const auto last = output.take();
    EXPECT_LT(took, 2s);
    EXPECT_FALSE(first.empty());
    EXPECT_NE(last.find("lines_left_out="), std::string::npos) << last;
}

} // namespace
