// Guards against messages that change on their way or pass unchecked.

#include <oriolegrade/protocol/once_messages.hpp>

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace {

using namespace oriolegrade;
using namespace oriolegrade::protocol;

const state::claim one{state::digest_of({"k"}), {1, 2}, {3, 4}, 5};

forward_request sample_request()
{
    return {"POST", "/a?b", {{"x", "y\t"}}, "caller", "route", 2, 900,
            {},     one,    {8, 9}};
}

// Guards against fields that a conversion leaves out.
TEST(once_messages, round_trips)
{
    state::claim_batch batch;
    batch.releases.push_back({one.key, one.nonce});
    batch.renewals.push_back({one, 7});
    batch.claims.push_back(one);
    batch.checkpoint = state::claim_checkpoint{0};
    EXPECT_EQ(decode_claim_batch(encode(batch)).value(), batch);

    const claim_request ask{state::partition_of(one.key), {one}};
    EXPECT_EQ(decode_claim_request(encode(ask)).value(), ask);

    const auto request = sample_request();
    EXPECT_EQ(decode_forward_request(encode(request)).value(), request);

    const forward_answer answer{410,
                                {{"x", "y"}},
                                state::run_outcome::unknown,
                                state::reply_reason::handed_over,
                                {6, 7}};
    EXPECT_EQ(decode_forward_answer(encode(answer)).value(), answer);

    claim_reply reply;
    reply.answers.push_back({coordination::claim_status::lost, one});
    const auto got = decode_claim_reply(encode(reply)).value();
    EXPECT_EQ(got.answers.at(0).winner, one);
    EXPECT_EQ(got.answers.at(0).status, coordination::claim_status::lost);

    state::handover_state moved{{1, 1}, {{2, 2}, {}, 33}, {44, {}}};
    moved.authority.key.fill(5);
    moved.used.records.push_back(
        {{state::request_id_kind::claim, {3, 3}},
         {4, 4},
         55,
         state::entry_state::done,
         {state::run_outcome::ran,
          std::make_shared<const state::stored_answer>(
              state::stored_answer{201, {{"h", "v"}}, "body"})}});
    const auto bytes = encode(moved);
    const auto back = decode_handover(bytes).value();
    EXPECT_EQ(encode(back), bytes);
    EXPECT_EQ(*back.used.records.at(0).result.answer,
              *moved.used.records.at(0).result.answer);
}

// Guards against header smuggling between hosts, and errors without a place.
TEST(once_messages, findings_name_their_place)
{
    auto request = sample_request();
    request.headers.emplace_back("evil", "a\r\nb: c");
    EXPECT_EQ(decode_forward_request(encode(request)).error().place,
              "/headers/1");
    request = sample_request();
    request.claim.reset();
    EXPECT_EQ(decode_forward_request(encode(request)).error().place, "/token");
    const claim_request stray{(state::partition_of(one.key) + 1) % 64, {one}};
    EXPECT_EQ(decode_claim_request(encode(stray)).error().place,
              "/claims/0/key");
    EXPECT_EQ(
        decode_claim_batch(std::string((1U << 20U) + 1, 'x')).error().code,
        state::finding_code::too_large);
}

// Guards against decoders that crash on bytes they did not expect.
RC_GTEST_PROP(once_messages, any_bytes_decode_or_fail,
              (const std::string& bytes))
{
    (void)decode_claim_batch(bytes);
    (void)decode_claim_request(bytes);
    (void)decode_claim_reply(bytes);
    (void)decode_forward_request(bytes);
    (void)decode_forward_answer(bytes);
    (void)decode_handover(bytes);
}

} // namespace
