// How much each host has spoken against one upstream. Caps the weight of a
// single host, so that a fault of its own ejects nothing.

#ifndef ORIOLEGRADE_COORDINATION_HOST_CONTRIBUTIONS_HPP
#define ORIOLEGRADE_COORDINATION_HOST_CONTRIBUTIONS_HPP

#include <oriolegrade/state/endpoint.hpp>
#include <oriolegrade/state/time_type.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace oriolegrade::coordination {

/// Contributions of the loudest hosts, in fixed memory. They outlive the
/// test's return to zero and decay slowly: a host that alone keeps failing
/// cannot refill the ratio again and again.
class host_contributions
{
public:
    /// Adds a ratio of `host` and returns the part of it that counts.
    /// @param cap most that one host may contribute; above 0
    double add(const state::endpoint& host, double ratio, double cap,
               state::time_point now);
    /// Hosts that have contributed noticeably.
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
