// The owner of shards of workspaces: it collects the hosts' shares and lends
// slices of them to the hosts that have requests.
//
// Load pattern: a workspace's requests reach any of 443 hosts, or move from
// one to another, at up to ten times its limit, beside thousands of workspaces
// that are idle. Delegations are asked for per shard, and only while one of its
// workspaces is active. A workspace without lent slices whose bucket is full
// is forgotten.

#ifndef ORIOLEGRADE_COORDINATION_QUOTA_OWNER_HPP
#define ORIOLEGRADE_COORDINATION_QUOTA_OWNER_HPP

#include <oriolegrade/coordination/quota_times.hpp>
#include <oriolegrade/state/quota_type.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace oriolegrade::coordination {

/// A message to a host.
template <class Message>
struct quota_to_host
{
    std::string host;
    Message message;
};

/// Not thread-safe. Borrowers are known by names that change with each of their
/// processes (name and incarnation), so that one that was restarted does not
/// answer for the slices of the one before.
///
/// Load pattern: all hosts are killed and start again in the same second, while
/// their callers go on. A new process has an empty share, and an earlier one
/// may have delegated it. The owner uses such an early share at once where it
/// held the share of the earlier process itself, and within the allowance where
/// it knows of no other owner.
class quota_owner
{
public:
    /// Takes the limits of the workspaces that have one. A lower limit binds
    /// once the slices lent before have expired.
    void set_limits(std::unordered_map<std::string, state::quota_limit> limits,
                    state::time_point now);
    /// Hosts that are asked for their share, this one included.
    void set_hosts(std::vector<std::string> hosts);
    /// Names the process that owns. Until then it uses no early shares.
    /// @param host name of this host, without its incarnation
    void set_self(std::string host, state::time_point started);
    /// Lets a window hold more than the limit while it is not certain to whom
    /// hosts delegated before they were restarted.
    /// @param window of the platform's rule
    void set_allowance(const state::quota_allowance& allowance,
                       state::duration window);
    /// Number of hosts to tell with requests; see quota_delegation_request.
    /// While this host does not know it, what others tell counts on.
    void set_settled_hosts(std::uint32_t n)
    {
        settled_hosts_ = n > 0 ? n : settled_hosts_;
    }

    /// Takes an ask. Its answer is in the next take_grants(), or in a later one
    /// while delegations are awaited.
    void ask(const std::string& host, const state::quota_ask& ask,
             state::time_point now);
    void answered(const std::string& host, const state::quota_delegation& it,
                  state::time_point now);

    /// Requests for delegations that are due.
    std::vector<quota_to_host<state::quota_delegation_request>>
    take_requests(state::time_point now);
    /// Grants that are ready.
    std::vector<quota_to_host<state::quota_grant>>
    take_grants(state::time_point now);

    /// Workspaces for which state is kept.
    std::size_t active() const;
    /// True while delegations are renewed, or have yet to be returned because
    /// nobody asks any more. Until then take_requests() is to be called.
    bool holds_shares() const;
    /// Slices that it has lent, for the metrics.
    state::quota_holdings lent_slices() const;
    /// Shares that are delegated to it, over all shards: 1 for a whole shard.
    double delegated() const;

private:
    using limit_map = std::unordered_map<std::string, state::quota_limit>;
    struct lent
    {
        std::uint64_t number = 0;
        double rate_per_s = 0;
        double cap = 0;
        /// Tokens that were added with it.
        double added = 0;
        state::time_point expires{};
    };
    struct borrower
    {
        std::uint64_t last_number = 0;
        double need_per_s = 0;
        /// Asks in a row that the limit left unsatisfied.
        std::uint32_t short_asks = 0;
        /// Part of a token that the last grant was too small for.
        double owed = 0;
        state::time_point asked_at{};
        /// Time between the last two asks.
        state::duration ask_gap{};
        /// Slices that the host may hold: it holds one of them.
        std::vector<lent> slices;

