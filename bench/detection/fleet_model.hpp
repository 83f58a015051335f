// A fleet of 41 hosts in front of one service, request by request in virtual
// time: arrivals with bursts, picking by two choices, slots and queues at the
// upstreams, and one fault.

#ifndef ORIOLEGRADE_BENCH_DETECTION_FLEET_MODEL_HPP
#define ORIOLEGRADE_BENCH_DETECTION_FLEET_MODEL_HPP

#include "experiment_types.hpp"

#include <oriolegrade/coordination/latency_baseline.hpp>

#include <algorithm>
#include <array>
#include <cassert>
#include <queue>
#include <vector>

namespace oriolegrade::detection {

/// Result of one run.
struct run_result
{
    /// From the fault's begin until nine of ten hosts send the bad upstream
    /// no work; empty when that never happened.
    bool detected = false;
    double detection_seconds = 0;
    std::uint64_t sent_to_bad = 0;
    std::uint64_t sent_after_fault = 0;
    std::uint64_t requests = 0;
    std::uint64_t lost = 0;
    double healthy_hours = 0;
    double false_ejections = 0;
    double false_fleet_ejections = 0;
    double least_capacity_share = 1.0;
    std::uint64_t floor_violations = 0;
    std::uint64_t probes = 0;
};

template <class Policy>
class fleet_model
{
public:
    fleet_model(const service_model& service, load_level load, fault_kind fault,
                std::uint64_t seed)
        : service_(service)
        , fault_(fault)
        , random_(seed)
        , policy_(service)
        , rate_(upstream_rate(service, load) * service.servers)
        , now_(time_point(1000s))
        , fault_at_(now_ + warm_up)
        , end_(fault_at_ + observed)
        , upstreams_(service.servers)
        , in_flight_(std::size_t{host_count} * service.servers)
        , latency_(host_count)
    {
        for (auto& it : upstreams_) {
            it.free_at.resize(service.slots, now_);
        }
        // The fault begins at any phase of the evidence interval.
        fault_at_ += seconds_of(0.1 * random_.uniform());
    }

    run_result run()
    {
        schedule(now_ + tick, event_kind::tick, 0);
        schedule_arrival();
        begin_burst_later();
        while (!events_.empty() && events_.top().at < end_) {
            const auto it = events_.top();
            events_.pop();
            now_ = it.at;
            handle(it);
        }
        finish();
        return result_;
    }

private:
    enum class event_kind : std::uint8_t
    {
        tick,
        arrival,
        late,
        done,
        burst_begin,
        burst_end,
    };
    struct event
    {
        time_point at;
        std::uint32_t request;
        event_kind kind;
        bool operator<(const event& other) const
        {
            return at > other.at;
        }
    };
    struct request
    {
        time_point sent;
        std::uint16_t host = 0;
        std::uint16_t upstream = 0;
        state::request_class kind = state::request_class::idempotent;
        state::evidence_kind outcome = state::evidence_kind::success;
        std::uint8_t attempt = 0;
        bool counted = false;
        bool in_use = false;
    };
    struct upstream
    {
        std::vector<time_point> free_at;
        /// Slots in use at the last ticks; a ring of 2.56 s.
        std::array<std::uint8_t, 256> reported{};
    };

    // -- faults ---------------------------------------------------------

    bool active() const
    {
        return now_ >= fault_at_;
    }
    unsigned bad_count() const
    {
        switch (fault_) {
        case fault_kind::half_bad:
            return service_.servers / 2;
        case fault_kind::sheds:
        case fault_kind::host_cut:
        case fault_kind::load_lags:
            return 0;
        default:
            return 1;
        }
    }
    /// Upstreams that receive the fault; for detection see bad_count.
    bool is_faulty(unsigned u) const
    {
        if (!active()) {
            return false;
        }
        if (fault_ == fault_kind::sheds) {
            return u == 0;
        }
        if (fault_ == fault_kind::flaps_5s) {
            return u == 0 && ((now_ - fault_at_) / 5s) % 2 == 0;
        }
        return u < bad_count();
    }
    bool probe(unsigned u)
    {
        if (fault_ == fault_kind::tenth_fails && is_faulty(u)) {
            return random_.uniform() >= 0.1;
        }
        if (fault_ == fault_kind::probe_lies) {
            return u == 0;
        }
        return !is_faulty(u) || fault_ == fault_kind::sheds ||
               fault_ == fault_kind::class_fails;
    }

