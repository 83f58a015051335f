// Directory of the fleet's hosts for an entry process: the addresses at which
// they accept forwarded requests and the incarnations that they hold.

#ifndef ORIOLEGRADE_STATE_PEER_DIRECTORY_HPP
#define ORIOLEGRADE_STATE_PEER_DIRECTORY_HPP

#include <oriolegrade/state/endpoint.hpp>
#include <oriolegrade/state/identifier.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace oriolegrade::state {

/// Maximum incarnations that one host holds: its own and those handed over to
/// it.
inline constexpr std::size_t max_held_incarnations = 16;

struct peer_entry
{
    std::string name;
    std::string data_centre;
    /// Address of the entry process for forwarded requests.
    endpoint forward;
    /// Own incarnation first; empty while the entry process is not known.
    std::vector<identifier> incarnations;
    bool leaving = false;

    bool operator==(const peer_entry&) const = default;
};

/// Immutable once built; workers read it through RCU.
class peer_directory
{
public:
    peer_directory() = default;
    explicit peer_directory(std::vector<peer_entry> peers);

    const std::vector<peer_entry>& peers() const
    {
        return peers_;
    }

    /// Host that holds an incarnation, or null.
    const peer_entry* find_incarnation(const identifier& incarnation) const;

    /// Host with a name, or null.
    const peer_entry* find_by_name(std::string_view name) const;

    /// Names of hosts that are not leaving, sorted.
    const std::vector<std::string>& live_names() const
    {
        return live_names_;
    }

private:
    std::vector<peer_entry> peers_;
    std::vector<std::string> live_names_;
    /// Index into peers_.
    std::unordered_map<identifier, std::size_t, identifier_hash>
        by_incarnation_;
};

} // namespace oriolegrade::state

#endif
