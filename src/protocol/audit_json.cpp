// JSON form of audit batches.

#include <oriolegrade/protocol/audit_json.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <limits>

namespace oriolegrade::protocol {

namespace {

constexpr std::uint64_t max_number = std::numeric_limits<std::int64_t>::max();

/// Text for the audit trail. Bytes that no JSON text may hold are replaced.
std::string clean(std::string_view text)
{
    std::string out(text.substr(0, max_audit_text));
    for (auto& c : out) {
        if (static_cast<unsigned char>(c) < ' ' ||
            static_cast<unsigned char>(c) > '~') {
            c = '?';
        }
    }
    return out;
}

boost::json::object event_object(const state::audit_event& event)
{
    const auto kind = name_of(event.kind);
    boost::json::object out;
    out["kind"] = boost::json::string_view(kind.data(), kind.size());
    out["unix_ms"] = event.unix_ms;
    if (!event.actor.empty()) {
        out["actor"] = clean(event.actor);
    }
    if (!event.subject.empty()) {
        out["subject"] = clean(event.subject);
    }
    if (event.change_id) {
        out["change_id"] = to_string(event.change_id);
    }
    if (!event.detail.empty()) {
        out["detail"] = clean(event.detail);
    }
    if (event.count > 0) {
        out["count"] = event.count;
    }
    return out;
}

std::string optional_text(json_object_reader& in, std::string_view key)
{
    return in.text(key, text_form::line, {0, max_audit_text}, std::string());
}

state::audit_event read_event(const boost::json::value& value,
                              const std::string& place, state::findings& out)
{
    json_object_reader in(value, place, out);
    state::audit_event event;
    event.kind = in.enumerator<state::audit_kind>("kind");
    event.unix_ms =
        static_cast<std::int64_t>(in.number("unix_ms", {0, max_number}));
    event.actor = optional_text(in, "actor");
    event.subject = optional_text(in, "subject");
    event.change_id =
        state::identifier_from_string(optional_text(in, "change_id"))
            .value_or(state::identifier());
    event.detail = optional_text(in, "detail");
    event.count = in.number("count", {0, max_number}, 0);
    in.finish();
    return event;
}

} // namespace

std::string encode_audit_batch(const state::audit_batch& batch)
{
    boost::json::array events;
    events.reserve(batch.events.size());
    for (const auto& it : batch.events) {
        events.push_back(event_object(it));
    }
    boost::json::object out;
    out["host"] = batch.host;
    out["incarnation"] = batch.incarnation;
    out["sequence"] = batch.sequence;
    out["events"] = std::move(events);
    return boost::json::serialize(out);
}

state::result<state::audit_batch, state::findings>
decode_audit_batch(std::string_view bytes)
{
    auto root = parse_json(bytes, audit_limits);
    if (!root) {
        return std::move(root).error();
    }
    state::findings out;
    json_object_reader in(root.value(), "", out);
    state::audit_batch batch;
    batch.host = in.name("host");
    batch.incarnation = in.number(
        "incarnation", {0, std::numeric_limits<std::uint64_t>::max()});
    batch.sequence = in.number("sequence", {0, max_number});
    const auto* events = in.list("events", {0, max_audit_events});
    if (events && events->size() <= max_audit_events) {
        for (const auto& it : *events) {
            batch.events.push_back(read_event(
                it, element_place("/events", batch.events.size()), out));
        }
    }
    in.finish();
    if (!out.empty()) {
        return out;
    }
    return batch;
}

} // namespace oriolegrade::protocol
