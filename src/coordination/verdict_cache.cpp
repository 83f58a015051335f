// Replacement and expiry of verdicts.

#include <oriolegrade/coordination/verdict_cache.hpp>

#include <algorithm>

namespace oriolegrade::coordination {

bool verdict_cache::accept(const state::verdict_set& set, state::time_point now)
{
    const service_key key{set.service, set.schema_version};
    auto [it, fresh] = services_.try_emplace(key);
    auto& known = it->second;
    if (!fresh && known.set.collector == set.collector &&
        set.sequence <= known.set.sequence) {
        return false;
    }
    if (!fresh && known.set.collector != set.collector) {
        known.previous = known.effective;
        known.previous_until = now + verdict_lifetime;
    }
    known.set = set;
    known.confirmed_at = now;
    return refresh(known);
}

void verdict_cache::confirm(const service_key& key, state::time_point now)
{
    const auto it = services_.find(key);
    if (it != services_.end()) {
        it->second.confirmed_at = now;
    }
}

bool verdict_cache::expire(state::time_point now)
{
    bool changed = false;
    for (auto it = services_.begin(); it != services_.end();) {
        auto& known = it->second;
        if (now >= known.previous_until) {
            known.previous.clear();
        }
        if (now - known.confirmed_at >= verdict_lifetime) {
            known.set.verdicts.clear();
            // The collector must send its set again after the expiry.
            known.set.sequence = 0;
        }
        changed = refresh(known) || changed;
        const bool old = now - known.confirmed_at >= service_retention;
        it = old ? services_.erase(it) : std::next(it);
    }
    return changed;
}

bool verdict_cache::refresh(known_set& it)
{
    auto next = it.set.verdicts;
    for (const auto& old : it.previous) {
        const bool named =
            std::any_of(next.begin(), next.end(), [&](const auto& verdict) {
                return verdict.upstream == old.upstream;
            });
        if (!named && next.size() < state::max_verdicts) {
            next.push_back(old);
        }
    }
    if (next == it.effective) {
        return false;
    }
    it.effective = std::move(next);
    it.version = ++version_;
    return true;
}

std::vector<state::verdict_set>
verdict_cache::changed_since(std::uint64_t version) const
{
    std::vector<state::verdict_set> sets;
    for (const auto& [key, known] : services_) {
        if (known.version > version) {
            sets.push_back({known.set.collector, key.name, key.schema_version,
                            known.version, known.effective});
        }
    }
    return sets;
}

std::uint64_t
verdict_cache::known_sequence(const service_key& key,
                              const state::endpoint& collector) const
{
    const auto it = services_.find(key);
    return it != services_.end() && it->second.set.collector == collector
               ? it->second.set.sequence
               : 0;
}

std::vector<service_key> verdict_cache::services_with_verdicts() const
{
    std::vector<service_key> keys;
    for (const auto& [key, known] : services_) {
        if (!known.effective.empty()) {
            keys.push_back(key);
        }
    }
    return keys;
}

} // namespace oriolegrade::coordination
