// Guards against tokens that are accepted by the wrong process or after expiry.

#include <oriolegrade/coordination/token_authority.hpp>

#include <gtest/gtest.h>

namespace {

using namespace oriolegrade;
using namespace std::chrono_literals;
using coordination::token_authority;
using coordination::token_check;

const state::time_point start{100h};
const state::identifier binding{1, 2};

// Guards against accepting modified tokens, tokens of another caller or route,
// and expired tokens.
TEST(token_authority, accepts_only_its_own_unchanged_tokens)
{
    token_authority ours(coordination::generate_identity(), start, 10s);
    const auto good = ours.mint(binding, start + 1s);
    EXPECT_EQ(ours.verify(good, binding, start + 10s), token_check::valid);
    EXPECT_EQ(ours.verify(good, binding, start + 11s), token_check::expired);
    EXPECT_EQ(ours.verify(good, {1, 3}, start), token_check::other_binding);
    auto bad = good;
    bad.expires_ms += 1;
    EXPECT_EQ(ours.verify(bad, binding, start), token_check::forged);
    for (std::size_t bit = 0; bit < 8 * bad.mac.size(); ++bit) {
        bad = good;
        bad.mac[bit / 8] ^= static_cast<std::uint8_t>(1U << (bit % 8));
        EXPECT_EQ(ours.verify(bad, binding, start), token_check::forged);
    }
    const token_authority other(coordination::generate_identity(), start, 10s);
    EXPECT_EQ(other.verify(good, binding, start),
              token_check::other_incarnation);
}

// Guards against a successor on whose clock imported tokens expire at once or
// never.
TEST(token_authority, imported_authority_continues_the_clock)
{
    token_authority ours(coordination::generate_identity(), start, 10s);
    const auto good = ours.mint(binding, start + 4s);
    const state::time_point elsewhere{3h};
    const token_authority next(ours.export_state(start + 5s), elsewhere, 10s);
    EXPECT_EQ(next.verify(good, binding, elsewhere), token_check::valid);
    EXPECT_EQ(next.verify(good, binding, elsewhere + 9s), token_check::expired);
}

} // namespace
