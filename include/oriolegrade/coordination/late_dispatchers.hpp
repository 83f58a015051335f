// Dispatchers that answered too late, as one host remembers them.
//
// Load pattern: a dispatcher has too little processor time for its service. It
// answers each request after its caller has gone on to the next dispatcher, and
// as it does answer, it was asked first again: a quarter of all requests waited
// for it.

#ifndef ORIOLEGRADE_COORDINATION_LATE_DISPATCHERS_HPP
#define ORIOLEGRADE_COORDINATION_LATE_DISPATCHERS_HPP

#include <oriolegrade/state/time_type.hpp>

#include <cstdint>
#include <string>
#include <unordered_map>

namespace oriolegrade::coordination {

/// A single pause of a dispatcher, up to a few hundred milliseconds, is no
/// reason to avoid it: requests that were late within this time count once.
inline constexpr state::duration late_episode = std::chrono::milliseconds(500);
/// Time for which a dispatcher is avoided after its second late episode;
/// doubles with each further one.
inline constexpr state::duration first_avoidance = std::chrono::seconds(2);
inline constexpr state::duration max_avoidance = std::chrono::seconds(32);
/// Late episodes are forgotten after this time without another one.
inline constexpr state::duration late_memory = std::chrono::seconds(60);

class late_dispatchers
{
public:
    /// A request waited too long for the dispatcher's answer.
    /// @return true when the dispatcher is avoided from now on and was not
    ///         before
    bool late(const std::string& host, state::time_point now);

    /// True while others should be asked first.
    bool is_avoided(const std::string& host, state::time_point now) const;

private:
    struct record
    {
        std::uint32_t episodes = 0;
        state::time_point last_episode{};
        state::time_point avoided_until{};
    };
    std::unordered_map<std::string, record> records_;
};

} // namespace oriolegrade::coordination

#endif
