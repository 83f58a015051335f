// Evidence, scores and probes of one service.

#include <oriolegrade/coordination/health_collector.hpp>

#include <oriolegrade/state/service_check.hpp>

#include <algorithm>
#include <cmath>

namespace oriolegrade::coordination {

namespace {

using state::evidence_kind;
using state::upstream_state;

constexpr std::size_t max_hosts = 4096;
/// A host that sent nothing for this long is no longer counted.
constexpr state::duration host_inactivity_timeout = std::chrono::seconds(30);
constexpr state::duration baseline_interval = std::chrono::milliseconds(100);
/// Request rate per upstream assumed before any evidence arrives, in 1/s.
constexpr double initial_rate = 50.0;
constexpr double rate_smoothing = 0.01;
/// Largest share of the ejection threshold that one host may contribute, so
/// that at least three hosts must agree, or two in a fleet of two or three
/// hosts.
constexpr double max_host_share = 0.45;
constexpr double max_host_share_small_fleet = 0.6;
constexpr std::size_t small_fleet_hosts = 4;
constexpr std::uint32_t min_hosts = 2;
/// Evidence of a host is discarded while at least this share of its recent
/// requests to the service failed or were slow, and that share is at least
/// distrust_ratio times the share over all hosts.
constexpr double distrust_bad_share = 0.5;
constexpr double distrust_ratio = 2.0;
constexpr double min_host_requests = 4.0;
/// Quantile of the scores of all upstreams that is attributed to a common
/// cause, for example the onset of a load burst that the baseline does not yet
/// include. Below one half, so that a failure of half of a service is still
/// detected.
constexpr double common_cause_quantile = 0.4;
/// Largest share of the ejection threshold that failed probes may contribute.
constexpr double max_probe_share = 0.6;

/// Short, so that a suspicion is confirmed or refuted quickly.
constexpr state::duration suspect_probe_interval =
    std::chrono::milliseconds(25);
/// Interval of probes of upstreams that are not suspected. They show whether
/// the health endpoint agrees with the requests.
constexpr state::duration background_probe_interval = std::chrono::seconds(10);

std::uint64_t hash_of(std::string_view text, std::uint64_t seed)
{
    // FNV-1a with a 64-bit finaliser, so that each output bit depends on the
    // whole input.
    std::uint64_t n = 0xcbf29ce484222325 ^ seed;
    for (const char c : text) {
        n = (n ^ static_cast<unsigned char>(c)) * 0x100000001b3;
    }
    n = (n ^ (n >> 33U)) * 0xff51afd7ed558ccd;
    n = (n ^ (n >> 33U)) * 0xc4ceb9fe1a85ec53;
    return n ^ (n >> 33U);
}

std::array<request_weights, state::enum_size<health_signal>>
weights_of(const peer_baseline& baseline)
{
    return {derive_weights(health_signal::errors, baseline),
            derive_weights(health_signal::latency, baseline)};
}

double severity_of(const state::evidence_counts& counts)
{
    const auto requests = static_cast<double>(counts.non_shed());
    const double bad = static_cast<double>(counts[evidence_kind::failure]) +
                       counts[evidence_kind::connect_failure] +
                       counts[evidence_kind::slow];
    return requests > 0 ? bad / requests : 0;
}

} // namespace

std::optional<state::endpoint>
collector_of(std::string_view service, std::uint32_t schema_version,
             const std::vector<state::endpoint>& hosts)
{
    std::optional<state::endpoint> best;
    std::uint64_t highest = 0;
    for (const auto& it : hosts) {
        const auto seed = (std::uint64_t{it.address} << 16U) + it.port +
                          schema_version * 0x9e3779b97f4a7c15;
        const auto n = hash_of(service, seed);
        if (!best || n > highest || (n == highest && it < *best)) {
            best = it;
            highest = n;
        }
    }
    return best;
}

health_collector::health_collector(const state::service_spec& service)
    : thresholds_(derive_thresholds(service.costs, initial_rate))
    , upstream_rate_(initial_rate)
{
    weights_.fill(weights_of({}));
    update(service);
}

void health_collector::update(const state::service_spec& service)
{
    std::vector<upstream_record> next;
    next.reserve(service.upstreams.size());
    for (const auto& it : service.upstreams) {
        const auto* known = find(it.address);
        next.push_back(known != nullptr ? *known : upstream_record());
        next.back().address = it.address;
    }
    std::sort(next.begin(), next.end(),
              [](const upstream_record& a, const upstream_record& b) {
                  return a.address < b.address;
              });
    upstreams_ = std::move(next);
    costs_ = service.costs;
    thresholds_ = derive_thresholds(costs_, upstream_rate_);
    budget_.set_slots(state::total_slots(service));
    ++sequence_;
}

health_collector::upstream_record*
health_collector::find(const state::endpoint& address)
{
    const auto it = std::lower_bound(
        upstreams_.begin(), upstreams_.end(), address,
        [](const upstream_record& a, const state::endpoint& b) {
            return a.address < b;
        });
    return it != upstreams_.end() && it->address == address ? &*it : nullptr;
}

bool health_collector::accept_batch(const state::evidence_batch& batch,
                                    state::time_point now)
{
    const auto it = hosts_.find(batch.host);
    if (it == hosts_.end()) {
        if (hosts_.size() >= max_hosts) {
            return false;
        }
        hosts_[batch.host] = {batch.incarnation, batch.sequence, now, {}};
        return !batch.host_suspects_itself;
    }
    if (batch.incarnation == it->second.incarnation &&
        batch.sequence <= it->second.sequence) {
        return false;
    }
    it->second.incarnation = batch.incarnation;
    it->second.sequence = batch.sequence;
    it->second.last_seen = now;
    return !batch.host_suspects_itself;
}

bool health_collector::is_host_credible(const state::evidence_batch& batch,
                                        state::time_point now)
{
    state::evidence_counts sum;
    for (const auto& it : batch.items) {
        sum.add(it.counts);
    }
    auto& own = hosts_[batch.host].recent;
    own.add(sum, now);
    fleet_.add(sum, now);
    const auto host = own.at(now);
    const auto fleet = fleet_.at(now);
    if (host.requests < min_host_requests) {
        return true;
    }
    const double host_bad = (host.errors + host.slow) / host.requests;
    const double fleet_bad = (fleet.errors + fleet.slow) / fleet.requests;
    return host_bad < distrust_bad_share ||
           host_bad < distrust_ratio * fleet_bad;
}

void health_collector::remove_inactive_hosts(state::time_point now)
{
    hosts_checked_ = now;
    std::erase_if(hosts_, [&](const auto& it) {
        return now - it.second.last_seen > host_inactivity_timeout;
    });
}

double health_collector::host_cap() const
{
    const double share = hosts_.size() < small_fleet_hosts
                             ? max_host_share_small_fleet
                             : max_host_share;
    return thresholds_.eject * share;
}

health_events health_collector::add(const state::evidence_batch& batch,
                                    state::time_point now)
{
    health_events events;
    if (!accept_batch(batch, now) || !is_host_credible(batch, now)) {
        return events;
    }
    if (now - baseline_refreshed_ >= baseline_interval) {
        refresh_baseline(now);
    }
    for (const auto& it : batch.items) {
        if (auto* up = find(it.upstream)) {
            add_item(batch.host, it, *up, now, events);
        }
    }
    return events;
}

void health_collector::add_item(const state::endpoint& host,
                                const state::evidence_item& item,
                                upstream_record& up, state::time_point now,
                                health_events& events)
{
    up.recent[index_of(item.request)].add(item.counts);
    up.recent_burst[index_of(item.request)].add(item.counts);
    switch (up.lifecycle.state()) {
    case upstream_state::in_service:
    case upstream_state::ramping:
        add_ratios(host, item, up, now);
        report(evaluate(up, now), up, events);
        break;
    case upstream_state::trial:
        report(up.lifecycle.trial_result(item.counts, now), up, events);
        break;
    case upstream_state::probing:
    case upstream_state::ejected:
    case upstream_state::leaving:
        // Responses to requests sent before the state change are ignored.
        break;
    }
}

void health_collector::add_ratios(const state::endpoint& host,
                                  const state::evidence_item& item,
                                  upstream_record& up, state::time_point now)
{
    const auto index = index_of(item.request);
    double highest = 0;
    for (std::size_t n = 0; n < signal_count; ++n) {
        const double ratio = log_likelihood_ratio(
            static_cast<health_signal>(n), item.counts, weights_[index][n]);
        const double counted =
            up.contributions.add(host, ratio, host_cap(), now);
        up.tests[n][index].add(counted);
        up.tests[n][class_count].add(counted);
        highest = std::max(highest, up.tests[n][class_count].score());
    }
    up.evidence.add(item.counts);
    if (highest == 0) {
        up.probes.reset();
        up.evidence = {};
    }
}

double health_collector::common_cause_score(std::size_t signal,
                                            std::size_t test) const
{
    std::vector<double> scores;
    scores.reserve(upstreams_.size());
    for (const auto& it : upstreams_) {
        const auto state = it.lifecycle.state();
        if (state == upstream_state::in_service ||
            state == upstream_state::ramping) {
            scores.push_back(it.tests[signal][test].score());
        }
    }
    const auto rank = static_cast<std::size_t>(
        static_cast<double>(scores.size() - 1) * common_cause_quantile);
    const auto it = scores.begin() + static_cast<std::ptrdiff_t>(rank);
    std::nth_element(scores.begin(), it, scores.end());
    return *it;
}

double health_collector::relative_score(const upstream_record& up) const
{
    const auto errors = state::index_of(health_signal::errors);
    double highest = 0;
    for (std::size_t signal = 0; signal < signal_count; ++signal) {
        for (std::size_t test = 0; test < test_count; ++test) {
            double score = up.tests[signal][test].score();
            if (signal == errors && test == class_count) {
                score += std::min(up.probes.score(),
                                  thresholds_.eject * max_probe_share);
            }
            if (score >= thresholds_.eject) {
                score -= common_cause_score(signal, test);
            }
            highest = std::max(highest, score);
        }
    }
    return highest;
}

std::optional<health_event> health_collector::evaluate(upstream_record& up,
                                                       state::time_point now)
{
    const double score = relative_score(up);
    if (score < thresholds_.eject) {
        return std::nullopt;
    }
    const auto hosts = up.contributions.hosts(now);
    if (hosts < min_hosts) {
        return std::nullopt;
    }
    auto event = up.lifecycle.eject(now);
    if (event) {
        event->score = score;
        event->threshold = thresholds_.eject;
        event->hosts = hosts;
        event->evidence = up.evidence;
    }
    return event;
}

void health_collector::report(std::optional<health_event> event,
                              upstream_record& up, health_events& events)
{
    if (!event) {
        return;
    }
    event->upstream = up.address;
    if (event->kind == health_event_kind::ejected) {
        up.ejected_score = event->score;
        up.ejected_hosts = event->hosts;
        up.ejected_severity = severity_of(event->evidence);
        up.tests = {};
        up.probes.reset();
        up.evidence = {};
        up.contributions.clear();
    }
    ++sequence_;
    events.push_back(*event);
}

health_events health_collector::advance(state::time_point now)
{
    health_events events;
    if (now - hosts_checked_ >= host_inactivity_timeout / 4) {
        remove_inactive_hosts(now);
    }
    for (auto& it : upstreams_) {
        report(it.lifecycle.advance(now), it, events);
        const double weight = it.lifecycle.weight(now);
        if (weight != it.published_weight) {
            it.published_weight = weight;
            ++sequence_;
        }
    }
    return events;
}

bool health_collector::is_suspected(const upstream_record& up) const
{
    const auto& tests = up.tests[state::index_of(health_signal::errors)];
    return up.lifecycle.state() == upstream_state::in_service &&
           tests[class_count].score() >= thresholds_.suspect;
}

state::duration
health_collector::probe_interval_of(const upstream_record& up) const
{
    switch (up.lifecycle.state()) {
    case upstream_state::probing:
        return probe_interval;
    case upstream_state::in_service:
        return is_suspected(up) ? suspect_probe_interval
                                : background_probe_interval;
    default:
        return state::duration::max();
    }
}

std::vector<state::endpoint>
health_collector::take_probes(state::time_point now)
{
    std::vector<state::endpoint> due;
    const auto count = upstreams_.size();
    for (std::size_t n = 0; n < count; ++n) {
        auto& up = upstreams_[(next_probe_ + n) % count];
        if (!up.lifecycle.probe_due(now, probe_interval_of(up))) {
            continue;
        }
        if (!budget_.take(now)) {
            next_probe_ = (next_probe_ + n) % count;
            break;
        }
        up.lifecycle.probe_started(now);
        due.push_back(up.address);
    }
    return due;
}

health_events health_collector::add_probe(const state::endpoint& upstream,
                                          bool healthy, state::time_point now)
{
    health_events events;
    auto* up = find(upstream);
    if (up == nullptr) {
        return events;
    }
    report(up->lifecycle.probe_result(healthy, now), *up, events);
    if (!is_suspected(*up)) {
        up->endpoint_credible = healthy;
        return events;
    }
    if (!up->endpoint_credible) {
        return events;
    }
    state::evidence_counts counts;
    ++counts[healthy ? evidence_kind::success : evidence_kind::failure];
    const auto errors = state::index_of(health_signal::errors);
    up->probes.add(log_likelihood_ratio(health_signal::errors, counts,
                                        weights_of({})[errors]));
    report(evaluate(*up, now), *up, events);
    return events;
}

health_events health_collector::set_leaving(const state::endpoint& upstream,
                                            bool leaving, state::time_point now)
{
    health_events events;
    if (auto* up = find(upstream)) {
        report(leaving ? up->lifecycle.leave(now) : up->lifecycle.rejoin(now),
               *up, events);
    }
    return events;
}

void health_collector::refresh_baseline(state::time_point now)
{
    const auto passed = now - baseline_refreshed_;
    const double factor = decay_factor(passed, baseline_seconds);
    const double burst_factor = decay_factor(passed, burst_baseline_seconds);
    std::vector<signal_counts> counts(upstreams_.size());
    std::vector<signal_counts> burst_counts(upstreams_.size());
    double requests = 0;
    for (std::size_t c = 0; c < class_count; ++c) {
        for (std::size_t n = 0; n < upstreams_.size(); ++n) {
            auto& up = upstreams_[n];
            up.recent[c].scale(factor);
            up.recent_burst[c].scale(burst_factor);
            counts[n] = up.recent[c];
            burst_counts[n] = up.recent_burst[c];
            requests += counts[n].requests;
        }
        const auto usual = baseline_of(counts);
        const auto burst = baseline_of(burst_counts);
        weights_[c] = weights_of({std::max(usual.error_rate, burst.error_rate),
                                  std::max(usual.slow_rate, burst.slow_rate)});
    }
    baseline_refreshed_ = now;
    update_upstream_rate(requests);
}

void health_collector::update_upstream_rate(double requests)
{
    const auto count = std::max<std::size_t>(upstreams_.size(), 1);
    const double rate =
        requests / baseline_seconds / static_cast<double>(count);
    upstream_rate_ += rate_smoothing * (rate - upstream_rate_);
    thresholds_ = derive_thresholds(costs_, upstream_rate_);
}

state::verdict_set health_collector::verdicts(state::time_point now) const
{
    state::verdict_set set;
    set.sequence = sequence_;
    for (const auto& it : upstreams_) {
        if (it.lifecycle.state() == upstream_state::in_service) {
            continue;
        }
        if (set.verdicts.size() == state::max_verdicts) {
            break;
        }
        set.verdicts.push_back({it.address, it.lifecycle.state(),
                                it.lifecycle.weight(now), it.ejected_score,
                                it.ejected_severity, it.ejected_hosts});
    }
    return set;
}

std::size_t health_collector::memory_bytes() const
{
    constexpr std::size_t host_bytes =
        sizeof(state::endpoint) + sizeof(host_record) + 4 * sizeof(void*);
    return sizeof(*this) + upstreams_.capacity() * sizeof(upstream_record) +
           hosts_.size() * host_bytes;
}

} // namespace oriolegrade::coordination
