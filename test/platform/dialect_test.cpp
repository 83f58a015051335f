// Guards against wrong conclusions from header fields: what proves that a
// request did not run, and which answer belongs to it.

#include <dialect.hpp>

#include <gtest/gtest.h>

namespace {

using namespace oriolegrade;
using platform::dialect;

protocol::answer_head answer(std::uint16_t status,
                             std::vector<protocol::http_field> fields = {})
{
    protocol::answer_head head;
    head.status = status;
    for (const auto& it : fields) {
        head.fields.add(it.name, it.value);
    }
    return head;
}

TEST(platform_dialect, only_said_unrun_is_unrun)
{
    EXPECT_TRUE(dialect::is_unrun(answer(503, {{"Not-Executed", "1"}})));
    EXPECT_TRUE(dialect::is_unrun(answer(421)));
    EXPECT_FALSE(dialect::is_unrun(answer(503)));
    EXPECT_FALSE(dialect::is_unrun(answer(504)));
    EXPECT_TRUE(dialect::is_misdirected(answer(421)));
}

TEST(platform_dialect, an_answer_to_another_request_does_not_belong)
{
    protocol::request_head request;
    request.fields.add("Request-Id", "one");
    EXPECT_TRUE(
        dialect::belongs(request, answer(200, {{"Request-Id", "one"}})));
    EXPECT_FALSE(
        dialect::belongs(request, answer(200, {{"Request-Id", "two"}})));
    EXPECT_TRUE(dialect::belongs(request, answer(400)));
}

// A refusal without the id may be an earlier one, written twice.
TEST(platform_dialect, a_refusal_without_an_id_does_not_belong)
{
    protocol::request_head request;
    request.fields.add("Request-Id", "one");
    EXPECT_FALSE(
        dialect::belongs(request, answer(503, {{"Not-Executed", "1"}})));
    EXPECT_FALSE(dialect::belongs(request, answer(421)));
    EXPECT_TRUE(dialect::belongs(
        request, answer(503, {{"Not-Executed", "1"}, {"Request-Id", "one"}})));
    EXPECT_TRUE(dialect::belongs(protocol::request_head(), answer(421)));
}

TEST(platform_dialect, a_success_needs_its_signature_and_plain_body)
{
    EXPECT_TRUE(dialect::is_sound(answer(200, {{"Server-Stamp", "x"}})));
    EXPECT_FALSE(dialect::is_sound(answer(200)));
    EXPECT_TRUE(dialect::is_sound(answer(500)));
    EXPECT_FALSE(dialect::is_sound(
        answer(200, {{"Server-Stamp", "x"}, {"Content-Encoding", "gzip"}})));
}

TEST(platform_dialect, requests_carry_identity_host_and_time)
{
    protocol::request_head request;
    request.host = "h.example";
    request.fields.add("Deadline-Ms", "4000");
    dialect::prepare(request, 1500, "i-1");
    EXPECT_EQ(request.fields.find("Host"), "h.example");
    EXPECT_EQ(request.fields.find("Deadline-Ms"), "1500");
    EXPECT_EQ(request.fields.find("Expect-Instance"), "i-1");
}

TEST(platform_dialect, load_is_read_or_ignored)
{
    const auto load = dialect::load_of(answer(200, {{"Server-Load", "3,1,8"}}));
    ASSERT_TRUE(load);
    EXPECT_EQ(load->running, 3U);
    EXPECT_EQ(load->waiting, 1U);
    EXPECT_EQ(load->slots, 8U);
    for (const auto* text :
         {"", "3", "3,1", "a,b,c", "-1,0,4", "99999999,0,4"}) {
        EXPECT_FALSE(dialect::load_of(answer(200, {{"Server-Load", text}})))
            << text;
    }
}

} // namespace
