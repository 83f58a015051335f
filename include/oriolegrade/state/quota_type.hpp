// Limits of workspaces over all hosts, and what hosts tell each other to keep
// to them.
//
// Every right to send is a slice of the token bucket of a workspace: a rate, a
// cap and a level. Slices are split and joined, and each part of a slice has
// one holder at a time. Wherever they lie, their rates then add up to the
// workspace's rate and their caps to its burst, so that no window of length W
// holds more than rate x W + burst sends.

#ifndef ORIOLEGRADE_STATE_QUOTA_TYPE_HPP
#define ORIOLEGRADE_STATE_QUOTA_TYPE_HPP

#include <oriolegrade/state/enum_names.hpp>
#include <oriolegrade/state/time_type.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace oriolegrade::state {

struct quota_limit
{
    /// Requests per second of all hosts; 0 for no limit.
    double rate_per_s = 0;
    /// Requests beyond the rate that may come at once.
    double burst = 0;

    bool operator==(const quota_limit&) const = default;
};

/// What a window may hold beyond rate x window + burst, by the platform's rule.
struct quota_allowance
{
    /// Part of rate x window + burst.
    double overshoot = 0;
    /// Requests.
    double slack = 0;

    bool operator==(const quota_allowance&) const = default;
};

/// Part of a workspace's token bucket.
struct quota_slice
{
    double rate_per_s = 0;
    /// Largest level.
    double cap = 0;
    /// Tokens, of which each pays for one send.
    double level = 0;
};

/// Sums of slices over workspaces.
struct quota_holdings
{
    double rate_per_s = 0;
    double cap = 0;
};

/// Asks the owner of a workspace for a slice, or replaces one.
struct quota_ask
{
    std::string workspace;
    /// Increases with each ask of a host for the workspace.
    std::uint64_t number = 0;
    /// Number of the last grant that the host applied, be it expired since; 0
    /// for none. Answers to asks between that and this one came too late and
    /// were not applied.
    std::uint64_t applied = 0;
    /// The host holds the slice of that grant.
    bool holds = false;
    /// Requests of the workspace that reach the host in a second, whether they
    /// may be sent or not.
    double need_per_s = 0;
    /// Requests that wait for the answer.
    std::uint32_t waiting = 0;
    /// Tokens that the host has left, or returns.
    double level = 0;
    /// The host has ended its slice, and expects no answer.
    bool gives_back = false;
};

/// Answer to a quota_ask. Replaces the slice that the host held.
struct quota_grant
{
    std::string workspace;
    /// Number of the ask.
    std::uint64_t number = 0;
    /// `level` is added to the tokens that the host has left.
    quota_slice slice;
    /// The host uses the slice no longer than this after it sent the ask.
    duration term{};
    /// Limit of which the slice is a part. A host that knows a lower one
    /// reduces the slice in proportion.
    quota_limit basis;
    /// Time until the owner expects to have a token to give; 0 when it gave
    /// all that was asked for.
    duration retry_after{};
};

/// Asks a host to delegate its own share of the workspaces of a shard, or
/// returns it.
struct quota_delegation_request
{
    std::uint32_t shard = 0;
    /// Increases with each request of an owner.
    std::uint64_t number = 0;
    /// The delegation lasts this long after the host's answer; 0 ends it.
    duration term{};
    /// With a term of 0: time for which the share of each workspace has gained
    /// tokens that are returned with it.
    duration age{};
    /// Number of hosts among which the owner, and by now all other hosts,
    /// divide the limits; 0 when the owner does not know.
    std::uint32_t hosts = 0;
    /// The owner knows what to do with an early share.
    bool accepts_early = false;
};

enum class quota_answer : std::uint8_t
{
    given,
    /// The share is delegated to another owner, or the host takes another host
    /// for the owner.
    held_elsewhere,
    /// The host owns no share yet: it started or joined a moment ago.
    not_ready,
};

template <>
struct enum_names<quota_answer>
{
    static constexpr std::array<std::string_view, 3> value{
        "given", "held_elsewhere", "not_ready"};
};

struct quota_delegation
{
    std::uint32_t shard = 0;
    /// Number of the request.
    std::uint64_t number = 0;
    quota_answer answer = quota_answer::given;
    /// Part of each limit that the host owns.
    double fraction = 0;
    /// Time for which the host has held the share, which has gained tokens
    /// meanwhile; 0 when the asking owner held it until now.
    duration age{};
    /// Without a delegation: time after which the host can give one, where it
    /// knows that; otherwise 0.
    duration free_in{};
    /// The host's process started less than a term ago, with an empty share. An
    /// earlier process of the host may have delegated the share as well.
    bool early = false;
    /// With `held_elsewhere`: process to which the share is delegated; empty
    /// when it is not.
    std::string holder;
    /// As in quota_delegation_request, as far as the host knows.
    std::uint32_t hosts = 0;
};

} // namespace oriolegrade::state

#endif
