// Sums over the buckets of the sliding window.

#include <oriolegrade/coordination/window_budget.hpp>

namespace oriolegrade::coordination {

window_budget::window_budget(const window_budget_options& options)
    : options_(options)
{}

std::int64_t window_budget::bucket_number(state::time_point now) const
{
    return now.time_since_epoch() / (options_.window / buckets_per_window);
}

double window_budget::allowed(std::int64_t number) const
{
    const auto requests = buckets_.sum(&counts::requests,
                                       number - buckets_per_window + 1, number);
    return options_.ratio * requests + options_.slack;
}

std::uint32_t window_budget::extras(std::int64_t number) const
{
    return buckets_.sum(&counts::extras, number - buckets_per_window, number);
}

void window_budget::add_request(state::time_point now)
{
    ++buckets_.at(bucket_number(now)).requests;
}

bool window_budget::try_take(double share, state::time_point now)
{
    const auto number = bucket_number(now);
    if (extras(number) + 1 > share * allowed(number)) {
        return false;
    }
    ++buckets_.at(number).extras;
    return true;
}

void window_budget::refund(state::time_point taken_at, state::time_point now)
{
    const auto number = bucket_number(taken_at);
    // Older buckets are outside the window.
    if (bucket_number(now) - number > buckets_per_window) {
        return;
    }
    auto& it = buckets_.at(number);
    it.extras -= it.extras > 0 ? 1 : 0;
}

void window_budget::postpone(state::time_point taken_at, state::time_point now)
{
    refund(taken_at, now);
    ++buckets_.at(bucket_number(now)).extras;
}

double window_budget::used(state::time_point now) const
{
    const auto number = bucket_number(now);
    const auto limit = allowed(number);
    return limit > 0 ? extras(number) / limit : 1.0;
}

} // namespace oriolegrade::coordination
