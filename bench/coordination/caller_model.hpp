// Virtual-time population of callers: many innocent ones with skewed rates
// and a few heavy ones, against a limiter.

#ifndef ORIOLEGRADE_BENCH_COORDINATION_CALLER_MODEL_HPP
#define ORIOLEGRADE_BENCH_COORDINATION_CALLER_MODEL_HPP

#include "picking_model.hpp"

#include <string>

namespace oriolegrade::bench {

struct caller_model_options
{
    std::size_t callers = 100000;
    /// Exponent of Zipf's law of the innocent callers' rates.
    double skew = 0.8;
    /// Requests per second of all innocent callers, and of each heavy one.
    double innocent_rate = 20000;
    double heavy_rate = 1000;
    std::size_t heavy = 5;
    /// Innocent callers stay below this rate: no innocent one comes near the
    /// limit by itself.
    double innocent_most = 50;
    double seconds = 20;
    std::uint64_t seed = 1;
};

struct caller_model_result
{
    std::uint64_t innocent = 0;
    std::uint64_t innocent_refused = 0;
    std::uint64_t heavy = 0;
    std::uint64_t heavy_admitted = 0;
    /// What the heavy callers may send within the limit.
    double heavy_allowed = 0;
};

/// Draws callers in proportion to their rates.
class caller_population
{
public:
    explicit caller_population(const caller_model_options& o)
    {
        std::vector<double> rates;
        double sum = 0;
        for (std::size_t i = 0; i < o.callers; ++i) {
            rates.push_back(std::pow(static_cast<double>(i + 1), -o.skew));
            sum += rates.back();
        }
        for (auto& r : rates) {
            r = std::min(r * o.innocent_rate / sum, o.innocent_most);
        }
        rates.insert(rates.end(), o.heavy, o.heavy_rate);
        for (std::size_t i = 0; i < rates.size(); ++i) {
            total_ += rates[i];
            cumulative_.push_back(total_);
            names_.push_back("caller-" + std::to_string(i));
        }
    }

    double total_rate() const
    {
        return total_;
    }
    std::size_t draw(seeded_random& random) const
    {
        const auto at = coordination::uniform(random) * total_;
        return static_cast<std::size_t>(
            std::upper_bound(cumulative_.begin(), cumulative_.end(), at) -
            cumulative_.begin());
    }
    const std::string& name(std::size_t i) const
    {
        return names_[i];
    }

private:
    std::vector<double> cumulative_;
    std::vector<std::string> names_;
    double total_ = 0;
};

template <class Limits>
caller_model_result run_callers(const caller_model_options& o, Limits& limits,
                                double limit_per_second)
{
    const caller_population population(o);
    seeded_random random{o.seed};
    caller_model_result out;
    const auto gap =
        duration(static_cast<std::int64_t>(1e9 / population.total_rate()));
    time_point now{std::chrono::seconds(100)};
    const auto end = now + duration(static_cast<std::int64_t>(o.seconds * 1e9));
    while (now < end) {
        now += random.exponential(gap);
        const auto i = population.draw(random);
        const bool admitted = limits.count(population.name(i), now).has_value();
        if (i < o.callers) {
            ++out.innocent;
            out.innocent_refused += admitted ? 0 : 1;
        } else {
            ++out.heavy;
            out.heavy_admitted += admitted ? 1 : 0;
        }
    }
    out.heavy_allowed =
        limit_per_second * o.seconds * static_cast<double>(o.heavy);
    return out;
}

} // namespace oriolegrade::bench

#endif
