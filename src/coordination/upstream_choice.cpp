// Costs of upstreams for a request.

#include <oriolegrade/coordination/upstream_choice.hpp>

#include <algorithm>
#include <chrono>
#include <limits>
#include <string>
#include <utility>

namespace oriolegrade::coordination {

namespace {

using state::send_kind;

/// Cost of an upstream in another data centre; 1 is the cost of a fully loaded
/// upstream. Traffic between data centres is charged by the byte, so uploads
/// cost more.
constexpr double remote_cost = 0.4;
constexpr double remote_upload_cost = 1.0;
/// With at least this share of a service's upstreams in service, non-idempotent
/// requests try a suspected one only when all others are full. Below it, a
/// failure of one of those in service would affect too many requests.
constexpr double min_in_service_share = 0.5;
/// Exceeds every cost within one tier: an upstream on trial is chosen when none
/// in service has a free slot, and a held one after those.
constexpr double tier_cost = 100.0;
/// The older a failure, the less it predicts the next one.
constexpr double max_failure_age = 10.0;

double held_cost(const upstream_tracker& tracker, state::time_point now)
{
    const std::chrono::duration<double> age = now - tracker.last_failure();
    return 2 * tier_cost - std::min(age.count(), max_failure_age);
}

bool are_few_in_service(const upstream_index& index)
{
    return static_cast<double>(index.count(upstream_standing::in_service)) <
           min_in_service_share * static_cast<double>(index.available());
}

/// All upstreams are held: each is as good as the others.
bool are_all_held(const upstream_index& index)
{
    return index.count(upstream_standing::held) == index.available();
}

/// Cheapest upstream of several pools for one request.
class cheapest_upstream
{
public:
    cheapest_upstream(const upstream_index& index,
                      const state::place_request& request,
                      state::time_point now)
        : index_(index)
        , request_(request)
        , now_(now)
    {}

    bool is_usable(const upstream_entry& entry) const
    {
        return may_be_sent(entry.tracker, request_, now_);
    }

    /// @param tier_of takes a tracker; the part of the cost that depends on its
    ///        standing
    template <class Tier>
    void consider(upstream_use use, Tier tier_of)
    {
        index_.find_best(
            use, [this](const upstream_entry& it) { return is_usable(it); },
            [&](const std::string& data_centre, upstream_entry& entry) {
                const auto& tracker = entry.tracker;
                const double cost = upstream_index::load_cost(tracker, now_) +
                                    distance(data_centre) + tier_of(tracker);
                if (cost < cost_ || (cost == cost_ && is_used_less(entry))) {
                    best_ = &entry;
                    cost_ = cost;
                }
            });
    }

    upstream_entry* best() const
    {
        return best_;
    }

private:
    double distance(const std::string& data_centre) const
    {
        if (data_centre == request_.data_centre) {
            return 0;
        }
        return request_.upload ? remote_upload_cost : remote_cost;
    }

    /// Of equal cost: the least recently used first.
    bool is_used_less(const upstream_entry& entry) const
    {
        const auto& a = entry.tracker;
        const auto& b = best_->tracker;
        return std::pair(a.last_begin(), a.order()) <
               std::pair(b.last_begin(), b.order());
    }

    const upstream_index& index_;
    const state::place_request& request_;
    state::time_point now_;
    upstream_entry* best_ = nullptr;
    double cost_ = std::numeric_limits<double>::max();
};

} // namespace

bool may_be_sent(const upstream_tracker& tracker,
                 const state::place_request& request, state::time_point now)
{
    const auto& tried = request.tried;
    return tracker.is_ready(now) && tracker.reachable_from(request.host, now) &&
           std::find(tried.begin(), tried.end(), tracker.spec().id) ==
               tried.end();
}

bool has_candidates(const upstream_index& index, bool held,
                    state::time_point now)
{
    return index.size(upstream_use::in_service) > 0 ||
           index.size(upstream_use::on_trial) > 0 ||
           index.size(upstream_use::long_on_trial) > 0 ||
           index.size(upstream_use::quick_trial) > 0 ||
           (index.size(upstream_use::held) > 0 &&
            (held || are_all_held(index))) ||
           index.floor().is_any_due(now);
}

upstream_entry* choose_upstream(const upstream_index& index,
                                const state::place_request& request,
                                bool may_try, state::time_point now)
{
    cheapest_upstream found(index, request, now);
    const auto usable = [&](const upstream_entry& it) {
        return found.is_usable(it);
    };
    if (request.kind == send_kind::first) {
        if (auto* due = index.floor().find_due(usable, now)) {
            return due;
        }
        auto* soon =
            may_try ? index.floor().find_due_soon(usable, now) : nullptr;
        if (soon != nullptr) {
            return soon;
        }
    }
    const bool few = are_few_in_service(index);
    const auto tier = [](double cost) {
        return [cost](const upstream_tracker&) {
            return cost;
        };
    };
    const auto held = [now](const upstream_tracker& it) {
        return held_cost(it, now);
    };
    found.consider(upstream_use::in_service, tier(0));
    found.consider(upstream_use::on_trial, tier(may_try ? 0 : tier_cost));
    found.consider(upstream_use::long_on_trial,
                   tier(may_try || few ? 0 : tier_cost));
    if (may_try) {
        found.consider(upstream_use::quick_trial, tier(0));
    } else {
        found.consider(upstream_use::quick_trial, held);
    }
    if (are_all_held(index)) {
        found.consider(upstream_use::held, held);
    }
    return found.best();
}

upstream_entry* choose_held_upstream(const upstream_index& index,
                                     const state::place_request& request,
                                     state::time_point now)
{
    cheapest_upstream found(index, request, now);
    const auto held = [now](const upstream_tracker& it) {
        return held_cost(it, now);
    };
    found.consider(upstream_use::quick_trial, held);
    found.consider(upstream_use::held, held);
    return found.best();
}

} // namespace oriolegrade::coordination