        double rate() const;
        double cap() const;
    };
    using lent_end = std::pair<state::time_point, std::string>;
    struct bucket
    {
        double level = 0;
        state::time_point at{};
        /// Sums over the borrowers.
        double lent_rate = 0;
        double lent_cap = 0;
        std::unordered_map<std::string, borrower> borrowers;
        /// Borrowers' rates are limited to this; see fair_level().
        double fair_rate = 0;
        double demand = 0;
        state::time_point fair_at{};
        /// Ends of lent slices, the next one first.
        std::priority_queue<lent_end, std::vector<lent_end>, std::greater<>>
            ends;
    };
    struct delegation
    {
        double fraction = 0;
        /// The share has gained tokens since then.
        state::time_point since{};
        state::time_point until{};
        /// It began with a share that was early, and with a part of the
        /// allowance.
        bool early = false;
        /// Until then the share may count twice: another owner may hold what an
        /// earlier process of the host delegated.
        state::time_point unproven_until{};
    };
    struct pending_request
    {
        std::uint64_t number = 0;
        state::time_point sent_at{};
        state::time_point next_at{};
        /// No answer has come to it.
        bool is_open = false;
        /// Requests since the last delegation.
        std::uint32_t failures = 0;
        /// End of the last delegation of the host to this owner.
        state::time_point held_until{};
    };
    struct waiting_ask
    {
        std::string host;
        state::quota_ask ask;
        state::time_point at{};
    };
    struct shard_state
    {
        bool active = false;
        state::time_point active_since{};
        state::time_point swept_at{};
        /// No request for a delegation is due before.
        state::time_point next_request{};
        /// Time of the last ask for one of its workspaces.
        state::time_point asked_at{};
        /// Until then another owner holds some host's share.
        state::time_point other_owner_until{};
        /// Sum of the fractions that are delegated.
        double fraction = 0;
        /// Sum of those that outlast a slice lent before backed_until.
        double backed = 0;
        state::time_point backed_until{};
        /// No delegation ends before.
        state::time_point earliest_end = state::time_point::max();
        std::unordered_map<std::string, delegation> delegations;
        std::unordered_map<std::string, pending_request> requests;
        std::unordered_map<std::string, bucket> buckets;
        std::vector<waiting_ask> waiting;
    };

    /// Ends delegations whose time is over.
    void settle(shard_state& shard, state::time_point now);
    /// Ends the delegations of a shard that is idle, and returns what they have
    /// gained.
    void release(
        std::uint32_t number,
        std::vector<quota_to_host<state::quota_delegation_request>>& requests,
        state::time_point now);
    /// Forgets workspaces that are idle.
    void sweep(shard_state& shard, state::time_point now);
    static bool is_awaited(const shard_state& shard,
                           const std::string& workspace);
    /// How an answer with an early share counts.
    enum class early_use : std::uint8_t
    {
        none,
        /// No other owner can hold the share.
        proven,
        /// Within the allowance.
        unproven,
    };
    early_use use_of(const shard_state& shard, const pending_request& request,
                     const state::quota_delegation& it,
                     state::time_point now) const;
    /// What the allowance adds to the burst of a limit, once.
    double spare_burst(const state::quota_limit& limit) const;
    /// Tokens of a whole share that has gained them for some time.
    double gained(const state::quota_limit& limit, state::duration age,
                  bool early) const;
    static double backed_fraction(shard_state& shard, state::time_point now);
    bool awaits_delegations(const shard_state& shard,
                            state::time_point now) const;
    bucket& bucket_of(shard_state& shard, const std::string& workspace,
                      const state::quota_limit& limit, state::time_point now);
    static void accrue(double fraction, bucket& it,
                       const state::quota_limit& limit, state::time_point now);
    static void drop_expired(bucket& it, state::time_point now);
    static void update_fair_rate(bucket& it, double rate,
                                 state::time_point now);
    /// Empty when the ask is to wait for delegations.
    std::optional<state::quota_grant>
    decide(shard_state& shard, const waiting_ask& it, state::time_point now);

    limit_map limits_;
    std::vector<std::string> hosts_;
    std::string self_;
    state::time_point started_{};
    state::quota_allowance allowance_;
    state::duration window_{};
    std::uint32_t settled_hosts_ = 0;
    std::array<shard_state, quota_shards> shards_;
    std::vector<quota_to_host<state::quota_grant>> grants_;
    std::uint64_t last_number_ = 0;
};

} // namespace oriolegrade::coordination

#endif
