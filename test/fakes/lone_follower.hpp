// Callbacks of a rules_follower whose host reads for no others and has none to
// ask, and the version that its document brings into force.

#ifndef ORIOLEGRADE_TEST_FAKES_LONE_FOLLOWER_HPP
#define ORIOLEGRADE_TEST_FAKES_LONE_FOLLOWER_HPP

#include <oriolegrade/protocol/dispatch_messages.hpp>
#include <oriolegrade/transport/gateway/gateway_shared.hpp>

#include <boost/fiber/operations.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace oriolegrade::test {

/// A test replaces what it looks at.
template <class Follower>
void make_lone(Follower& follower)
{
    follower.on_rules = [] {
    };
    follower.on_confirmed = [] {
    };
    follower.is_reader = [] {
        return false;
    };
    follower.ask_peer = [](const std::string&, std::uint64_t) {
        return std::optional<protocol::fleet_view>();
    };
}

/// Answer of another host with a document, or without.
inline std::optional<protocol::fleet_view>
view_of(const std::optional<std::string>& document)
{
    return document ? std::optional(protocol::fleet_view{*document, {}})
                    : std::nullopt;
}

inline std::uint64_t version_in_force(const transport::gateway_shared& shared)
{
    return shared.rules.read()->rules().version;
}

/// True when the version is in force within the time.
inline bool reaches_version(const transport::gateway_shared& shared,
                            std::uint64_t wanted,
                            std::chrono::milliseconds limit)
{
    const auto until = std::chrono::steady_clock::now() + limit;
    while (version_in_force(shared) < wanted &&
           std::chrono::steady_clock::now() < until) {
        boost::this_fiber::sleep_for(std::chrono::milliseconds(5));
    }
    return version_in_force(shared) == wanted;
}

} // namespace oriolegrade::test

#endif