    /// Fails at once or late, and how; success when the fault lets it pass.
    state::evidence_kind fault_outcome(const request& r)
    {
        using state::evidence_kind;
        if (!is_faulty(r.upstream)) {
            return evidence_kind::success;
        }
        switch (fault_) {
        case fault_kind::all_fail:
        case fault_kind::flaps_5s:
        case fault_kind::half_bad:
        case fault_kind::probe_lies:
            return evidence_kind::failure;
        case fault_kind::tenth_fails:
            return random_.uniform() < 0.1 ? evidence_kind::failure
                                           : evidence_kind::success;
        case fault_kind::class_fails:
            return r.kind == state::request_class::non_idempotent
                       ? evidence_kind::failure
                       : evidence_kind::success;
        case fault_kind::sheds:
            return random_.uniform() < 0.8 ? evidence_kind::shed
                                           : evidence_kind::success;
        default:
            return evidence_kind::success;
        }
    }
    bool never_answers(const request& r) const
    {
        return (fault_ == fault_kind::hangs && is_faulty(r.upstream)) ||
               (fault_ == fault_kind::host_cut && active() && r.host == 0);
    }

    // -- events ---------------------------------------------------------

    void schedule(time_point at, event_kind kind, std::uint32_t n)
    {
        events_.push({at, n, kind});
    }
    void schedule_arrival()
    {
        const double rate = rate_ * (bursting_ ? burst_factor : 1.0);
        schedule(now_ + seconds_of(random_.exponential(1 / rate)),
                 event_kind::arrival, 0);
    }
    void begin_burst_later()
    {
        schedule(now_ + seconds_of(random_.exponential(burst_every_seconds)),
                 event_kind::burst_begin, 0);
    }

    void handle(const event& it)
    {
        switch (it.kind) {
        case event_kind::tick:
            on_tick();
            break;
        case event_kind::arrival:
            on_arrival();
            break;
        case event_kind::late:
            on_late(it.request);
            break;
        case event_kind::done:
            on_done(it.request);
            break;
        case event_kind::burst_begin:
            bursting_ = true;
            schedule(now_ + seconds_of(random_.exponential(burst_seconds)),
                     event_kind::burst_end, 0);
            break;
        case event_kind::burst_end:
            bursting_ = false;
            begin_burst_later();
            break;
        }
    }

    void on_tick()
    {
        ++ticks_;
        for (auto& it : upstreams_) {
            it.reported[ticks_ % it.reported.size()] =
                static_cast<std::uint8_t>(busy_slots(it));
        }
        policy_.advance(now_, [&](unsigned u) { return probe(u); });
        observe();
        schedule(now_ + tick, event_kind::tick, 0);
    }

    unsigned busy_slots(const upstream& u) const
    {
        return static_cast<unsigned>(
            std::count_if(u.free_at.begin(), u.free_at.end(),
                          [&](time_point at) { return at > now_; }));
    }

    void on_arrival()
    {
        schedule_arrival();
        const auto n = new_request();
        auto& r = requests_[n];
        r.host = static_cast<std::uint16_t>(random_.below(host_count));
        // Seven of ten requests may be repeated; two may not; the upstream
        // deduplicates one.
        const auto mix = random_.below(10);
        r.kind = mix < 7   ? state::request_class::idempotent
                 : mix < 9 ? state::request_class::non_idempotent
                           : state::request_class::idempotent_by_upstream;
        r.attempt = 0;
        ++result_.requests;
        send(n);
    }

    std::uint32_t new_request()
    {
        if (free_.empty()) {
            requests_.emplace_back();
            return static_cast<std::uint32_t>(requests_.size() - 1);
        }
        const auto n = free_.back();
        free_.pop_back();
        return n;
    }

    // -- requests -------------------------------------------------------

    unsigned random_upstream(const request& r, int avoid)
    {
        const bool safe = r.kind != state::request_class::non_idempotent;
        unsigned u = 0;
        for (int n = 0; n < 64; ++n) {
            u = random_.below(service_.servers);
            if (static_cast<int>(u) != avoid &&
                random_.uniform() < policy_.weight(r.host, u, safe)) {
                return u;
            }
        }
        return u;
    }
    unsigned load_of(unsigned host, unsigned u) const
    {
        const std::size_t lag =
            fault_ == fault_kind::load_lags && active() ? 200 : 10;
        const auto& ring = upstreams_[u].reported;
        return in_flight_[host * service_.servers + u] +
               ring[(ticks_ + ring.size() - lag) % ring.size()];
    }

    void send(std::uint32_t n)
    {
        auto& r = requests_[n];
        const int last = r.attempt > 0 ? r.upstream : -1;
        const auto a = random_upstream(r, last);
        const auto b = random_upstream(r, last);
        const auto u = load_of(r.host, a) <= load_of(r.host, b) ? a : b;
        r.upstream = static_cast<std::uint16_t>(u);
        r.sent = now_;
        r.counted = false;
        ++r.attempt;
        ++in_flight_[r.host * service_.servers + u];
        if (active()) {
            ++result_.sent_after_fault;
            result_.sent_to_bad += u < bad_count() ? 1 : 0;
        }
        const auto done = execute(r);
        const auto limit =
            now_ + latency_[r.host][state::index_of(r.kind)].slow_limit(1s);
        if (done > limit) {
            schedule(limit, event_kind::late, n);
        }
        schedule(done, event_kind::done, n);
    }

