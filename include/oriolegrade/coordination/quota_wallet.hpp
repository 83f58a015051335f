// What one host may send for workspaces: the slices that owners have lent it.
//
// take() runs on the worker threads for every send. A token is taken, or a
// remembered refusal is repeated, with atomics alone, in a table that is
// replaced by read-copy-update. A lock is held briefly where neither is
// possible: tokens gained since are added, or an ask is noted. The other
// functions belong to the control thread.
//
// A token pays for a send that follows at once: it is taken when a request is
// about to be sent, not when it begins to wait in line.

#ifndef ORIOLEGRADE_COORDINATION_QUOTA_WALLET_HPP
#define ORIOLEGRADE_COORDINATION_QUOTA_WALLET_HPP

#include <oriolegrade/coordination/quota_times.hpp>
#include <oriolegrade/state/quota_type.hpp>
#include <oriolegrade/state/rcu_cell.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace oriolegrade::coordination {

enum class quota_verdict : std::uint8_t
{
    /// The request may be sent now.
    passed,
    /// Wait until the control thread has taken an answer, then call again.
    wait,
    /// The workspace is at its limit.
    refused,
};

struct quota_decision
{
    quota_verdict verdict = quota_verdict::passed;
    /// With `refused`: time until a token is expected; above 0.
    state::duration retry_after{};
};

class quota_wallet
{
public:
    quota_wallet();
    ~quota_wallet();
    quota_wallet(const quota_wallet&) = delete;
    quota_wallet& operator=(const quota_wallet&) = delete;

    /// Takes a token for one send. Any thread.
    /// @param waited time that this request has waited for answers; with
    ///        max_quota_wait or more, as for a repeat or a hedge, the answer
    ///        is never `wait`
    quota_decision take(std::string_view workspace, state::duration waited,
                        state::time_point now);
    /// Takes a token for a further send of a request, now or from the next
    /// slice. A host that has few requests of a workspace holds no spare token,
    /// and a repeat cannot wait for one. Any thread.
    /// @return false while the workspace is at its limit
    bool take_extra(std::string_view workspace, state::time_point now);
    /// Returns the token of a send that the upstream refused unrun. It is lost
    /// when the slice has expired. Any thread.
    void give_back(std::string_view workspace, state::time_point now);

    /// True when poll() is due before its usual time, because a request waits.
    /// Any thread.
    bool is_wanted() const;

    /// Replaces the limits. Slices are reduced in proportion where a limit is
    /// lower. Blocks for one grace period.
    void set_limits(
        const std::unordered_map<std::string, state::quota_limit>& limits,
        state::time_point now);

    /// Asks to send to the owners of their workspaces' shards. Call it every
    /// 50 ms, and at once when is_wanted().
    std::vector<state::quota_ask> poll(state::time_point now);
    /// Takes the owner's answer. Requests that wait for the workspace call
    /// take() again.
    void granted(const state::quota_grant& grant, state::time_point now);
    /// The ask cannot be sent, or its owner failed; without this, poll()
    /// notices it after ask_timeout.
    void ask_failed(const std::string& workspace, state::time_point now);
    /// Workspaces whose asks have failed since the last call. Requests that
    /// wait for them call take() again, and the next ask goes to another owner.
    std::vector<std::string> take_failed();

    /// True when a request waits for an answer of the workspace's owner.
    bool awaits(const std::string& workspace) const;
    /// Slices that the host has borrowed, for the metrics.
    state::quota_holdings holdings(state::time_point now) const;
    /// Workspaces with state beyond their row in the table.
    std::size_t active() const;

private:
    struct row;
    /// Finds a name without a copy of it.
    struct name_hash
    {
        using is_transparent = void;
        std::size_t operator()(std::string_view name) const
        {
            return std::hash<std::string_view>()(name);
        }
    };
    using table = std::unordered_map<std::string, std::shared_ptr<row>,
                                     name_hash, std::equal_to<>>;

    quota_decision take_slowly(const std::shared_ptr<row>& found,
                               state::duration waited, state::time_point now);
    static void accrue(row& it, state::time_point now);
    static void measure(row& it, state::time_point now);
    static std::optional<state::quota_ask> ask_due(row& it, bool alive,
                                                   state::time_point now);
    static double needed(const row& it, std::uint32_t waiting,
                         state::time_point now);
    void fail(row& it, state::time_point now);
    static double part_of(double known, double basis);

    /// Guards what rows hold beside their atomics.
    mutable std::mutex slow_;
    state::rcu_cell<table> rows_;
    std::unordered_map<std::string, std::shared_ptr<row>> active_;
    std::vector<std::string> failed_;
    std::atomic<bool> wanted_{false};
};

} // namespace oriolegrade::coordination

#endif
