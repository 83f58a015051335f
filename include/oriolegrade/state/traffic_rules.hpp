// Routes and services from one versioned document, for platforms whose operator
// replaces the whole document instead of publishing records.

#ifndef ORIOLEGRADE_STATE_TRAFFIC_RULES_HPP
#define ORIOLEGRADE_STATE_TRAFFIC_RULES_HPP

#include <oriolegrade/state/record_type.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace oriolegrade::state {

/// Share of a route's requests that goes to one service.
struct weighted_service
{
    std::string service;
    std::uint32_t weight = 1;

    bool operator==(const weighted_service&) const = default;
};

struct traffic_route
{
    std::string name;
    /// Host in the requests of callers, in lower case and without a port.
    std::string host;
    /// The prefix begins and ends with a slash. `deadline` is the longest time
    /// that a caller waits. `service` is unused; see `split`.
    route_spec spec;
    /// Answers within this time are as good as immediate ones.
    duration latency_target{};
    /// Priority; 0 is the highest.
    std::uint32_t rank = 0;
    /// Request bodies are large, so other data centres cost more than for other
    /// routes.
    bool upload = false;
    /// Requests need no key, also where the rules name workspaces.
    bool is_public = false;
    /// Never empty; weights are positive.
    std::vector<weighted_service> split;
};

/// Owner of requests, known by the key that they carry.
struct traffic_workspace
{
    std::string name;
    /// Secrets: they are written to no log, message or upstream. A key belongs
    /// to one workspace at most.
    std::vector<std::string> keys;
    /// Requests a second that all hosts together may send; 0 for no limit.
    double rate_per_s = 0;
    /// Requests beyond the rate that may come at once.
    double burst = 0;
    /// Goes before the rank of the route; empty to keep that.
    std::optional<std::uint32_t> rank;
};

struct traffic_service
{
    /// Connections that one upstream accepts from all hosts together.
    std::uint32_t max_connections = 1;
};

/// Size and time limits of callers' requests.
struct traffic_limits
{
    std::uint32_t header_bytes = 16 * 1024;
    std::uint64_t body_bytes = 64ULL << 20U;
    duration header_timeout = std::chrono::seconds(3);
    duration idle_timeout = std::chrono::seconds(15);
};

/// Rules in force. A document with a higher version replaces one with a lower
/// version completely.
struct traffic_rules
{
    std::uint64_t version = 0;
    std::vector<traffic_route> routes;
    std::unordered_map<std::string, traffic_service> services;
    /// Only where requires_keys.
    std::vector<traffic_workspace> workspaces;
    /// The document names workspaces, be it none: a request on a route that is
    /// not public needs a key of one of them.
    bool requires_keys = false;
    traffic_limits limits;
    /// Encoded document, for hosts that cannot read it from the store.
    std::string document;
};

} // namespace oriolegrade::state

#endif
