// Counts who placed the requests of a host, for logs. Dispatchers that work
// side by side and hosts that place for themselves do not see each other's
// requests, so only the counts of all hosts together show how far the decision
// was spread.

#ifndef ORIOLEGRADE_COORDINATION_PLACEMENT_COUNTERS_HPP
#define ORIOLEGRADE_COORDINATION_PLACEMENT_COUNTERS_HPP

#include <oriolegrade/state/enum_names.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace oriolegrade::coordination {

/// Position in the service's order of the host that placed a request.
enum class placing_position : std::uint8_t
{
    first,
    second,
    /// Any other host but the request's own.
    later,
    /// The request's own host, neither first nor second.
    own,
};

/// Why a dispatcher was passed over for a request.
enum class exclusion_reason : std::uint8_t
{
    /// No answer in time.
    late,
    /// Its stream ended.
    lost,
    /// Its view of the register is old.
    stale,
    /// It is stopping.
    leaving,
};

} // namespace oriolegrade::coordination

namespace oriolegrade::state {

template <>
struct enum_names<coordination::placing_position>
{
    static constexpr std::array<std::string_view, 4> value{"first", "second",
                                                           "later", "own"};
};

template <>
struct enum_names<coordination::exclusion_reason>
{
    static constexpr std::array<std::string_view, 4> value{"late", "lost",
                                                           "stale", "leaving"};
};

} // namespace oriolegrade::state

namespace oriolegrade::coordination {

class placement_counters
{
public:
    struct counts
    {
        std::array<std::uint32_t, state::enum_size<placing_position>> placed{};
        std::array<std::uint32_t, state::enum_size<exclusion_reason>>
            excluded{};

        /// True when the first dispatcher placed all requests at once.
        bool all_by_first_dispatcher() const
        {
            auto expected = decltype(placed){};
            expected[state::index_of(placing_position::first)] =
                placed[state::index_of(placing_position::first)];
            return placed == expected && excluded == decltype(excluded){};
        }
    };
    /// By service.
    using counts_map = std::map<std::string, counts>;

    void placed(const std::string& service, placing_position by)
    {
        ++counts_[service].placed[state::index_of(by)];
    }
    void excluded(const std::string& service, exclusion_reason reason)
    {
        ++counts_[service].excluded[state::index_of(reason)];
    }

    /// Counts since the last call.
    counts_map take()
    {
        return std::exchange(counts_, {});
    }

private:
    counts_map counts_;
};

} // namespace oriolegrade::coordination

#endif