    /// Decides outcome and end of a request that was just sent.
    time_point execute(request& r)
    {
        using state::evidence_kind;
        const auto deadline = now_ + request_deadline;
        r.outcome = fault_outcome(r);
        if (never_answers(r)) {
            r.outcome = evidence_kind::failure;
            return deadline;
        }
        const bool at_once = r.outcome == evidence_kind::shed ||
                             (r.outcome == evidence_kind::failure &&
                              fault_ != fault_kind::tenth_fails);
        if (at_once) {
            return now_ + 3ms;
        }
        auto& slots = upstreams_[r.upstream].free_at;
        const auto slot = std::min_element(slots.begin(), slots.end());
        const auto begin = std::max(*slot, now_ + 1ms);
        const double mean = service_.answer_ms / 1000;
        if (begin - now_ > seconds_of(5 * mean)) {
            r.outcome = evidence_kind::shed;
            return now_ + 2ms;
        }
        const bool slow =
            fault_ == fault_kind::slow_20 && is_faulty(r.upstream);
        *slot =
            begin + seconds_of(random_.exponential(slow ? 20 * mean : mean));
        if (random_.uniform() < background_failure_rate) {
            r.outcome = evidence_kind::failure;
        }
        if (*slot + 1ms > deadline) {
            r.outcome = evidence_kind::failure;
            return deadline;
        }
        return *slot + 1ms;
    }

    void on_late(std::uint32_t n)
    {
        auto& r = requests_[n];
        r.counted = true;
        policy_.result(r.host, r.upstream, r.kind, state::evidence_kind::slow,
                       now_);
    }

    void on_done(std::uint32_t n)
    {
        using state::evidence_kind;
        auto& r = requests_[n];
        --in_flight_[r.host * service_.servers + r.upstream];
        if (!r.counted) {
            policy_.result(r.host, r.upstream, r.kind, r.outcome, now_);
        }
        if (r.outcome == evidence_kind::success) {
            latency_[r.host][state::index_of(r.kind)].add(now_ - r.sent);
            free_.push_back(n);
            return;
        }
        const bool shed = r.outcome == evidence_kind::shed;
        const bool safe = r.kind != state::request_class::non_idempotent;
        const bool in_time = now_ - r.sent < request_deadline;
        if (in_time && r.attempt < 3 && (shed || (safe && r.attempt < 2))) {
            send(n);
            return;
        }
        ++result_.lost;
        free_.push_back(n);
    }

    // -- measures -------------------------------------------------------

    void observe()
    {
        const double slots = service_.servers * service_.slots;
        const double floor = std::ceil(slots * floor_share);
        for (unsigned h = 0; h < host_count; h += 8) {
            const double capacity = policy_.capacity(h);
            result_.least_capacity_share =
                std::min(result_.least_capacity_share, capacity / slots);
            result_.floor_violations += capacity < floor ? 1 : 0;
        }
        if (!active() || result_.detected || bad_count() == 0) {
            return;
        }
        if (all_out()) {
            result_.detected = true;
            result_.detection_seconds = in_seconds(now_ - fault_at_);
        }
    }

    bool all_out() const
    {
        for (unsigned u = 0; u < bad_count(); ++u) {
            unsigned out = 0;
            for (unsigned h = 0; h < host_count; ++h) {
                out += policy_.is_out(h, u) ? 1U : 0U;
            }
            if (out * 10 < host_count * 9) {
                return false;
            }
        }
        return true;
    }

    void finish()
    {
        for (const auto& it : policy_.ejections()) {
            const bool bad = it.at >= fault_at_ && it.upstream < bad_count();
            const bool cut = fault_ == fault_kind::host_cut && it.host == 0;
            if (!bad && !cut) {
                result_.false_ejections += it.share;
                result_.false_fleet_ejections += it.host == host_count ? 1 : 0;
            }
        }
        const double seconds =
            service_.servers * in_seconds(warm_up + observed) -
            bad_count() * in_seconds(observed);
        result_.healthy_hours = seconds / 3600;
        result_.probes = policy_.probes();
    }

    const service_model& service_;
    fault_kind fault_;
    random_numbers random_;
    Policy policy_;
    double rate_;
    time_point now_;
    time_point fault_at_;
    time_point end_;
    bool bursting_ = false;
    std::uint64_t ticks_ = 0;
    std::vector<upstream> upstreams_;
    /// Requests of a host in flight at an upstream.
    std::vector<std::uint32_t> in_flight_;
    std::vector<std::array<coordination::latency_baseline, 3>> latency_;
    std::vector<request> requests_;
    std::vector<std::uint32_t> free_;
    std::priority_queue<event> events_;
    run_result result_;
};

} // namespace oriolegrade::detection

#endif
