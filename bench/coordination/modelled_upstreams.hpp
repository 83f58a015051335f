// Upstreams of one service as they truly are: slots, a short line of their own,
// spells in which they fail, slow and cold ones.

#ifndef ORIOLEGRADE_BENCH_COORDINATION_MODELLED_UPSTREAMS_HPP
#define ORIOLEGRADE_BENCH_COORDINATION_MODELLED_UPSTREAMS_HPP

#include "dispatch_patterns.hpp"
#include "seeded_random.hpp"

#include <oriolegrade/coordination/picker.hpp>
#include <oriolegrade/state/registered_upstream.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace oriolegrade::bench {

class modelled_upstreams
{
public:
    /// Requests that wait at an upstream; it refuses further ones unrun.
    static constexpr std::size_t backlog = 3;
    static constexpr state::duration spell_length = 9s;
    static constexpr double spell_failure_rate = 0.85;
    static constexpr double slow_factor = 5;
    static constexpr double cold_factor = 3;
    static constexpr state::duration warm_up = 3s;
    /// The users count an upstream as sound so long after its last failure.
    static constexpr state::duration sound_after = 2s;

    struct upstream
    {
        state::registered_upstream spec;
        std::uint32_t running = 0;
        std::deque<std::size_t> waiting;
        state::time_point joined{};
        bool gone = false;
    };

    modelled_upstreams(std::size_t n, const pattern_effects& effects,
                       std::uint64_t seed)
        : effects_(effects)
        , seed_(seed)
    {
        for (; n > 0; --n) {
            add({}, {});
        }
    }

    /// @param joined when it starts to warm up; the epoch: long ago
    void add(state::time_point joined, state::duration warm_up_left)
    {
        const auto n = list_.size();
        upstream it;
        it.spec.id = "upstream-" + std::to_string(n);
        it.spec.service = "s";
        it.spec.data_centre = "dc" + std::to_string(n % data_centres);
        it.spec.slots = slots_per_upstream;
        it.spec.warmup_left = warm_up_left;
        it.spec.address = {0x7f000001, static_cast<std::uint16_t>(1000 + n)};
        it.joined = joined;
        by_id_.emplace(it.spec.id, n);
        list_.push_back(std::move(it));
    }

    std::size_t size() const
    {
        return list_.size();
    }
    upstream& at(std::size_t n)
    {
        return list_[n];
    }
    const upstream& at(std::size_t n) const
    {
        return list_[n];
    }
    std::size_t index_of(const std::string& id) const
    {
        return by_id_.at(id);
    }
    std::vector<state::registered_upstream> registered() const
    {
        std::vector<state::registered_upstream> out;
        for (const auto& it : list_) {
            if (!it.gone) {
                out.push_back(it.spec);
            }
        }
        return out;
    }

    bool is_slow(std::size_t n) const
    {
        return draw(n, 0) < effects_.slow_share;
    }
    bool in_spell(std::size_t n, state::time_point now) const
    {
        const auto period = now.time_since_epoch() / spell_length;
        return draw(n, static_cast<std::uint64_t>(period) + 1) <
               effects_.spell_share;
    }
    /// Not in a spell, and none has ended lately.
    bool is_sound(std::size_t n, state::time_point now) const
    {
        return !in_spell(n, now) && !in_spell(n, now - sound_after);
    }
    bool has_slot(std::size_t n) const
    {
        return list_[n].running < list_[n].spec.slots;
    }
    /// Factor by which its work takes longer.
    double slowness(std::size_t n, state::time_point now) const
    {
        const auto& it = list_[n];
        const bool cold =
            it.joined != state::time_point{} && now < it.joined + warm_up;
        return (is_slow(n) ? slow_factor : 1) * (cold ? cold_factor : 1);
    }

private:
    static constexpr std::size_t data_centres = 4;

    /// A number in [0, 1) that depends on the upstream and the period only.
    double draw(std::size_t n, std::uint64_t period) const
    {
        seeded_random random{seed_ * 0x10001 + n * 0x9e3779b1 + period * 7919};
        random.next();
        return coordination::uniform(random);
    }

    pattern_effects effects_;
    std::uint64_t seed_;
    std::vector<upstream> list_;
    std::unordered_map<std::string, std::size_t> by_id_;
};

} // namespace oriolegrade::bench

#endif
