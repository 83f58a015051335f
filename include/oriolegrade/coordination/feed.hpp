// Configuration updates from an agent to the entry process on its host.

#ifndef ORIOLEGRADE_COORDINATION_FEED_HPP
#define ORIOLEGRADE_COORDINATION_FEED_HPP

#include <oriolegrade/state/config_message_type.hpp>

#include <vector>

namespace oriolegrade::coordination {

/// Update from the requested offset to the agent's configuration. An entry
/// process without configuration receives all entries, others only those that
/// they lack. One that is ahead of a restarted agent never goes back to a
/// lower offset.
state::feed_update make_feed_update(const state::configuration& content,
                                    const state::feed_request& request,
                                    std::vector<state::skipped_record> skipped);

/// Update for one change that the agent applied, without a scan of the whole
/// configuration.
/// @param changed entries that came into force from `base_offset` on
state::feed_update make_feed_delta(std::vector<state::entry_ptr> changed,
                                   std::uint64_t base_offset,
                                   const state::configuration& content,
                                   std::vector<state::skipped_record> skipped);

enum class feed_result : std::uint8_t
{
    applied,
    /// The update ends at or below the current offset.
    nothing_new,
    /// Changes before the update are missing; the entry process requests them
    /// again.
    gap,
};

/// Applies an update to the configuration of an entry process.
/// @param content replaced with a new configuration if applied
feed_result apply_feed_update(state::configuration_ptr& content,
                              const state::feed_update& update);

} // namespace oriolegrade::coordination

namespace oriolegrade::state {

template <>
struct enum_names<coordination::feed_result>
{
    static constexpr std::array<std::string_view, 3> value{
        "applied", "nothing_new", "gap"};
};

} // namespace oriolegrade::state

#endif
