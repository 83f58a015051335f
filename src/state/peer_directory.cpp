// Indexes of the peer directory.

#include <oriolegrade/state/peer_directory.hpp>

#include <algorithm>

namespace oriolegrade::state {

peer_directory::peer_directory(std::vector<peer_entry> peers)
    : peers_(std::move(peers))
{
    for (std::size_t n = 0; n < peers_.size(); ++n) {
        for (const auto& it : peers_[n].incarnations) {
            by_incarnation_.emplace(it, n);
        }
        if (!peers_[n].leaving) {
            live_names_.push_back(peers_[n].name);
        }
    }
    std::sort(live_names_.begin(), live_names_.end());
}

const peer_entry*
peer_directory::find_incarnation(const identifier& incarnation) const
{
    const auto it = by_incarnation_.find(incarnation);
    return it == by_incarnation_.end() ? nullptr : &peers_[it->second];
}

const peer_entry* peer_directory::find_by_name(std::string_view name) const
{
    const auto it =
        std::find_if(peers_.begin(), peers_.end(),
                     [&](const peer_entry& peer) { return peer.name == name; });
    return it == peers_.end() ? nullptr : &*it;
}

} // namespace oriolegrade::state
