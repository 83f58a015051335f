// Encoding of administration answers.

#include <oriolegrade/protocol/admin_json.hpp>

#include <oriolegrade/protocol/record_json.hpp>

#include <boost/json.hpp>

#include <algorithm>

namespace oriolegrade::protocol {

namespace json = boost::json;

namespace {

json::object key_object(const state::record_key& key)
{
    return {{"kind", state::name_of(key.kind)},
            {"name", key.name},
            {"schema_version", key.schema_version}};
}

json::object result_object(const record_result& it)
{
    auto object = key_object(it.key);
    if (!it.published) {
        object["verdict"] = "valid";
        return object;
    }
    object["change_id"] = to_string(it.change_id);
    object["verdict"] = state::name_of(it.published->outcome);
    const bool judged =
        it.published->outcome == coordination::publish_outcome::accepted ||
        it.published->outcome == coordination::publish_outcome::refused;
    if (judged) {
        object["offset"] = it.published->offset;
        object["revision"] = it.published->decision.revision;
    }
    if (it.published->decision.winner_change) {
        object["winner"] = it.published->decision.winner;
        object["winner_change"] =
            to_string(it.published->decision.winner_change);
    }
    return object;
}

json::object evaluated_object(const coordination::evaluated_record& rec)
{
    auto object = key_object(rec.key);
    object["change_id"] = to_string(rec.change_id);
    object["operator"] = rec.operator_name;
    object["offset"] = rec.offset;
    object["verdict"] = state::name_of(rec.decision.verdict);
    object["revision"] = rec.decision.revision;
    if (rec.decision.winner_change) {
        object["winner"] = rec.decision.winner;
        object["winner_change"] = to_string(rec.decision.winner_change);
    }
    return object;
}

json::object entry_object(const state::entry& it)
{
    auto object = key_object(it.key);
    object["revision"] = it.revision;
    object["offset"] = it.offset;
    object["change_id"] = to_string(it.change_id);
    object["operator"] = it.operator_name;
    return object;
}

/// Body as an operator would write it.
json::value body_value(const state::entry& it)
{
    const state::record rec{it.key, it.revision, it.change_id, it.operator_name,
                            it.body};
    boost::system::error_code ec;
    auto value = json::parse(encode_record(rec), ec);
    return ec ? json::value() : value.at("body");
}

/// Verdict on an upstream; in service when there is none.
state::health_verdict verdict_on(const std::vector<state::verdict_set>& sets,
                                 const state::record_key& service,
                                 const state::endpoint& upstream)
{
    for (const auto& set : sets) {
        if (set.service != service.name ||
            set.schema_version != service.schema_version) {
            continue;
        }
        for (const auto& it : set.verdicts) {
            if (it.upstream == upstream) {
                return it;
            }
        }
    }
    state::health_verdict healthy;
    healthy.upstream = upstream;
    return healthy;
}

json::object upstream_object(const state::record_key& service,
                             const state::health_verdict& it)
{
    return {{"service", service.name},
            {"schema_version", service.schema_version},
            {"address", to_string(it.upstream)},
            {"state", state::name_of(it.state)},
            {"weight", it.weight},
            {"score", it.score},
            {"bad_share", it.severity},
            {"hosts", it.hosts}};
}

void sort_by_key(std::vector<state::entry_ptr>& entries)
{
    std::sort(entries.begin(), entries.end(),
              [](const auto& a, const auto& b) { return a->key < b->key; });
}

template <class Convert>
std::string encode_list(std::string_view key,
                        std::vector<state::entry_ptr> entries, Convert convert)
{
    sort_by_key(entries);
    json::array list;
    for (const auto& it : entries) {
        list.push_back(convert(*it));
    }
    json::object object;
    object[key] = std::move(list);
    return json::serialize(object);
}

} // namespace

std::string encode_findings(const state::findings& list)
{
    json::array items;
    for (const auto& it : list.items()) {
        items.push_back(json::object{{"code", state::name_of(it.code)},
                                     {"place", it.place},
                                     {"message", it.message}});
    }
    return json::serialize(json::object{{"findings", std::move(items)}});
}

std::string encode_results(const std::vector<record_result>& results)
{
    json::array items;
    for (const auto& it : results) {
        items.push_back(result_object(it));
    }
    return json::serialize(json::object{{"results", std::move(items)}});
}

std::string encode_error(std::string_view message)
{
    return json::serialize(json::object{{"error", message}});
}

std::string encode_entry_list(std::vector<state::entry_ptr> entries)
{
    return encode_list("records", std::move(entries), entry_object);
}

std::string encode_entries(std::vector<state::entry_ptr> entries)
{
    return encode_list("records", std::move(entries),
                       [](const state::entry& it) {
                           auto object = entry_object(it);
                           object["body"] = body_value(it);
                           return object;
                       });
}

std::string
encode_history(const std::vector<coordination::evaluated_record>& changes)
{
    json::array list;
    for (const auto& it : changes) {
        list.push_back(evaluated_object(it));
    }
    return json::serialize(json::object{{"changes", std::move(list)}});
}

std::string encode_hosts(const std::vector<host_status>& hosts)
{
    json::array list;
    for (const auto& it : hosts) {
        list.push_back(json::object{{"name", it.name},
                                    {"data_centre", it.data_centre},
                                    {"state", it.state},
                                    {"address", to_string(it.address)},
                                    {"applied_offset", it.applied_offset}});
    }
    return json::serialize(json::object{{"hosts", std::move(list)}});
}

std::string encode_change(const coordination::change_status& status)
{
    auto object = evaluated_object(status.record);
    const bool accepted = status.record.decision.verdict ==
                          coordination::acceptance_outcome::accepted;
    object["applied"] = status.applied;
    object["live"] = status.live;
    object["lagging"] = json::value_from(status.lagging);
    object["in_force_everywhere"] = accepted && status.lagging.empty();
    return json::serialize(object);
}

std::string encode_upstreams(const state::configuration& conf,
                             const std::vector<state::verdict_set>& verdicts)
{
    std::vector<state::entry_ptr> services;
    conf.for_each([&](const state::entry_ptr& it) {
        if (it->key.kind == state::record_kind::service) {
            services.push_back(it);
        }
    });
    sort_by_key(services);
    json::array list;
    for (const auto& it : services) {
        const auto& spec = std::get<state::service_spec>(it->body);
        for (const auto& upstream : spec.upstreams) {
            const auto verdict =
                verdict_on(verdicts, it->key, upstream.address);
            list.push_back(upstream_object(it->key, verdict));
        }
    }
    return json::serialize(json::object{{"upstreams", std::move(list)}});
}

} // namespace oriolegrade::protocol
