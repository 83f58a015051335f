// Health collectors of one host.

#include <oriolegrade/coordination/collector_set.hpp>

#include <oriolegrade/coordination/evidence_batcher.hpp>

namespace oriolegrade::coordination {

namespace {

using state::upstream_state;

/// Twice the services of the largest fleet. One host collects for nearly all
/// services only when hosts have wrong views of the fleet's membership.
constexpr std::size_t max_collectors = 1024;
constexpr std::size_t max_reporters = 4096;
/// A host receives verdict pushes for this long after its last message.
constexpr state::duration reporter_retention = std::chrono::seconds(30);
/// Distance between the first sequences of two collectors that are created one
/// after the other for the same service.
constexpr std::uint64_t sequence_step = 1ULL << 32U;
/// active_tick stays in use for this long after evidence against an upstream.
constexpr state::duration negative_evidence_hold = std::chrono::seconds(2);

void append(service_events& out, const service_key& key,
            const health_events& events)
{
    for (const auto& it : events) {
        out.push_back({key, it});
    }
}

} // namespace

collector_set::collector_set(const state::endpoint& self,
                             std::uint64_t first_sequence)
    : self_(self)
    , first_sequence_(first_sequence)
{}

collector_set::service*
collector_set::find_or_create(const service_key& key,
                              const state::configuration& conf,
                              state::time_point now, service_events& events)
{
    const auto known = services_.find(key);
    if (known != services_.end()) {
        return &known->second;
    }
    const auto entry =
        conf.find({state::record_kind::service, key.name, key.schema_version});
    if (!entry || services_.size() >= max_collectors) {
        return nullptr;
    }
    const auto first = first_sequence_ + ++created_ * sequence_step;
    auto& created = services_.try_emplace(key, entry, first).first->second;
    for (const auto& it :
         std::get<state::service_spec>(entry->body).upstreams) {
        if (leaving_.contains(it.address)) {
            append(events, key,
                   created.collector.set_leaving(it.address, true, now));
        }
    }
    return &created;
}

service_events collector_set::add(const state::evidence_batch& batch,
                                  const state::configuration& conf,
                                  state::time_point now)
{
    service_events events;
    const service_key key{batch.service, batch.schema_version};
    auto* it = find_or_create(key, conf, now, events);
    if (it == nullptr) {
        return events;
    }
    it->last_used = now;
    if (it->reporters.size() < max_reporters ||
        it->reporters.count(batch.host) != 0) {
        it->reporters[batch.host] = now;
    }
    if (batch.items.empty()) {
        return events;
    }
    if (has_negative_evidence(batch)) {
        it->last_negative = now;
    }
    append(events, key, it->collector.add(batch, now));
    return events;
}

void collector_set::update(const state::configuration& conf)
{
    for (auto it = services_.begin(); it != services_.end();) {
        const auto entry =
            conf.find({state::record_kind::service, it->first.name,
                       it->first.schema_version});
        if (!entry) {
            it = services_.erase(it);
            continue;
        }
        if (entry != it->second.entry) {
            it->second.entry = entry;
            it->second.collector.update(
                std::get<state::service_spec>(entry->body));
        }
        ++it;
    }
}

service_events collector_set::advance(state::time_point now)
{
    service_events events;
    for (auto it = services_.begin(); it != services_.end();) {
        if (now - it->second.last_used >= service_retention) {
            it = services_.erase(it);
            continue;
        }
        append(events, it->first, it->second.collector.advance(now));
        std::erase_if(it->second.reporters, [&](const auto& reporter) {
            return now - reporter.second >= reporter_retention;
        });
        ++it;
    }
    return events;
}

std::vector<service_probe> collector_set::take_probes(state::time_point now)
{
    std::vector<service_probe> probes;
    for (auto& [key, it] : services_) {
        for (const auto& upstream : it.collector.take_probes(now)) {
            probes.push_back({key, upstream});
        }
    }
    if (!probes.empty()) {
        probed_ = now;
    }
    return probes;
}

service_events collector_set::add_probe(const service_probe& probe,
                                        bool healthy, state::time_point now)
{
    service_events events;
    const auto it = services_.find(probe.service);
    if (it != services_.end()) {
        append(events, probe.service,
               it->second.collector.add_probe(probe.upstream, healthy, now));
    }
    return events;
}

service_events collector_set::set_leaving(const state::endpoint& upstream,
                                          bool leaving, state::time_point now)
{
    service_events events;
    for (auto& [key, it] : services_) {
        append(events, key, it.collector.set_leaving(upstream, leaving, now));
    }
    return events;
}

service_events collector_set::drain_signal(const state::endpoint& upstream,
                                           state::time_point now)
{
    return leaving_.drain_signal(upstream, now)
               ? set_leaving(upstream, true, now)
               : service_events();
}

service_events collector_set::list_says(const state::endpoint& upstream,
                                        listed_state listed,
                                        state::time_point now)
{
    return leaving_.list_says(upstream, listed, now)
               ? set_leaving(upstream, leaving_.contains(upstream), now)
               : service_events();
}

std::optional<state::verdict_set>
collector_set::verdicts(const service_key& key, state::time_point now) const
{
    const auto it = services_.find(key);
    if (it == services_.end()) {
        return std::nullopt;
    }
    auto set = it->second.collector.verdicts(now);
    set.collector = self_;
    set.service = key.name;
    set.schema_version = key.schema_version;
    set.sequence += it->second.first_sequence;
    return set;
}

std::vector<verdict_push> collector_set::take_pushes(state::time_point now)
{
    std::vector<verdict_push> pushes;
    for (auto& [key, it] : services_) {
        if (it.checked_sequence != it.collector.sequence()) {
            it.checked_sequence = it.collector.sequence();
            append_push(key, it, now, pushes);
        }
    }
    return pushes;
}

void collector_set::append_push(const service_key& key, service& it,
                                state::time_point now,
                                std::vector<verdict_push>& pushes) const
{
    auto set = *verdicts(key, now);
    std::set<state::endpoint> out_of_service;
    bool newly_out = false;
    for (const auto& verdict : set.verdicts) {
        if (verdict.state == upstream_state::ejected ||
            verdict.state == upstream_state::leaving) {
            out_of_service.insert(verdict.upstream);
            newly_out =
                newly_out || it.out_of_service.count(verdict.upstream) == 0;
        }
    }
    it.out_of_service = std::move(out_of_service);
    if (!newly_out) {
        return;
    }
    verdict_push push{std::move(set), {}};
    for (const auto& [host, last_heard] : it.reporters) {
        if (host != self_) {
            push.hosts.push_back(host);
        }
    }
    pushes.push_back(std::move(push));
}

std::optional<state::duration>
collector_set::next_advance_delay(state::time_point now) const
{
    if (services_.empty()) {
        return std::nullopt;
    }
    if (now - probed_ < active_tick) {
        return probing_tick;
    }
    for (const auto& [key, it] : services_) {
        if (now - it.last_negative < negative_evidence_hold ||
            !it.collector.verdicts(now).verdicts.empty()) {
            return active_tick;
        }
    }
    return idle_tick;
}

std::size_t collector_set::memory_bytes() const
{
    std::size_t bytes = 0;
    for (const auto& [key, it] : services_) {
        bytes +=
            sizeof(it) + it.collector.memory_bytes() +
            it.reporters.size() * (sizeof(state::endpoint) + 4 * sizeof(void*));
    }
    return bytes;
}

} // namespace oriolegrade::coordination
