// Configuration from an agent to the entry on its host.

#ifndef ORIOLEGRADE_COORDINATION_FEED_HPP
#define ORIOLEGRADE_COORDINATION_FEED_HPP

#include <oriolegrade/state/config_message_type.hpp>

#include <vector>

namespace oriolegrade::coordination {

/// Update that brings an entry from the requested offset to the agent's
/// content. An entry without configuration, or ahead of a restarted agent,
/// gets nothing but the entries it lacks; it never goes back.
state::feed_update make_feed_update(const state::configuration& content,
                                    const state::feed_request& request,
                                    std::vector<state::skipped_record> skipped);

/// Update for one step that the agent made, without a scan of its content.
/// @param changed entries that came into force from `base_offset` on
state::feed_update make_feed_delta(std::vector<state::entry_ptr> changed,
                                   std::uint64_t base_offset,
                                   const state::configuration& content,
                                   std::vector<state::skipped_record> skipped);

enum class feed_result : std::uint8_t
{
    applied,
    /// At or below the entry's offset.
    nothing_new,
    /// Changes before the update are missing; the entry asks again.
    gap,
};

/// Applies an update to the entry's configuration.
/// @param content replaced by a new configuration when applied
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
