// Construction and publication of service tables.

#include <oriolegrade/transport/service_control.hpp>

#include <oriolegrade/transport/event_log.hpp>

#include <boost/fiber/operations.hpp>

#include <algorithm>

namespace oriolegrade::transport {

namespace {

constexpr coordination::subset_options subset_rule;

bool same_hosts(const std::vector<coordination::subset_host>& a,
                const std::vector<coordination::subset_host>& b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](const auto& x, const auto& y) {
                          return x.name == y.name &&
                                 x.data_centre == y.data_centre;
                      });
}

void log_decision(const coordination::health_event& it,
                  const std::string& service)
{
    event(log_level::info, "health_decision")
        .with("decision", coordination::audit_line(it, service));
}

} // namespace

service_control::service_control(entry_shared& shared,
                                 coordination::subset_host host)
    : shared_(shared)
    , host_(std::move(host))
    , hosts_{host_}
{}

void service_control::take_configuration(const state::configuration& conf)
{
    bool changed = false;
    conf.for_each([&](const state::entry_ptr& entry) {
        if (entry->key.kind != state::record_kind::service) {
            return;
        }
        auto& it = services_[entry->key];
        if (it.entry == entry) {
            return;
        }
        it.entry = entry;
        if (!it.controls) {
            it.controls = std::make_shared<service_controls>(entry->key);
        }
        assign(it);
        it.health.judge(std::get<state::service_spec>(entry->body), leaving_,
                        std::chrono::steady_clock::now());
        build(it);
        changed = true;
    });
    if (changed) {
        publish();
        prune();
    }
}

void service_control::take_peers(const state::peer_directory& peers)
{
    std::vector<coordination::subset_host> hosts{host_};
    for (const auto& it : peers.peers()) {
        if (!it.leaving && it.name != host_.name) {
            hosts.push_back({it.name, it.data_centre});
        }
    }
    std::sort(hosts.begin(), hosts.end(),
              [](const auto& a, const auto& b) { return a.name < b.name; });
    if (same_hosts(hosts, hosts_)) {
        return;
    }
    hosts_ = std::move(hosts);
    own_index_ = static_cast<std::size_t>(
        std::find_if(hosts_.begin(), hosts_.end(),
                     [&](const auto& h) { return h.name == host_.name; }) -
        hosts_.begin());
    for (auto& [key, it] : services_) {
        assign(it);
        build(it);
    }
    publish();
    prune();
}

void service_control::assign(service& it)
{
    it.assignment = coordination::assign_subsets(
        std::get<state::service_spec>(it.entry->body), hosts_, subset_rule);
}

void service_control::build(service& it)
{
    const auto& spec = std::get<state::service_spec>(it.entry->body);
    const auto members =
        coordination::subset_of_host(spec, hosts_, it.assignment, own_index_,
                                     it.health.standings(), subset_rule);
    auto table = std::make_shared<service_table>();
    table->picks =
        state::build_pick_table(spec, it.health.standings(), members, loads_,
                                it.table ? it.table->picks.get() : nullptr);
    for (const auto& candidate : table->picks->candidates) {
        table->upstreams.push_back(controls_of(candidate.address));
    }
    table->controls = it.controls;
    it.table = std::move(table);
}

void service_control::set_verdicts(state::verdict_set verdicts)
{
    const auto found =
        services_.find({state::record_kind::service, verdicts.service,
                        verdicts.schema_version});
    if (found == services_.end()) {
        return;
    }
    found->second.health.set_verdicts(std::move(verdicts));
    if (judge(found->second, std::chrono::steady_clock::now())) {
        publish();
    }
}

void service_control::collect(state::time_point now)
{
    shared_.evidence.collect([&](const collected_evidence& it) {
        for (const auto& found : it.services) {
            take_evidence(found, now);
        }
        for (const auto& upstream : it.draining) {
            const auto event = leaving_.drain_signal(upstream, now);
            take_leave_event(event);
            if (event) {
                send_drain(upstream);
            }
        }
    });
    expire_notices(now);
    bool changed = false;
    for (auto& [key, it] : services_) {
        if (leaving_changed_ || it.health.pending()) {
            changed = judge(it, now) || changed;
        }
    }
    leaving_changed_ = false;
    if (changed) {
        publish();
        prune();
    }
}

void service_control::run()
{
    for (;;) {
        boost::this_fiber::sleep_for(collect_interval);
        run_step("evidence",
                 [this] { collect(std::chrono::steady_clock::now()); });
    }
}

void service_control::take_evidence(const service_evidence& found,
                                    state::time_point now)
{
    const auto known = services_.find(found.service->key);
    if (known != services_.end()) {
        known->second.health.add(found.items, now);
        send_batch(known->second, found.items);
    }
}

void service_control::send_batch(const service& it,
                                 std::vector<state::evidence_item> items)
{
    if (!on_evidence) {
        return;
    }
    state::evidence_batch batch;
    batch.host = shared_.options.forward_listen;
    batch.service = it.entry->key.name;
    batch.schema_version = it.entry->key.schema_version;
    batch.incarnation = incarnation_;
    batch.sequence = ++evidence_sequence_;
    batch.host_suspects_itself = it.health.host_suspects_itself();
    batch.items = std::move(items);
    on_evidence(batch);
}

void service_control::send_drain(const state::endpoint& upstream)
{
    if (!on_drain) {
        return;
    }
    for (const auto& [key, it] : services_) {
        const auto& spec = std::get<state::service_spec>(it.entry->body);
        const bool own = std::any_of(
            spec.upstreams.begin(), spec.upstreams.end(),
            [&](const auto& known) { return known.address == upstream; });
        if (own) {
            on_drain(key, upstream);
        }
    }
}

void service_control::take_leave_event(
    const std::optional<coordination::health_event>& event)
{
    if (!event) {
        return;
    }
    log_decision(*event, "");
    leaving_changed_ = true;
    if (event->kind == coordination::health_event_kind::leaving) {
        draining_.push_back(event->upstream);
    }
}

void service_control::expire_notices(state::time_point now)
{
    std::erase_if(draining_, [&](const state::endpoint& upstream) {
        take_leave_event(leaving_.update_listed_state(
            upstream, coordination::listed_state::live, now));
        return !leaving_.contains(upstream);
    });
}

bool service_control::judge(service& it, state::time_point now)
{
    const bool changed = it.health.judge(
        std::get<state::service_spec>(it.entry->body), leaving_, now);
    for (const auto& event : it.health.take_events()) {
        log_decision(event, it.entry->key.name);
    }
    if (changed) {
        build(it);
    }
    return changed;
}

void service_control::publish()
{
    auto set = std::make_shared<service_table_set>();
    for (const auto& [key, it] : services_) {
        set->put(key, it.table);
    }
    shared_.services.publish(std::move(set));
}

upstream_controls_ptr
service_control::controls_of(const state::endpoint& upstream)
{
    auto& known = controls_[upstream];
    auto it = known.lock();
    if (!it) {
        it = std::make_shared<upstream_controls>();
        known = it;
    }
    return it;
}

void service_control::prune()
{
    loads_.prune();
    std::erase_if(controls_,
                  [](const auto& it) { return it.second.expired(); });
}

} // namespace oriolegrade::transport
