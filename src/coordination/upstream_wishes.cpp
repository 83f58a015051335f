// Replaces the table of wishes as a whole; wishes are rare.

#include <oriolegrade/coordination/upstream_wishes.hpp>

#include <algorithm>
#include <memory>

namespace oriolegrade::coordination {

upstream_wishes::upstream_wishes()
    : rows_(std::make_shared<const table>())
{}

bool upstream_wishes::heard(const std::string& upstream, std::uint64_t born,
                            const state::upstream_wish& wish,
                            state::time_point now)
{
    const auto quiet_until = wish.quiet_until(now);
    const auto expires = quiet_until == state::time_point::max()
                             ? now + leaving_memory
                             : quiet_until;
    const std::lock_guard lock(writing_);
    const auto known = rows_.read();
    const auto found = known->find({upstream, born});
    // Each answer of an upstream that leaves says so again.
    if (found != known->end() && found->second.expires > now &&
        found->second.quiet_until >= quiet_until) {
        return false;
    }
    auto rows = std::make_shared<table>(*known);
    std::erase_if(*rows,
                  [&](const auto& it) { return it.second.expires <= now; });
    if (rows->size() >= max_wishes && !rows->contains({upstream, born})) {
        return false;
    }
    (*rows)[{upstream, born}] = {quiet_until, expires};
    rows_.publish(std::move(rows));
    return true;
}

bool upstream_wishes::heard_unusable(const std::string& upstream,
                                     std::uint64_t born)
{
    const std::lock_guard lock(writing_);
    return unusable_.size() < max_wishes &&
           unusable_.emplace(upstream, born).second;
}

state::upstream_wish upstream_wishes::in_force(const std::string& upstream,
                                               std::uint64_t born,
                                               state::time_point now) const
{
    const auto rows = rows_.read();
    const auto found = rows->find({upstream, born});
    if (found == rows->end() || found->second.expires <= now) {
        return {};
    }
    const auto until = found->second.quiet_until;
    if (until == state::time_point::max()) {
        return {true, {}};
    }
    return {false, until - now};
}

} // namespace oriolegrade::coordination
