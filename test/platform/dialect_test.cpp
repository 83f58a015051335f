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

// A wish that is misread takes a sound upstream out of service, or leaves one
// in that asked for quiet.
TEST(platform_dialect, wishes_of_an_upstream_are_read_or_ignored)
{
    using std::chrono::milliseconds;
    EXPECT_FALSE(dialect::wish_of(answer(200)).any());
    EXPECT_TRUE(
        dialect::wish_of(answer(200, {{"Server-Leaving", "1"}})).leaving);
    EXPECT_FALSE(
        dialect::wish_of(answer(200, {{"Server-Leaving", "0"}})).any());
    const auto pause = [](std::uint16_t status, const std::string& text) {
        return dialect::wish_of(answer(status, {{"Retry-After", text}})).pause;
    };
    EXPECT_EQ(pause(503, "2"), milliseconds(2000));
    EXPECT_EQ(pause(503, "0.25"), milliseconds(250));
    EXPECT_EQ(pause(503, "3600"), std::chrono::hours(1));
    for (const auto* text :
         {"", "0", "-1", "+1", "3601", "1e9", "inf", "nan", "0x10", "2s", "2 ",
          "Wed, 21 Oct 2026 07:28:00 GMT", "100000000000000000000000000000"}) {
        EXPECT_FALSE(pause(503, text)) << text;
        EXPECT_EQ(dialect::wish_of(answer(503, {{"Retry-After", text}}))
                      .has_unusable_pause,
                  text != std::string("0"))
            << text;
    }
    EXPECT_FALSE(dialect::wish_of(answer(503)).has_unusable_pause);
    // Only a 503 turns a request away.
    EXPECT_FALSE(pause(500, "2"));
    EXPECT_FALSE(pause(200, "2"));
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
