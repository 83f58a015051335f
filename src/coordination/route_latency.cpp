// Moving averages of a route's latencies.

#include <oriolegrade/coordination/route_latency.hpp>

#include <algorithm>
#include <chrono>

namespace oriolegrade::coordination {

void route_latency::drop()
{
    in_flight_ -= std::min<std::uint64_t>(in_flight_, 1);
}

void route_latency::add(state::duration took)
{
    constexpr std::uint64_t averaged_answers = 40;
    drop();
    ++answers_;
    const auto weight =
        static_cast<double>(std::min(answers_, averaged_answers));
    const double ms = std::chrono::duration<double, std::milli>(took).count();
    mean_ += (ms - mean_) / weight;
    mean_square_ += (ms * ms - mean_square_) / weight;
}

bool route_latency::is_representative() const
{
    // The largest services of a fleet have some hundred requests in flight;
    // after as many responses the first requests have all ended.
    constexpr std::uint64_t sufficient_answers = 100;
    constexpr std::uint64_t min_answers = 4;
    return answers_ >= min_answers &&
           (answers_ >= in_flight_ || answers_ >= sufficient_answers);
}

state::duration route_latency::usual(state::duration expected) const
{
    if (mean_ <= 0) {
        return expected;
    }
    const auto seen = std::chrono::duration_cast<state::duration>(
        std::chrono::duration<double, std::milli>(mean_square_ / mean_));
    return is_representative() ? seen : std::max(seen, expected);
}

} // namespace oriolegrade::coordination
