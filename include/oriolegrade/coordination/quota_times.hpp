// Times of the quotas of workspaces. A holder of a slice counts its term from
// the moment it sent its ask, and the lender from the later one at which it
// answered; no clock is compared with that of another host.
//
// A host whose process is suspended finds its slices expired when it wakes,
// because the clock went on. Where the clock stands still with the machine, as
// CLOCK_MONOTONIC does, a host may after waking spend what it held: at most
// the cap of its slice and its rate for the rest of the term, once. An owner
// that wakes so may grant from delegations that others have taken over since:
// at most its level and its rate for the rest of delegation_term. Callers that
// pass time points of a clock that counts suspension (CLOCK_BOOTTIME) exclude
// both.

#ifndef ORIOLEGRADE_COORDINATION_QUOTA_TIMES_HPP
#define ORIOLEGRADE_COORDINATION_QUOTA_TIMES_HPP

#include <oriolegrade/state/quota_type.hpp>
#include <oriolegrade/state/time_type.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace oriolegrade::coordination {

/// Parts into which workspaces are divided. An owner then serves a part of
/// them, and a host that fails is the owner of few.
inline constexpr std::uint32_t quota_shards = 8;

/// Time for which a host delegates its share. The loss of an owner costs the
/// use of the limit for so long.
inline constexpr state::duration delegation_term = std::chrono::seconds(3);
/// An owner renews so often, and repeats a request without an answer after
/// delegation_retry; after some repeats more rarely.
inline constexpr state::duration delegation_refresh =
    std::chrono::milliseconds(1250);
inline constexpr state::duration delegation_retry =
    std::chrono::milliseconds(500);
/// Asks wait this long for the first delegations of a shard.
inline constexpr state::duration first_delegations =
    std::chrono::milliseconds(100);
/// A process that started less than this ago may be an owner because all hosts
/// were restarted together, and knows of no delegation before.
inline constexpr state::duration young_owner = 2 * delegation_term;
/// An owner without asks for a shard lets its delegations end after this time.
inline constexpr state::duration shard_idle = std::chrono::seconds(5);

/// Term of a slice with a rate. Lent slices end before the delegations behind
/// them, of which delegation_term - delegation_refresh is left before they are
/// renewed.
inline constexpr state::duration slice_term = std::chrono::milliseconds(1600);
/// Term of tokens without a rate, which requests wait for. It is longer than
/// an answer between hosts takes; until it ends, the owner cannot tell tokens
/// that were spent from tokens that are held.
inline constexpr state::duration token_term = std::chrono::milliseconds(200);
/// A host replaces its slice so often.
inline constexpr state::duration ask_refresh = std::chrono::milliseconds(1300);
/// An ask without an answer is repeated after this time, and after a second
/// time its owner has failed.
inline constexpr state::duration ask_timeout = std::chrono::milliseconds(200);
/// A request waits this long in all for answers to asks.
inline constexpr state::duration max_quota_wait =
    std::chrono::milliseconds(700);
/// A request waits for a token that is expected within this time; beyond it,
/// it is refused. It is shorter than the distance of asks beyond a limit.
inline constexpr state::duration token_wait = std::chrono::milliseconds(250);
/// Least time between two asks for a workspace.
inline constexpr state::duration min_ask_gap = std::chrono::milliseconds(20);
/// Time between asks for a workspace beyond its limit: one message per host
/// and second.
inline constexpr state::duration limited_ask_gap =
    std::chrono::milliseconds(1250);
/// Below this rate a host gets tokens on request, which is no more than a
/// message per second, and no slice with a rate.
inline constexpr double min_slice_rate = 1;
/// A slice with a rate that is not used for so long, and for idle_gaps usual
/// gaps between requests, is given back.
inline constexpr state::duration min_idle = std::chrono::milliseconds(250);
inline constexpr double idle_gaps = 3;

/// A host that joins owns no share for this time after the directory names it:
/// others take the directory every 10 s, some from a host that read it up to
/// 10 s before, and their delegations of a larger share end delegation_term
/// later.
inline constexpr state::duration join_delay = std::chrono::seconds(25);
/// A host whose read of the directory is older than this expects that hosts
/// have joined since, and uses stale_share of its share. Up to a quarter more
/// hosts may join while it is out of touch.
inline constexpr state::duration directory_fresh = std::chrono::seconds(11);
inline constexpr double stale_share = 0.8;
/// Hosts that leave the directory count for this time, so that one which is
/// cut off meanwhile may go on with its share; it stops when its read of the
/// directory is nearly as old. A host that has just started knows of none that
/// left before.
inline constexpr state::duration leave_delay = std::chrono::minutes(10);

/// A limit with the same bound for all windows of at least `window`, and a
/// burst that hosts can share: at least one token, and a burst that is small
/// against the rate is enlarged at the cost of up to 2% of the rate.
/// @param window of the platform's rule
/// @param allowance of that rule; a part of its slack is added to the burst. A
///        burst of one token is never whole at an owner, as the share of some
///        host is always about to end.
state::quota_limit usable_limit(const state::quota_limit& limit,
                                state::duration window,
                                const state::quota_allowance& allowance = {});

/// Name of one process among all that the hosts have run, and the host's name
/// in it.
std::string quota_process_name(std::string_view host,
                               std::string_view incarnation);
std::string_view quota_host_of(std::string_view process);

std::uint32_t quota_shard_of(std::string_view workspace);
/// Name by which dispatcher_ranking finds the owner of a shard.
std::string quota_shard_name(std::uint32_t shard);

} // namespace oriolegrade::coordination

#endif
