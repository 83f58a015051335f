// Verdicts known to a host, one set per service. Verdicts that no collector
// confirms expire, so that an upstream does not stay ejected after its
// collector has failed.

#ifndef ORIOLEGRADE_COORDINATION_VERDICT_CACHE_HPP
#define ORIOLEGRADE_COORDINATION_VERDICT_CACHE_HPP

#include <oriolegrade/state/health_verdict.hpp>
#include <oriolegrade/state/time_type.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace oriolegrade::coordination {

/// A schema version of a service; each version has its own verdicts.
struct service_key
{
    std::string name;
    std::uint32_t schema_version = 1;

    auto operator<=>(const service_key&) const = default;
};

/// Several times the interval at which hosts request verdicts.
inline constexpr state::duration verdict_lifetime = std::chrono::seconds(10);
/// A service without messages from its collector, and a collector without
/// messages from hosts, are removed after this time.
inline constexpr state::duration service_retention = std::chrono::minutes(3);

class verdict_cache
{
public:
    /// @param first_version above all versions of earlier caches of this host
    explicit verdict_cache(std::uint64_t first_version)
        : version_(first_version)
    {}

    /// Stores a set unless one at least as new from its collector is known.
    /// After a change of collector, the verdicts of the previous one stay for
    /// their lifetime, because the new collector does not have the evidence on
    /// which they are based.
    /// @return true when the verdicts changed
    bool accept(const state::verdict_set& set, state::time_point now);
    /// Records that the collector has no newer set than the known one.
    void confirm(const service_key& key, state::time_point now);
    /// Removes verdicts that were not confirmed in time.
    /// @return true when the verdicts changed
    bool expire(state::time_point now);

    /// Increases with each change of verdicts.
    std::uint64_t version() const
    {
        return version_;
    }
    /// Sets that changed after a version. The sequence of each is the version
    /// of its last change.
    std::vector<state::verdict_set> changed_since(std::uint64_t version) const;
    /// Sequence of the known set of this collector; 0 when there is none.
    std::uint64_t known_sequence(const service_key& key,
                                 const state::endpoint& collector) const;
    /// Services with an upstream in another state than in_service.
    std::vector<service_key> services_with_verdicts() const;
    bool empty() const
    {
        return services_.empty();
    }

private:
    using verdict_list = std::vector<state::health_verdict>;

    struct known_set
    {
        state::verdict_set set;
        state::time_point confirmed_at;
        /// Verdicts of the previous collector.
        verdict_list previous;
        state::time_point previous_until{};
        /// Verdicts that changed_since() returns, and the version of their last
        /// change.
        verdict_list effective;
        std::uint64_t version = 0;
    };

    bool refresh(known_set& it);

    std::map<service_key, known_set> services_;
    std::uint64_t version_;
};

} // namespace oriolegrade::coordination

#endif
