// What is known of a request before it is sent: its route, its key and its
// workspace, by the rules that it was read under.

#ifndef ORIOLEGRADE_TRANSPORT_GATEWAY_REQUEST_PLAN_HPP
#define ORIOLEGRADE_TRANSPORT_GATEWAY_REQUEST_PLAN_HPP

#include <oriolegrade/protocol/http_head.hpp>
#include <oriolegrade/state/key_check.hpp>
#include <oriolegrade/state/rcu_cell.hpp>
#include <oriolegrade/state/reply_reason.hpp>
#include <oriolegrade/state/route_index.hpp>
#include <oriolegrade/transport/gateway/dispatched_choice.hpp>
#include <oriolegrade/transport/gateway/request_log.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace oriolegrade::transport {

/// What is looked up before a request may start.
struct request_plan
{
    request_line line;
    /// Holds the route; null when the host has no rules yet.
    std::shared_ptr<const state::route_index> rules;
    /// Null when there is none.
    const state::traffic_route* route = nullptr;
    bool repeatable = false;
    /// The fields that only the system may set have been taken out of the
    /// head.
    bool has_taken_key = false;
    /// Key that the caller sent where the rules require one; a secret that
    /// is written nowhere.
    std::string key = {};
    state::key_check check = {};
    /// Set before the first send.
    std::optional<request_sends> sends = {};
};

/// Name of the workspace that a key belongs to; empty for none.
inline std::string_view workspace_of(const state::key_check& check)
{
    return check.workspace != nullptr ? std::string_view(check.workspace->name)
                                      : std::string_view();
}

inline bool is_allowed(const request_plan& plan)
{
    return plan.route != nullptr && plan.check.passes;
}

/// True when the workspace of the request has a limit.
inline bool has_limit(const request_plan& plan)
{
    const auto* workspace = plan.check.workspace;
    return workspace != nullptr && workspace->rate_per_s > 0;
}

/// Why the request may not be sent by the rules in force, though it was allowed
/// by those that it was planned with.
inline std::optional<state::reply_reason>
objection_to(const request_plan& plan, const protocol::request_head& head,
             const state::rcu_cell<state::route_index>& in_force)
{
    if (in_force.holds(plan.rules)) {
        return std::nullopt;
    }
    const auto rules = in_force.read();
    if (!rules->rules().requires_keys) {
        return std::nullopt;
    }
    const auto* route = rules->find(head.host, protocol::path_of(head.target));
    const auto check = state::check_key(
        *rules, route != nullptr ? *route : *plan.route, plan.key);
    if (plan.has_taken_key && !check.passes) {
        return state::reply_reason::unknown_key;
    }
    // The head holds a key that was not required, or names a workspace that the
    // key belonged to before. The caller sends it again, under the rules in
    // force.
    if (!plan.has_taken_key || workspace_of(check) != plan.line.workspace) {
        return state::reply_reason::shed;
    }
    return std::nullopt;
}

} // namespace oriolegrade::transport

#endif
