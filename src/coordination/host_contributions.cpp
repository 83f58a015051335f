// Capping and decay of the contributions of hosts.

#include <oriolegrade/coordination/host_contributions.hpp>

#include <algorithm>
#include <cmath>

namespace oriolegrade::coordination {

namespace {

constexpr double decay_seconds = 60.0;
/// Decay is applied at this interval to save processor time.
constexpr state::duration decay_step = std::chrono::seconds(1);
/// About a quarter of the log-likelihood ratio of one failed request.
constexpr float min_counted_contribution = 0.75F;

} // namespace

void host_contributions::decay(state::time_point now)
{
    const auto passed = now - decayed_;
    if (passed < decay_step) {
        return;
    }
    const auto factor = static_cast<float>(std::exp(
        -std::chrono::duration<double>(passed).count() / decay_seconds));
    for (auto& it : entries_) {
        it.contribution *= factor;
    }
    decayed_ = now;
}

host_contributions::entry* host_contributions::find(const state::endpoint& host)
{
    const auto it =
        std::find_if(entries_.begin(), entries_.end(), [&](const entry& e) {
            return e.contribution > 0 && e.host == host;
        });
    return it == entries_.end() ? nullptr : &*it;
}

double host_contributions::add(const state::endpoint& host, double ratio,
                               double cap, state::time_point now)
{
    auto* own = find(host);
    if (ratio <= 0) {
        if (own != nullptr) {
            own->contribution =
                std::max(0.0F, own->contribution + static_cast<float>(ratio));
        }
        return ratio;
    }
    decay(now);
    if (own == nullptr) {
        own = &*std::min_element(entries_.begin(), entries_.end(),
                                 [](const entry& a, const entry& b) {
                                     return a.contribution < b.contribution;
                                 });
        *own = {host, 0};
    }
    const double counted = std::clamp(cap - own->contribution, 0.0, ratio);
    own->contribution += static_cast<float>(counted);
    return counted;
}

std::uint32_t host_contributions::hosts(state::time_point now) const
{
    const double age = std::chrono::duration<double>(now - decayed_).count();
    const auto factor = static_cast<float>(std::exp(-age / decay_seconds));
    return static_cast<std::uint32_t>(
        std::count_if(entries_.begin(), entries_.end(), [&](const entry& it) {
            return it.contribution * factor >= min_counted_contribution;
        }));
}

} // namespace oriolegrade::coordination
