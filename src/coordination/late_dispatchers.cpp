// Doubling avoidance of late dispatchers.

#include <oriolegrade/coordination/late_dispatchers.hpp>

#include <algorithm>

namespace oriolegrade::coordination {

bool late_dispatchers::late(const std::string& host, state::time_point now)
{
    std::erase_if(records_, [now](const auto& it) {
        return now - it.second.last_episode >= late_memory;
    });
    auto [found, added] = records_.try_emplace(host);
    auto& it = found->second;
    if (!added && now - it.last_episode < late_episode) {
        return false;
    }
    it.last_episode = now;
    if (++it.episodes < 2) {
        return false;
    }
    const bool was_avoided = now < it.avoided_until;
    constexpr std::uint32_t max_doublings = 4;
    const auto avoidance =
        first_avoidance * (1U << std::min(it.episodes - 2, max_doublings));
    it.avoided_until =
        now + std::min<state::duration>(avoidance, max_avoidance);
    return !was_avoided;
}

bool late_dispatchers::is_avoided(const std::string& host,
                                  state::time_point now) const
{
    const auto it = records_.find(host);
    return it != records_.end() && now < it->second.avoided_until;
}

} // namespace oriolegrade::coordination
