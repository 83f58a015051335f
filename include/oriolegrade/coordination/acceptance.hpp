// The rule by which every host decides, in log order, whether a record is in
// force. It is a pure function of the configuration before the record, so
// hosts that read the same log agree.

#ifndef ORIOLEGRADE_COORDINATION_ACCEPTANCE_HPP
#define ORIOLEGRADE_COORDINATION_ACCEPTANCE_HPP

#include <oriolegrade/state/configuration.hpp>
#include <oriolegrade/state/enum_names.hpp>
#include <oriolegrade/state/record_type.hpp>

#include <array>
#include <cstdint>
#include <string>

namespace oriolegrade::coordination {

enum class acceptance_outcome : std::uint8_t
{
    accepted,
    /// Another record changed the same base revision first.
    stale_base,
    /// The same change id stands earlier in the log (an append repeated
    /// after its answer was lost).
    repeated,
};

/// Result of judging one record.
struct acceptance
{
    acceptance_outcome verdict = acceptance_outcome::accepted;
    /// Revision in force after the record.
    std::uint64_t revision = 0;
    /// For stale_base: the operator and change that won.
    std::string winner;
    state::identifier winner_change;
};

/// Judges a record without applying it.
acceptance evaluate(const state::configuration& before,
                    const state::record& rec);

/// Judges the record at `offset` and, when accepted, puts it in force.
/// Moves the configuration past the offset in either case.
acceptance apply(state::configuration& conf, std::uint64_t offset,
                 state::record rec);

} // namespace oriolegrade::coordination

namespace oriolegrade::state {

template <>
struct enum_names<coordination::acceptance_outcome>
{
    static constexpr std::array<std::string_view, 3> value{
        "accepted", "stale_base", "repeated"};
};

} // namespace oriolegrade::state

#endif
