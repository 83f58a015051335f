// Counts who placed the requests of a host, for logs. Dispatchers that work
// side by side and hosts that place for themselves do not see each other's
// requests, so only the counts of all hosts together show how far the decision
// was spread.

#ifndef ORIOLEGRADE_COORDINATION_PLACEMENT_TALLY_HPP
#define ORIOLEGRADE_COORDINATION_PLACEMENT_TALLY_HPP

#include <oriolegrade/state/enum_names.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace oriolegrade::coordination {

/// Position in the service's order of the host that placed a request.
enum class placer : std::uint8_t
{
    first,
    second,
    /// Any other host but the request's own.
    later,
    /// The request's own host, neither first nor second.
    own,
};

/// Why a dispatcher was passed over for a request.
enum class pass_over : std::uint8_t
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
struct enum_names<coordination::placer>
{
    static constexpr std::array<std::string_view, 4> value{"first", "second",
                                                           "later", "own"};
};

template <>
struct enum_names<coordination::pass_over>
{
    static constexpr std::array<std::string_view, 4> value{"late", "lost",
                                                           "stale", "leaving"};
};

} // namespace oriolegrade::state

namespace oriolegrade::coordination {

class placement_tally
{
public:
    struct counts
    {
        std::array<std::uint32_t, state::enum_size<placer>> placed{};
        std::array<std::uint32_t, state::enum_size<pass_over>> passed_over{};

        /// True when the first dispatcher placed all requests at once.
        bool is_plain() const
        {
            auto plain = decltype(placed){};
            plain[state::index_of(placer::first)] =
                placed[state::index_of(placer::first)];
            return placed == plain && passed_over == decltype(passed_over){};
        }
    };
    /// By service.
    using counts_map = std::map<std::string, counts>;

    void placed(const std::string& service, placer by)
    {
        ++counts_[service].placed[state::index_of(by)];
    }
    void passed_over(const std::string& service, pass_over why)
    {
        ++counts_[service].passed_over[state::index_of(why)];
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
