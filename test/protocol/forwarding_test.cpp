// Guards against requests that are forwarded more often than their sender
// allows.

#include <oriolegrade/protocol/forwarding.hpp>

#include <gtest/gtest.h>

#include <optional>
#include <ostream>
#include <string>

namespace {

using oriolegrade::protocol::prepare_forwarding;
using oriolegrade::protocol::request_head;
using oriolegrade::state::reply_reason;

struct forwards_case
{
    const char* name;
    const char* method;
    std::string count;
    /// What is forwarded.
    std::string left;
    std::optional<reply_reason> refusal = {};
};

std::ostream& operator<<(std::ostream& out, const forwards_case& it)
{
    return out << it.name;
}

const forwards_case counts[] = {
    {"two", "TRACE", "2", "1"},
    {"one", "TRACE", "1", "0"},
    {"none", "TRACE", "0", "", reply_reason::not_forwarded},
    {"ten_of_options", "OPTIONS", "10", "9"},
    {"none_of_options", "OPTIONS", "0", "", reply_reason::not_forwarded},
    {"zeros", "OPTIONS", "00", "", reply_reason::not_forwarded},
    {"zeros_before_a_number", "OPTIONS", "010", "9"},
    {"largest_number", "TRACE", "18446744073709551615", "18446744073709551614"},
    {"above_the_largest_number", "TRACE", "18446744073709551616",
     "18446744073709551614"},
    {"empty", "TRACE", "", "", reply_reason::bad_request},
    {"negative", "TRACE", "-1", "", reply_reason::bad_request},
    {"signed", "TRACE", "+1", "", reply_reason::bad_request},
    {"list", "TRACE", "1, 1", "", reply_reason::bad_request},
    {"none_of_get", "GET", "0", "0"},
    {"text_of_get", "GET", "x", "x"},
    {"other_method", "trace", "0", "0"},
};

class max_forwards : public ::testing::TestWithParam<forwards_case>
{};

TEST_P(max_forwards, is_not_counted)
{
    const auto& row = GetParam();
    request_head head;
    head.method = row.method;
    head.target = "/a";
    head.fields.add("Max-Forwards", row.count);
    EXPECT_EQ(prepare_forwarding(head), row.refusal);
    if (!row.refusal) {
        EXPECT_EQ(head.fields.find("Max-Forwards"), row.left);
    }
}

INSTANTIATE_TEST_SUITE_P(max_forwards, max_forwards,
                         ::testing::ValuesIn(counts), [](const auto& it) {
                             return std::string(it.param.name);
                         });

// Without the field nothing is counted, and none is added.
TEST(forwarding, a_request_without_a_count_gets_one)
{
    request_head head;
    head.method = "TRACE";
    head.target = "/a";
    EXPECT_EQ(prepare_forwarding(head), std::nullopt);
    EXPECT_EQ(head.fields.begin(), head.fields.end());
}

} // namespace
