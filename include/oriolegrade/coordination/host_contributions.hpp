// Contribution of each host to the score of one upstream. A cap per host
// prevents a fault of a single host from ejecting the upstream.

#ifndef ORIOLEGRADE_COORDINATION_HOST_CONTRIBUTIONS_HPP
#define ORIOLEGRADE_COORDINATION_HOST_CONTRIBUTIONS_HPP

#include <oriolegrade/state/endpoint.hpp>
#include <oriolegrade/state/time_type.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace oriolegrade::coordination {

/// Contributions of the hosts with the largest ones, in fixed memory. They are
/// kept when the score returns to zero and decay slowly, so that a single host
/// with persistent failures cannot raise the score repeatedly.
class host_contributions
{
public:
    /// Adds a log-likelihood ratio of `host` and returns the part that counts
    /// after the cap.
    /// @param cap maximum contribution of one host; above 0
    double add(const state::endpoint& host, double ratio, double cap,
               state::time_point now);
    /// Number of hosts with a significant contribution.
    std::uint32_t hosts(state::time_point now) const;
    void clear()
    {
        *this = {};
    }

private:
    struct entry
    {
        state::endpoint host;
        float contribution = 0;
    };

    void decay(state::time_point now);
    entry* find(const state::endpoint& host);

    static constexpr std::size_t capacity = 12;
    std::array<entry, capacity> entries_{};
    state::time_point decayed_{};
};

} // namespace oriolegrade::coordination

#endif
