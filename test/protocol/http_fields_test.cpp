// Guards against fields of a caller that are read, or kept, beside those that
// were taken out of a head.

#include <oriolegrade/protocol/http_head.hpp>

#include <gtest/gtest.h>

namespace {

using namespace oriolegrade;

std::size_t size_of(const protocol::http_fields& fields)
{
    return static_cast<std::size_t>(
        std::distance(fields.begin(), fields.end()));
}

TEST(http_fields, all_fields_of_a_name_are_taken)
{
    protocol::http_fields fields;
    fields.add("a", "1");
    fields.add("Key", "v");
    fields.add("b", "2");
    fields.add("kEY", "v");
    EXPECT_EQ(fields.take("KEY"), "v");
    EXPECT_FALSE(fields.find("key"));
    EXPECT_EQ(size_of(fields), 2U);
    EXPECT_EQ(fields.find("b"), "2");
}

// Two values name nobody: an upstream might have read the other one.
TEST(http_fields, fields_that_differ_have_no_value)
{
    protocol::http_fields fields;
    fields.add("Key", "v");
    fields.add("Key", "w");
    fields.add("Key", "v");
    EXPECT_FALSE(fields.take("key"));
    EXPECT_EQ(size_of(fields), 0U);
    EXPECT_FALSE(fields.take("key"));
}

} // namespace
