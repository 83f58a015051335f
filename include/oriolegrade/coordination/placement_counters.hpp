// Counts, for logs, which hosts placed the requests of this host. Concurrent
// dispatchers, and hosts that place their own requests, do not see each other's
// requests, so only the sum over all hosts shows how many hosts made placement
// decisions.

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

/// Position, in the service's dispatcher order, of the host that placed a
/// request.
enum class placing_position : std::uint8_t
{
    first,
    second,
    /// Any other host but the request's own.
    later,
    /// The request's own host, neither first nor second.
    own,
};

/// Why a request excluded a dispatcher.
enum class exclusion_reason : std::uint8_t
{
    /// No answer in time.
    late,
    /// Its stream ended.
    lost,
    /// Its view of the register is stale.
    stale,
    /// It is shutting down.
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

        /// True when the first dispatcher placed all requests and none was
        /// excluded.
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

    /// Returns the counts since the last call and resets them.
    counts_map take()
    {
        return std::exchange(counts_, {});
    }

private:
    counts_map counts_;
};

} // namespace oriolegrade::coordination

#endif
