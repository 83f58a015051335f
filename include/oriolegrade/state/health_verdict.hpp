// Verdicts of a collector on the upstreams of a service. Verdicts are advisory:
// each host applies them subject to its own floor.

#ifndef ORIOLEGRADE_STATE_HEALTH_VERDICT_HPP
#define ORIOLEGRADE_STATE_HEALTH_VERDICT_HPP

#include <oriolegrade/state/endpoint.hpp>
#include <oriolegrade/state/evidence.hpp>
#include <oriolegrade/state/upstream_state.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace oriolegrade::state {

/// Verdict on one upstream and a summary of its evidence.
struct health_verdict
{
    endpoint upstream;
    upstream_state state = upstream_state::in_service;
    /// Load relative to a healthy upstream, from 0 to 1.
    double weight = 1.0;
    /// Log-likelihood ratio of the upstream failing against it behaving like
    /// its peers; at least 0. While out of service, the value at the ejection.
    double score = 0;
    /// Share of failed and slow requests in the evidence, from 0 to 1.
    double severity = 0;
    /// Number of hosts with evidence against the upstream.
    std::uint32_t hosts = 0;

    bool operator==(const health_verdict&) const = default;
};

/// Maximum number of upstreams in one set.
inline constexpr std::size_t max_verdicts = 1024;

/// Verdicts on all upstreams of a service in another state than in_service.
struct verdict_set
{
    endpoint collector;
    std::string service;
    std::uint32_t schema_version = 1;
    /// Increases with each change at one collector.
    std::uint64_t sequence = 0;
    /// At most max_verdicts.
    std::vector<health_verdict> verdicts;

    bool operator==(const verdict_set&) const = default;
};

} // namespace oriolegrade::state

#endif
