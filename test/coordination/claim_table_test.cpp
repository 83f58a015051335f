// Guards against readers of the same log that disagree on the holder of a key.

#include <oriolegrade/coordination/claim_table.hpp>

#include <gtest/gtest.h>

namespace {

using namespace oriolegrade;
using namespace std::chrono_literals;
using coordination::claim_table;
using state::claim_batch;

const state::time_point now{10h};
const state::digest256 key = state::digest_of({"key"});

state::claim claim_by(std::uint64_t host)
{
    return {key, {1, host}, {2, host}, 1000};
}

claim_batch claims(std::uint64_t host)
{
    claim_batch out;
    out.claims.push_back(claim_by(host));
    return out;
}

claim_batch release(std::uint64_t host)
{
    claim_batch out;
    out.releases.push_back({key, {2, host}});
    return out;
}

claim_batch renewal(std::uint64_t host, std::uint64_t as_of)
{
    claim_batch out;
    out.renewals.push_back({claim_by(host), as_of});
    return out;
}

claim_batch checkpoint(std::uint64_t offset)
{
    claim_batch out;
    out.checkpoint = state::claim_checkpoint{offset};
    return out;
}

/// Reads the records from `first` on, as if earlier ones had been trimmed.
claim_table read(const std::vector<claim_batch>& log, std::uint64_t first)
{
    claim_table out;
    out.skip_to(first, now);
    for (std::uint64_t at = first; at < log.size(); ++at) {
        out.apply(at, log[at], now, {});
    }
    return out;
}

// Guards against two winners, and against a duplicate release that frees the
// key of a later claim.
TEST(claim_table, first_claim_wins_until_its_own_release)
{
    const auto table = read({claims(1), claims(2), release(2), release(1),
                             claims(3), release(1), claims(4)},
                            0);
    EXPECT_EQ(table.winner(key), claim_by(3));
}

// Guards against a late reader that misses a claim removed by retention, that
// accepts a losing claim because it reads it first, or that restores a released
// claim from the renewals of an older checkpoint.
TEST(claim_table, late_reader_agrees_after_a_checkpoint)
{
    const std::vector<claim_batch> log{
        claims(1), claims(2),     renewal(1, 2), release(1),    claims(3),
        claims(4), renewal(3, 6), renewal(1, 2), checkpoint(6),
    };
    for (std::uint64_t first = 0; first <= 6; ++first) {
        const auto table = read(log, first);
        EXPECT_TRUE(table.complete());
        EXPECT_EQ(table.winner(key), claim_by(3)) << first;
    }
    const auto incomplete = read(log, 7);
    EXPECT_FALSE(incomplete.complete());
    EXPECT_FALSE(incomplete.winner(key));
}

// Guards against tables that stay incomplete for ever when no host has a
// complete table from which to write a checkpoint.
TEST(claim_table, gap_ends_after_the_longest_lifetime)
{
    claim_table table({1h, 100});
    table.skip_to(5, now);
    table.apply(5, claims(1), now, {});
    table.expire_gap(now + 59min);
    EXPECT_FALSE(table.winner(key));
    table.expire_gap(now + 1h);
    EXPECT_EQ(table.winner(key), claim_by(1));
    EXPECT_EQ(table.expired(now + 2s).size(), 1U);
}

} // namespace
