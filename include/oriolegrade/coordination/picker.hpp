// Selects an upstream for one attempt of a request. Pickers differ in how they
// compare candidates and share the rules of eligibility.

#ifndef ORIOLEGRADE_COORDINATION_PICKER_HPP
#define ORIOLEGRADE_COORDINATION_PICKER_HPP

#include <oriolegrade/coordination/concepts.hpp>
#include <oriolegrade/state/enum_names.hpp>
#include <oriolegrade/state/pick_table.hpp>
#include <oriolegrade/state/result.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <concepts>
#include <cstdint>
#include <span>

namespace oriolegrade::coordination {

enum class pick_refusal : std::uint8_t
{
    /// No candidate is allowed to receive this request.
    no_upstream,
    /// Every usable candidate has already been tried.
    all_excluded,
    /// Every usable candidate is at its concurrency limit.
    over_limit,
};

struct pick_request
{
    /// Safe to resend; upstreams on trial receive only such requests.
    bool idempotent = false;
    /// Upstreams that refused an earlier attempt.
    std::span<const state::endpoint> excluded;
};

struct pick_choice
{
    /// Index of a candidate in the table.
    std::size_t index = 0;
    /// Chosen by load reports; input of state::report_trust.
    bool guided = false;
};

using pick_result = state::result<pick_choice, pick_refusal>;

/// Selects a candidate of a table.
template <class Picker, class Random>
concept picker = requires(const Picker& p, const state::pick_table& table,
                          const pick_request& request, Random& random,
                          state::time_point now)
{
    {
        p.pick(table, request, random, now)
        } -> std::same_as<pick_result>;
};

/// One in this many idempotent picks goes to an upstream on trial.
inline constexpr std::uint64_t trial_period = 50;

/// Weight of upstreams in other data centres for attempts after the first. A
/// shed costs one round trip, which is shorter within the local data centre.
/// First attempts do not prefer the local data centre, since that would
/// overload data centres with few servers.
inline constexpr double remote_redirect_weight = 0.1;

/// Uniform number in [0, 1).
template <random_source Random>
double uniform(Random& random)
{
    return static_cast<double>(random.next() >> 11U) * 0x1p-53;
}

namespace detail {

/// Eligible candidates with their cumulative weights. Allocates no heap memory,
/// because it is built for every pick.
class eligible_set
{
public:
    /// Larger than the subset of a host; further candidates are ignored.
    static constexpr std::size_t max_size = 64;

    void add(std::size_t index, double weight)
    {
        if (size_ < max_size) {
            total_ += weight;
            items_[size_++] = {index, total_};
        }
    }

    std::size_t size() const
    {
        return size_;
    }
    std::size_t operator[](std::size_t i) const
    {
        return items_[i].index;
    }

