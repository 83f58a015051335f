// Verdicts of a collector on the upstreams of a service. A verdict is advice:
// each host applies it within its own floor.

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

/// Verdict on one upstream with its evidence.
struct health_verdict
{
    endpoint upstream;
    upstream_state state = upstream_state::in_service;
    /// Share of a healthy upstream's work, from 0 to 1.
    double weight = 1.0;
    /// Log-likelihood ratio of "failing" against "as its peers"; at least 0.
    /// While out of service, the ratio that led to the ejection.
    double score = 0;
    /// Share of bad requests in the evidence against it, from 0 to 1.
    double severity = 0;
    /// Hosts whose evidence speaks against the upstream.
    std::uint32_t hosts = 0;

    bool operator==(const health_verdict&) const = default;
};

/// Upstreams that one set may name.
inline constexpr std::size_t max_verdicts = 1024;

/// Verdicts on all upstreams of a service that are not simply in service.
struct verdict_set
{
    endpoint collector;
    std::string service;
    std::uint32_t schema_version = 1;
    /// Grows with each change at one collector.
    std::uint64_t sequence = 0;
    /// At most max_verdicts.
    std::vector<health_verdict> verdicts;

    bool operator==(const verdict_set&) const = default;
};

} // namespace oriolegrade::state

#endif
