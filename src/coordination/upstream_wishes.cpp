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
    const std::lock_guard lock(writing_);
    auto rows = std::make_shared<table>(*rows_.read());
    std::erase_if(*rows,
                  [&](const auto& it) { return it.second.expires <= now; });
    const auto found = rows->find({upstream, born});
    if (found == rows->end() && rows->size() >= max_wishes) {
        return false;
    }
    const auto before = found == rows->end() ? row{} : found->second;
    auto after = before;
    after.leaving = before.leaving || wish.leaving;
    if (wish.pause) {
        after.quiet_until = std::max(before.quiet_until, now + *wish.pause);
    }
    after.expires =
        std::max(after.quiet_until,
                 after.leaving ? now + leaving_memory : state::time_point{});
    const bool known = before.leaving == after.leaving &&
                       before.quiet_until >= after.quiet_until;
    (*rows)[{upstream, born}] = after;
    rows_.publish(std::move(rows));
    return !known;
}

state::upstream_wish upstream_wishes::in_force(const std::string& upstream,
                                               std::uint64_t born,
                                               state::time_point now) const
{
    const auto rows = rows_.read();
    state::upstream_wish out;
    if (rows->empty()) {
        return out;
    }
    const auto found = rows->find({upstream, born});
    if (found == rows->end()) {
        return out;
    }
    out.leaving = found->second.leaving && found->second.expires > now;
    if (found->second.quiet_until > now) {
        out.pause = found->second.quiet_until - now;
    }
    return out;
}

} // namespace oriolegrade::coordination
