// Guards against ambiguous text forms of tokens, digests that merge fields, and
// unnecessary changes of partition writers.

#include <oriolegrade/state/partition.hpp>
#include <oriolegrade/state/token.hpp>

#include <gtest/gtest.h>

namespace {

using namespace oriolegrade::state;

// Guards against a token that changes in a round trip, and against a decoder
// that accepts more than one text form of the same token.
TEST(token, text_round_trip_is_one_to_one)
{
    token it{{1, ~0ULL}, 3, 1ULL << 40U, {5, 6}, {}};
    it.mac.fill(0xa5);
    const auto text = to_string(it);
    ASSERT_EQ(text.size(), token_text_size);
    EXPECT_EQ(token_from_string(text), it);
    for (std::size_t i = 0; i < text.size(); ++i) {
        for (const char c : {'A', '_', '=', '+', '\0', '\xff'}) {
            auto changed = text;
            changed[i] = c;
            const auto got = token_from_string(changed);
            EXPECT_TRUE(!got || to_string(*got) == changed);
            EXPECT_EQ(got == it, changed == text);
        }
    }
    EXPECT_FALSE(token_from_string(text + "A"));
    EXPECT_FALSE(token_from_string(text.substr(1)));
}

// Guards against equal digests of different requests whose concatenated fields
// are equal.
TEST(partition, key_digest_separates_fields)
{
    EXPECT_NE(key_digest("ab", "c", "k"), key_digest("a", "bc", "k"));
    EXPECT_NE(token_binding("ab", "c"), token_binding("a", "bc"));
}

// Guards against reassigning partitions of hosts that remain when another host
// leaves.
TEST(partition, writer_moves_only_with_its_host)
{
    const std::vector<std::string> all{"a", "b", "c", "d"};
    const std::vector<std::string> fewer{"a", "b", "d"};
    for (std::uint32_t p = 0; p < claim_partition_count; ++p) {
        const auto before = partition_writer(p, all);
        if (before != "c") {
            EXPECT_EQ(partition_writer(p, fewer), before);
        }
    }
    EXPECT_EQ(partition_writer(0, {}), "");
}

} // namespace