    /// Index of a random candidate, with probability in proportion to weight.
    template <random_source Random>
    std::size_t draw(Random& random) const
    {
        const double at = uniform(random) * total_;
        for (std::size_t i = 0; i + 1 < size_; ++i) {
            if (at < items_[i].cumulative) {
                return items_[i].index;
            }
        }
        return items_[size_ - 1].index;
    }

private:
    struct item
    {
        std::size_t index;
        double cumulative;
    };
    std::array<item, max_size> items_;
    std::size_t size_ = 0;
    double total_ = 0;
};

enum class eligibility_pass : std::uint8_t
{
    trial,
    regular,
    /// Upstreams that only this host avoids, used when no other is left: when
    /// all upstreams of a service fail for one host, the fault is probably the
    /// host's.
    avoided,
};

struct pass_result
{
    eligible_set set;
    pick_refusal reason = pick_refusal::no_upstream;
};

inline bool is_in_pass(const state::pick_candidate& c, eligibility_pass pass,
                       state::time_point now)
{
    if (c.weight <= 0 || c.trial != (pass == eligibility_pass::trial)) {
        return false;
    }
    return c.load->avoided(now) == (pass == eligibility_pass::avoided);
}

inline pass_result collect_eligible(const state::pick_table& table,
                                    const pick_request& request,
                                    eligibility_pass pass,
                                    state::time_point now)
{
    pass_result out;
    for (std::size_t i = 0; i < table.candidates.size(); ++i) {
        const auto& c = table.candidates[i];
        if (!is_in_pass(c, pass, now)) {
            continue;
        }
        if (std::find(request.excluded.begin(), request.excluded.end(),
                      c.address) != request.excluded.end()) {
            out.reason = std::max(out.reason, pick_refusal::all_excluded);
        } else if (c.load->in_flight() >= c.load->limit()) {
            out.reason = pick_refusal::over_limit;
        } else {
            const bool remote =
                !request.excluded.empty() && !c.same_data_centre;
            out.set.add(i, c.weight * c.slots *
                               (remote ? remote_redirect_weight : 1.0));
        }
    }
    return out;
}

/// Applies `choose` to the first pass with an eligible candidate.
template <random_source Random, class Choose>
pick_result pick_eligible(const state::pick_table& table,
                          const pick_request& request, Random& random,
                          state::time_point now, Choose choose)
{
    if (request.idempotent && random.next() % trial_period == 0) {
        const auto trial =
            collect_eligible(table, request, eligibility_pass::trial, now);
        if (trial.set.size() > 0) {
            return choose(trial.set);
        }
    }
    const auto regular =
        collect_eligible(table, request, eligibility_pass::regular, now);
    if (regular.set.size() > 0) {
        return choose(regular.set);
    }
    const auto avoided =
        collect_eligible(table, request, eligibility_pass::avoided, now);
    if (avoided.set.size() > 0) {
        return choose(avoided.set);
    }
    return std::max(regular.reason, avoided.reason);
}

} // namespace detail

/// Random candidate, in proportion to weight and slots.
struct random_picker
{
    template <random_source Random>
    pick_result pick(const state::pick_table& table,
                     const pick_request& request, Random& random,
                     state::time_point now) const
    {
        return detail::pick_eligible(
            table, request, random, now,
            [&](const auto& set) { return pick_choice{set.draw(random)}; });
    }
};

/// Candidate with the fewest local requests in flight per weighted slot; ties
/// are broken at random.
struct least_in_flight_picker
{
    template <random_source Random>
    pick_result pick(const state::pick_table& table,
                     const pick_request& request, Random& random,
                     state::time_point now) const
    {
        const auto load = [&](std::size_t i) {
            const auto& c = table.candidates[i];
            return c.load->in_flight() / (c.weight * c.slots);
        };
        return detail::pick_eligible(
            table, request, random, now, [&](const auto& set) {
                std::size_t best = set.draw(random);
                for (std::size_t i = 0; i < set.size(); ++i) {
                    best = load(set[i]) < load(best) ? set[i] : best;
                }
                return pick_choice{best};
            });
    }
};

struct load_estimate_options
{
    /// Age at which a report has half its weight. Reports older than a few
    /// service times have little predictive value.
    state::duration report_half_life = std::chrono::milliseconds(100);
    /// Utilisation assumed without a recent report.
    double assumed_utilisation = 0.8;
    /// Latency above this multiple of the service's average counts as load,
    /// independent of the upstream's reports.
    double max_latency_ratio = 1.5;
    /// Lets the picker ignore reports that do not improve latency. Disabled
    /// only to measure the benefit of correct reports.
    bool apply_report_trust = true;
};

/// Expected use per slot: local requests plus the reported requests of other
/// hosts, weighted by the age of the report.
inline double estimated_load(const state::pick_candidate& c,
                             const state::latency_average& service,
                             const load_estimate_options& options,
                             state::time_point now)
{
    const double own = c.load->in_flight();
    const double slots = c.slots;
    double others = options.assumed_utilisation * slots;
    if (const auto report = c.load->report(); report.present()) {
        const auto age = std::max(now - report.at, state::duration::zero());
        const double freshness =
            1.0 /
            (1.0 + static_cast<double>(age.count()) /
                       static_cast<double>(options.report_half_life.count()));
        const double reported = std::max<double>(report.in_use, own);
        others = freshness * (reported - own) + (1 - freshness) * others;
    }
    double load = (own + others) / slots;
    const auto typical = static_cast<double>(service.value().count());
    if (typical > 0) {
        const double ratio =
            static_cast<double>(c.load->latency().value().count()) / typical;
        load += std::max(0.0, ratio - options.max_latency_ratio);
    }
    return load / c.weight;
}

/// Less loaded of two candidates drawn by weight (power of two choices).
struct two_choices_picker
{
    load_estimate_options options;

    template <random_source Random>
    pick_result pick(const state::pick_table& table,
                     const pick_request& request, Random& random,
                     state::time_point now) const
    {
        return detail::pick_eligible(
            table, request, random, now, [&](const auto& set) {
                const auto a = set.draw(random);
                if (options.apply_report_trust &&
                    uniform(random) >= table.service->trust.share()) {
                    return pick_choice{a};
                }
                auto b = set.draw(random);
                for (int i = 0; b == a && i < 4; ++i) {
                    b = set.draw(random);
                }
                const bool second = load(table, b, now) < load(table, a, now);
                return pick_choice{second ? b : a, true};
            });
    }

private:
    double load(const state::pick_table& table, std::size_t i,
                state::time_point now) const
    {
        return estimated_load(table.candidates[i], table.service->latency,
                              options, now);
    }
};

/// Least loaded of all candidates by the same estimate.
struct least_expected_load_picker
{
    load_estimate_options options;

    template <random_source Random>
    pick_result pick(const state::pick_table& table,
                     const pick_request& request, Random& random,
                     state::time_point now) const
    {
        const auto load = [&](std::size_t i) {
            return estimated_load(table.candidates[i], table.service->latency,
                                  options, now);
        };
        return detail::pick_eligible(
            table, request, random, now, [&](const auto& set) {
                std::size_t best = set.draw(random);
                if (options.apply_report_trust &&
                    uniform(random) >= table.service->trust.share()) {
                    return pick_choice{best};
                }
                double least = load(best);
                for (std::size_t i = 0; i < set.size(); ++i) {
                    const double l = load(set[i]);
                    if (l < least) {
                        least = l;
                        best = set[i];
                    }
                }
                return pick_choice{best, true};
            });
    }
};

} // namespace oriolegrade::coordination

namespace oriolegrade::state {

template <>
struct enum_names<coordination::pick_refusal>
{
    static constexpr std::array<std::string_view, 3> value{
        "no_upstream", "all_excluded", "over_limit"};
};

} // namespace oriolegrade::state

#endif
