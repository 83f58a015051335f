// Verdicts that a host knows, one set per service. A verdict that no
// collector confirms expires, so that an upstream does not stay ejected after
// its collector has gone.

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

/// A schema version of a service; each has verdicts of its own.
struct service_key
{
    std::string name;
    std::uint32_t schema_version = 1;

    auto operator<=>(const service_key&) const = default;
};

/// Several times the interval at which hosts ask again.
inline constexpr state::duration verdict_lifetime = std::chrono::seconds(10);
/// Services without verdicts are forgotten after this time.
inline constexpr state::duration service_retention = std::chrono::minutes(3);

class verdict_cache
{
public:
    /// @param first_version above those of earlier books of this host
    explicit verdict_cache(std::uint64_t first_version)
        : version_(first_version)
    {}

    /// Takes a set over unless a newer one of its collector is known. After a
    /// change of collector, verdicts of the previous one stay for their
    /// lifetime: the new one has not seen why an upstream was ejected.
    /// @return true when the verdicts changed
    bool accept(const state::verdict_set& set, state::time_point now);
    /// The collector has nothing newer than the known set.
    void confirm(const service_key& key, state::time_point now);
    /// Drops what was not confirmed; true when verdicts changed.
    bool expire(state::time_point now);

    /// Grows with each change of verdicts.
    std::uint64_t version() const
    {
        return version_;
    }
    /// Sets that changed after a version. Their sequence is the version.
    std::vector<state::verdict_set> changed_since(std::uint64_t version) const;
    /// Sequence of the known set of this collector, else 0.
    std::uint64_t known_sequence(const service_key& key,
                                 const state::endpoint& collector) const;
    /// Services with an upstream that is not simply in service.
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
        /// What changed_since() reports, and the version of its last change.
        verdict_list effective;
        std::uint64_t version = 0;
    };

    bool refresh(known_set& it);

    std::map<service_key, known_set> services_;
    std::uint64_t version_;
};

} // namespace oriolegrade::coordination

#endif
