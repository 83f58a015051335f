// Three usual policies to compare with, written small. Each host decides for
// itself and takes an upstream back after a fixed time.

#ifndef ORIOLEGRADE_BENCH_DETECTION_BASELINE_POLICIES_HPP
#define ORIOLEGRADE_BENCH_DETECTION_BASELINE_POLICIES_HPP

#include "oriole_policy.hpp"

#include <algorithm>
#include <vector>

namespace oriolegrade::detection {

/// State shared by the per-host policies: who is out until when. At most half
/// of a service is out at a host, the same floor as the fleet's.
class per_host_ejection
{
public:
    per_host_ejection(const service_model& service, duration out_for)
        : servers_(service.servers)
        , slots_(service.slots)
        , out_for_(out_for)
        , until_(std::size_t{host_count} * service.servers)
    {}
    bool is_out(unsigned host, unsigned upstream) const
    {
        return until_[index(host, upstream)] > now_;
    }
    double weight(unsigned host, unsigned upstream, bool /*idempotent*/) const
    {
        return is_out(host, upstream) ? 0.0 : 1.0;
    }
    double capacity(unsigned host) const
    {
        return (servers_ - out_at(host)) * slots_;
    }
    const std::vector<ejection>& ejections() const
    {
        return ejections_;
    }
    std::uint64_t probes() const
    {
        return 0;
    }

protected:
    std::size_t index(unsigned host, unsigned upstream) const
    {
        return std::size_t{host} * servers_ + upstream;
    }
    unsigned out_at(unsigned host) const
    {
        unsigned n = 0;
        for (unsigned u = 0; u < servers_; ++u) {
            n += is_out(host, u) ? 1U : 0U;
        }
        return n;
    }
    void eject(unsigned host, unsigned upstream)
    {
        if (is_out(host, upstream) ||
            (servers_ - out_at(host) - 1) < servers_ * floor_share) {
            return;
        }
        until_[index(host, upstream)] = now_ + out_for_;
        ejections_.push_back({now_, upstream, host, 1.0 / host_count});
    }

    unsigned servers_;
    unsigned slots_;
    duration out_for_;
    time_point now_{};
    std::vector<time_point> until_;
    std::vector<ejection> ejections_;
};

/// Ejects for 30 s after five failures in a row.
class consecutive_policy : public per_host_ejection
{
public:
    explicit consecutive_policy(const service_model& service)
        : per_host_ejection(service, 30s)
        , failures_(until_.size())
    {}
    void result(unsigned host, unsigned upstream, state::request_class,
                state::evidence_kind kind, time_point now)
    {
        now_ = now;
        auto& n = failures_[index(host, upstream)];
        if (kind == state::evidence_kind::success) {
            n = 0;
        } else if (kind != state::evidence_kind::shed && ++n >= 5) {
            n = 0;
            eject(host, upstream);
        }
    }
    template <class Probe>
    void advance(time_point now, const Probe&)
    {
        now_ = now;
    }

private:
    std::vector<unsigned> failures_;
};

/// Each second ejects for 10 s the upstreams whose success rate over about
/// the last 5 s is 1.9 standard deviations below the mean of all.
class outlier_policy : public per_host_ejection
{
public:
    explicit outlier_policy(const service_model& service)
        : per_host_ejection(service, 10s)
        , windows_(until_.size())
    {}
    void result(unsigned host, unsigned upstream, state::request_class,
                state::evidence_kind kind, time_point now)
    {
        now_ = now;
        auto& w = windows_[index(host, upstream)];
        if (kind != state::evidence_kind::shed) {
            w.total += 1;
            w.good += kind == state::evidence_kind::success ? 1 : 0;
        }
    }
    template <class Probe>
    void advance(time_point now, const Probe&)
    {
        now_ = now;
        if (now.time_since_epoch() % 1s != duration::zero()) {
            return;
        }
        for (unsigned h = 0; h < host_count; ++h) {
            judge(h);
        }
    }

private:
    struct window
    {
        double total = 0;
        double good = 0;
    };
    static constexpr double least_total = 3;
    static constexpr double deviations = 1.9;
    static constexpr double decay = 0.8;

    void judge(unsigned host)
    {
        double n = 0;
        double sum = 0;
        double squares = 0;
        for (unsigned u = 0; u < servers_; ++u) {
            const auto& w = windows_[index(host, u)];
            if (w.total >= least_total) {
                const double rate = w.good / w.total;
                n += 1;
                sum += rate;
                squares += rate * rate;
            }
        }
        const double mean = n > 0 ? sum / n : 1;
        const double variance = n > 0 ? squares / n - mean * mean : 0;
        const double limit =
            mean - deviations * std::sqrt(std::max(variance, 0.0));
        for (unsigned u = 0; u < servers_; ++u) {
            auto& w = windows_[index(host, u)];
            if (n >= 3 && w.total >= least_total && w.good / w.total < limit) {
                eject(host, u);
                w = {};
            }
            w.total *= decay;
            w.good *= decay;
        }
    }

    std::vector<window> windows_;
};

/// Never takes anything out of service.
class no_ejection_policy : public per_host_ejection
{
public:
    explicit no_ejection_policy(const service_model& service)
        : per_host_ejection(service, 0s)
    {}
    void result(unsigned, unsigned, state::request_class, state::evidence_kind,
                time_point now)
    {
        now_ = now;
    }
    template <class Probe>
    void advance(time_point now, const Probe&)
    {
        now_ = now;
    }
};

} // namespace oriolegrade::detection

#endif
