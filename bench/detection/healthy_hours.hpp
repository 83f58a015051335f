// Long runs of a healthy service in front of one collector, at the level of
// evidence instead of requests: cheap enough to see one false ejection in
// thousands of upstream-hours.

#ifndef ORIOLEGRADE_BENCH_DETECTION_HEALTHY_HOURS_HPP
#define ORIOLEGRADE_BENCH_DETECTION_HEALTHY_HOURS_HPP

#include "oriole_policy.hpp"

#include <array>
#include <cmath>

namespace oriolegrade::detection {

struct healthy_result
{
    double upstream_hours = 0;
    std::uint64_t ejections = 0;
};

class healthy_service
{
public:
    /// @param cut_host one host receives no answer from any upstream; its
    /// evidence says that all of them are late
    healthy_service(const service_model& service, load_level load,
                    std::uint64_t seed, bool cut_host)
        : service_(service)
        , random_(seed)
        , collector_(spec_of(service))
        , rate_(upstream_rate(service, load))
        , cut_host_(cut_host)
        , quiet_limits_(limits_of(quiet))
        , burst_limits_(limits_of(burst))
    {}

    healthy_result run(double hours)
    {
        const auto end = now_ + seconds_of(hours * 3600);
        healthy_result result;
        while (now_ < end) {
            now_ += evidence_interval;
            step();
            for (const auto& it : collector_.advance(now_)) {
                count(it, result);
            }
            add_all(result);
            for (int n = 0; n < 4; ++n) {
                probe(now_ + n * 25ms, result);
            }
        }
        result.upstream_hours = hours * service_.servers;
        return result;
    }

private:
    void probe(time_point at, healthy_result& result)
    {
        for (const auto& up : collector_.take_probes(at)) {
            const bool healthy = random_.uniform() >= background_failure_rate;
            for (const auto& it : collector_.add_probe(up, healthy, at)) {
                count(it, result);
            }
        }
    }

    struct rates
    {
        double load;
        double slow;
        double shed;
    };
    // The fleet model at today's load has 0.01% to 0.08% late and 0.3% shed
    // requests, at peak up to 17% shed; bursts are taken worse than that.
    static constexpr rates quiet{1.0, 0.001, 0.003};
    static constexpr rates burst{burst_factor, 0.01, 0.2};

    const rates& current()
    {
        if (now_ >= next_change_) {
            bursting_ = !bursting_;
            const double mean = bursting_ ? burst_seconds : burst_every_seconds;
            next_change_ = now_ + seconds_of(random_.exponential(mean));
        }
        return bursting_ ? burst : quiet;
    }

    /// @param limit exp(-mean)
    unsigned poisson(double limit)
    {
        unsigned n = 0;
        for (double p = random_.uniform(); p > limit; p *= random_.uniform()) {
            ++n;
        }
        return n;
    }

    /// exp(-mean) of the numbers of requests in one interval.
    struct limits
    {
        std::array<double, 3> success;
        std::array<double, 3> failure;
        std::array<double, 3> slow;
    };
    limits limits_of(const rates& r) const
    {
        // Shares of the request classes, as in the fleet model.
        constexpr std::array<double, 3> mix{0.7, 0.2, 0.1};
        const double mean = rate_ * r.load * in_seconds(evidence_interval);
        const double bad = background_failure_rate + r.slow + r.shed;
        limits l{};
        for (std::size_t c = 0; c < mix.size(); ++c) {
            l.success[c] = std::exp(-mean * mix[c] * (1 - bad));
            l.failure[c] = std::exp(-mean * mix[c] * background_failure_rate);
            l.slow[c] = std::exp(-mean * mix[c] * r.slow);
        }
        return l;
    }

    /// Evidence of one interval. All successes go into one host's batch; each
    /// bad request comes from a host of its own. Shed requests are left out:
    /// they count for neither side.
    void step()
    {
        using state::evidence_kind;
        const auto& l = &current() == &burst ? burst_limits_ : quiet_limits_;
        common_.items.clear();
        bad_count_ = 0;
        for (unsigned u = 0; u < service_.servers; ++u) {
            std::array<state::evidence_counts, 3> counts;
            for (unsigned c = 0; c < counts.size(); ++c) {
                counts[c][evidence_kind::success] = poisson(l.success[c]);
                for (unsigned n = poisson(l.failure[c]); n > 0; --n) {
                    add_bad(u, c, evidence_kind::failure);
                }
                for (unsigned n = poisson(l.slow[c]); n > 0; --n) {
                    add_bad(u, c, evidence_kind::slow);
                }
            }
            add_good(u, counts);
            add_cut(u, rate_ * in_seconds(evidence_interval));
        }
        common_.host = host_address(1 + random_.below(host_count - 1));
    }

    void add_good(unsigned u,
                  const std::array<state::evidence_counts, 3>& counts)
    {
        for (unsigned c = 0; c < counts.size(); ++c) {
            if (!counts[c].empty()) {
                common_.items.push_back({upstream_address(u),
                                         static_cast<state::request_class>(c),
                                         counts[c]});
            }
        }
    }
    void add_cut(unsigned u, double mean)
    {
        if (cut_host_ && random_.uniform() < mean / host_count) {
            add_bad(u, 0, state::evidence_kind::slow);
            bad_[bad_count_ - 1].host = host_address(0);
        }
    }
    void add_bad(unsigned u, unsigned c, state::evidence_kind kind)
    {
        if (bad_count_ == bad_.size()) {
            bad_.emplace_back();
        }
        auto& batch = bad_[bad_count_++];
        batch.host = host_address(1 + random_.below(host_count - 1));
        state::evidence_item item{
            upstream_address(u), static_cast<state::request_class>(c), {}};
        ++item.counts[kind];
        batch.items.assign(1, item);
    }

    void add_all(healthy_result& result)
    {
        for (std::size_t n = 0; n < bad_count_; ++n) {
            add(bad_[n], result);
        }
        add(common_, result);
    }
    void add(state::evidence_batch& batch, healthy_result& result)
    {
        batch.sequence = ++sequence_;
        for (const auto& it : collector_.add(batch, now_)) {
            count(it, result);
        }
    }
    static void count(const coordination::health_event& it,
                      healthy_result& result)
    {
        result.ejections +=
            it.kind == coordination::health_event_kind::ejected ? 1 : 0;
    }

    service_model service_;
    random_numbers random_;
    coordination::health_collector collector_;
    double rate_;
    bool cut_host_;
    limits quiet_limits_;
    limits burst_limits_;
    time_point now_{1000s};
    time_point next_change_{};
    bool bursting_ = true;
    std::uint64_t sequence_ = 0;
    state::evidence_batch common_;
    std::vector<state::evidence_batch> bad_;
    std::size_t bad_count_ = 0;
};

} // namespace oriolegrade::detection

#endif
