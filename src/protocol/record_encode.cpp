// JSON encoding of configuration records.

#include <oriolegrade/protocol/record_json.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <cassert>
#include <chrono>

namespace oriolegrade::protocol {

namespace {

boost::json::string_view text(std::string_view view)
{
    return {view.data(), view.size()};
}

boost::json::array upstreams(const std::vector<state::upstream_spec>& specs)
{
    boost::json::array out;
    out.reserve(specs.size());
    for (const auto& it : specs) {
        out.push_back(boost::json::object{
            {"address", to_string(it.address)},
            {"data_centre", it.data_centre},
            {"slots", it.slots},
            {"max_connections", it.max_connections},
        });
    }
    return out;
}

boost::json::object service_body(const state::service_spec& spec,
                                 std::uint32_t version)
{
    boost::json::object out;
    out["upstreams"] = upstreams(spec.upstreams);
    if (version == 1) {
        // Set by every decoder of version 1; floor_slots alone cannot be
        // turned back into a share.
        assert(spec.floor_percent && spec.profile);
        out["floor_percent"] = *spec.floor_percent;
        out["health_profile"] = text(name_of(*spec.profile));
        return out;
    }
    out["floor_slots"] = spec.floor_slots;
    out["costs"] = boost::json::object{
        {"false_ejection", json_number(spec.costs.false_ejection)},
        {"detection_second", json_number(spec.costs.detection_second)},
    };
    return out;
}

boost::json::object route_body(const state::route_spec& spec)
{
    const auto deadline =
        std::chrono::duration_cast<std::chrono::milliseconds>(spec.deadline);
    boost::json::array methods;
    for (const auto& it : spec.methods) {
        methods.emplace_back(it);
    }
    return {
        {"path_prefix", spec.path_prefix},
        {"methods", std::move(methods)},
        {"service", spec.service},
        {"request_class", text(name_of(spec.request))},
        {"deadline_ms", deadline.count()},
        {"max_request_bytes", spec.max_request_bytes},
        {"max_response_bytes", spec.max_response_bytes},
        {"max_attempts", spec.max_attempts},
        {"hedge", spec.hedge},
        {"priority", text(name_of(spec.order))},
        {"allow_unkeyed", spec.allow_unkeyed},
    };
}

boost::json::object workspace_body(const state::workspace_spec& spec)
{
    return {
        {"requests_per_second", json_number(spec.requests_per_second)},
        {"burst", spec.burst},
        {"max_concurrent", spec.max_concurrent},
    };
}

boost::json::object body_object(const state::record_key& key,
                                const state::record_body& body)
{
    switch (key.kind) {
    case state::record_kind::service:
        return service_body(std::get<state::service_spec>(body),
                            key.schema_version);
    case state::record_kind::route:
        return route_body(std::get<state::route_spec>(body));
    case state::record_kind::workspace:
        return workspace_body(std::get<state::workspace_spec>(body));
    }
    return {};
}

/// Members that every record begins with.
boost::json::object head(const state::record_key& key,
                         std::uint64_t base_revision)
{
    boost::json::object out;
    out["kind"] = text(name_of(key.kind));
    out["name"] = key.name;
    out["schema_version"] = key.schema_version;
    out["base_revision"] = base_revision;
    return out;
}

} // namespace

std::string encode_record(const state::record& rec)
{
    auto out = head(rec.key, rec.base_revision);
    out["change_id"] = to_string(rec.change_id);
    out["operator"] = rec.operator_name;
    out["body"] = body_object(rec.key, rec.body);
    return boost::json::serialize(out);
}

std::string encode_editable(const state::entry& it)
{
    auto out = head(it.key, it.revision);
    out["body"] = body_object(it.key, it.body);
    return boost::json::serialize(out);
}

} // namespace oriolegrade::protocol
