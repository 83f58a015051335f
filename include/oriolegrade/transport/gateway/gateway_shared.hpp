// State that the threads of a gateway share.

#ifndef ORIOLEGRADE_TRANSPORT_GATEWAY_GATEWAY_SHARED_HPP
#define ORIOLEGRADE_TRANSPORT_GATEWAY_GATEWAY_SHARED_HPP

#include <oriolegrade/coordination/drain_schedule.hpp>
#include <oriolegrade/coordination/quota_wallet.hpp>
#include <oriolegrade/coordination/rules_age.hpp>
#include <oriolegrade/coordination/upstream_wishes.hpp>
#include <oriolegrade/coordination/window_budget.hpp>
#include <oriolegrade/state/host_member.hpp>
#include <oriolegrade/state/rcu_cell.hpp>
#include <oriolegrade/state/route_index.hpp>
#include <oriolegrade/transport/caller_shared.hpp>
#include <oriolegrade/transport/gateway/gateway_metrics.hpp>

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace oriolegrade::transport {

/// Fixed at the start of the process.
struct gateway_options
{
    /// This host as the others know it.
    state::host_member self;
    state::endpoint caller_listen;
    state::endpoint ready_listen;
    /// Hosts to ask when the store cannot be reached at the start.
    std::vector<state::endpoint> seeds;
    std::size_t max_connections = 2048;
    /// Kernel memory for each direction of a caller's connection; 0 for the
    /// system's own size.
    std::size_t socket_buffer_bytes = 0;
    /// Memory for bodies, answers and input of callers; 0 for no limit.
    std::uint64_t memory_bytes = 0;
    unsigned threads = 1;
    /// Time after its confirmation within which a change must be in force.
    state::duration change_bound = state::duration::max();
    /// Width of the host's link; 0 when unknown.
    double link_mbps = 0;
    /// Extra sends that all hosts together may make to one service.
    coordination::window_budget_options budget;
    coordination::read_ahead_limits read_ahead;
    /// Shortest window in which the limits of workspaces have to hold.
    state::duration quota_window = std::chrono::seconds(1);
    /// What such a window may hold beyond them.
    state::quota_allowance quota_allowance;
    /// The whole fleet starts for the first time.
    bool first_start = false;
    /// Time between the stop signal and the end of the process.
    state::duration grace = std::chrono::seconds(6);
};

/// Read by all threads; rules are written by the control thread.
struct gateway_shared : caller_shared
{
    explicit gateway_shared(gateway_options options_in)
        : caller_shared(options_in.read_ahead, options_in.memory_bytes)
        , options(std::move(options_in))
        , rules(std::make_shared<const state::route_index>(
              std::make_shared<const state::traffic_rules>()))
    {}

    const gateway_options options;
    state::rcu_cell<state::route_index> rules;
    /// Rules have arrived since the start.
    std::atomic<bool> configured{false};
    /// Until this time no newer version counts as likely; a confirmation that
    /// the version in force is the newest moves it on.
    std::atomic<state::time_point> rules_confirmed_until{};
    /// The version in force was the newest at this time.
    std::atomic<state::time_point> rules_newest_at{};
    /// Highest version that another host told of; 0 for none.
    std::atomic<std::uint64_t> rules_told{0};
    /// When the stop began; read only when stopping.
    std::atomic<state::time_point> stop_began{};
    gateway_metrics metrics;
    coordination::upstream_wishes wishes;
    coordination::quota_wallet quotas;

    /// True when another host told of a newer version.
    bool knows_newer(std::uint64_t version) const
    {
        return rules_told > version;
    }

    /// True when there may be a version that this host does not know yet.
    /// @param version that the host knows
    bool may_be_behind(state::time_point now, std::uint64_t version) const
    {
        return knows_newer(version) || now > rules_confirmed_until.load();
    }

    /// False when requests must wait for a newer version.
    /// @param version that the host knows
    bool may_serve_by(state::time_point now, std::uint64_t version) const
    {
        return coordination::may_serve_by(knows_newer(version),
                                          rules_newest_at.load(),
                                          options.change_bound, now);
    }

    /// Schedule of the stop in progress; empty before.
    std::optional<coordination::drain_schedule> drain() const
    {
        if (!stopping) {
            return std::nullopt;
        }
        return coordination::drain_schedule(stop_began, options.grace);
    }
    void begin_stop(state::time_point now)
    {
        stop_began = now;
        stopping = true;
    }
};

} // namespace oriolegrade::transport

#endif
