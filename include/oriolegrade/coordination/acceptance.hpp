// Acceptance rule by which each host decides, in log order, whether a record is
// in force. It is a pure function of the configuration before the record, so
// that all hosts that read the same log agree.

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
    /// An earlier record changed the same base revision.
    stale_base,
    /// The record in force has the same change id, because the append was
    /// repeated after its response was lost.
    repeated,
};

/// Result of evaluating one record.
struct acceptance
{
    acceptance_outcome verdict = acceptance_outcome::accepted;
    /// Revision in force after the record.
    std::uint64_t revision = 0;
    /// For stale_base and repeated: operator and change id of the record in
    /// force.
    std::string winner;
    state::identifier winner_change;
};

/// Evaluates a record without applying it.
acceptance evaluate(const state::configuration& before,
                    const state::record& rec);

/// Evaluates the record at `offset` and, when accepted, puts it in force.
/// Advances the configuration past the offset in either case.
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
