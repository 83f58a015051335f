// Conversion of relayed reads to and from protobuf.

#include <oriolegrade/protocol/source_messages.hpp>

#include "message_check.hpp"

#include <source.pb.h>

namespace oriolegrade::protocol {

namespace {

using std::chrono::milliseconds;

/// A fleet's register with the heartbeats of some seconds stays below it.
constexpr int max_changes = 200000;

void write(state::source_failure failure, wire::source_reply& out)
{
    out.mutable_failed()->set_failure(static_cast<std::uint32_t>(failure));
}

void write(const state::rules_read& read, wire::source_reply& out)
{
    auto& rules = *out.mutable_rules();
    rules.set_next_offset(read.next_offset);
    if (read.document) {
        rules.set_has_document(true);
        rules.set_document(*read.document);
    }
}

void write(const state::registry_read& read, wire::source_reply& out)
{
    auto& registered = *out.mutable_registered();
    registered.set_next_offset(read.next_offset);
    registered.set_age_ms(wire_time<milliseconds>(read.age));
    for (const auto& it : read.changes) {
        auto& row = *registered.add_changes();
        row.set_kind(static_cast<std::uint32_t>(it.kind));
        row.set_id(it.id);
        if (it.entry) {
            auto& entry = *row.mutable_entry();
            entry.set_service(it.entry->service);
            entry.set_address(packed(it.entry->address));
            entry.set_data_centre(it.entry->data_centre);
            entry.set_slots(it.entry->slots);
            entry.set_state(static_cast<std::uint32_t>(it.entry->state));
            entry.set_warmup_left_ms(
                wire_time<milliseconds>(it.entry->warmup_left));
            entry.set_born(it.entry->born);
            entry.set_sequence(it.entry->sequence);
        }
    }
}

state::registered_upstream read(const std::string& id,
                                const wire::register_entry& it,
                                const message_check& check)
{
    state::registered_upstream out;
    out.id = id;
    out.service = it.service();
    out.address = check.endpoint(it.address(), "address");
    out.data_centre = it.data_centre();
    out.slots = it.slots();
    out.state =
        check.enumerator<state::registration_state>(it.state(), "state");
    out.warmup_left = milliseconds(it.warmup_left_ms());
    out.born = it.born();
    out.sequence = it.sequence();
    check.require(out.slots > 0 && out.slots <= state::max_upstream_slots,
                  "slots", "is out of range");
    return out;
}

state::registry_change read(const wire::register_change& it,
                            const message_check& check)
{
    using state::registry_change_kind;
    state::registry_change out;
    out.kind = check.enumerator<registry_change_kind>(it.kind(), "kind");
    out.id = it.id();
    if (it.has_entry()) {
        out.entry = read(out.id, it.entry(), check.below("entry"));
    }
    check.require(out.entry.has_value() ==
                      (out.kind == registry_change_kind::written),
                  "entry", "does not fit the kind");
    return out;
}

state::registry_read read(const wire::register_part& it,
                          const message_check& check)
{
    state::registry_read out;
    out.next_offset = it.next_offset();
    out.age = milliseconds(it.age_ms());
    if (check.require(it.changes_size() <= max_changes, "changes",
                      "has too many rows")) {
        for (const auto& row : it.changes()) {
            out.changes.push_back(
                read(row, check.below("changes").below(out.changes.size())));
        }
    }
    return out;
}

} // namespace

std::string encode_source_request(const state::source_request& request)
{
    wire::source_request out;
    out.set_call(static_cast<std::uint32_t>(request.call));
    out.set_from(request.from);
    return out.SerializeAsString();
}

state::result<state::source_request, state::findings>
decode_source_request(std::string_view bytes)
{
    state::findings out;
    wire::source_request message;
    if (!parse_message(message, bytes, max_source_request_bytes, out)) {
        return out;
    }
    const message_check check("", out);
    state::source_request request{
        check.enumerator<state::source_call>(message.call(), "call"),
        message.from()};
    if (!out.empty()) {
        return out;
    }
    return request;
}

std::string encode_source_reply(const state::source_reply& reply)
{
    wire::source_reply out;
    std::visit([&](const auto& it) { write(it, out); }, reply);
    return out.SerializeAsString();
}

state::result<state::source_reply, state::findings>
decode_source_reply(std::string_view bytes)
{
    state::findings out;
    wire::source_reply message;
    if (!parse_message(message, bytes, max_source_reply_bytes, out)) {
        return out;
    }
    const message_check check("", out);
    state::source_reply reply;
    switch (message.what_case()) {
    case wire::source_reply::kFailed:
        reply = check.enumerator<state::source_failure>(
            message.failed().failure(), "failure");
        break;
    case wire::source_reply::kRules: {
        const auto& rules = message.rules();
        state::rules_read read;
        read.next_offset = rules.next_offset();
        if (rules.has_document()) {
            read.document = rules.document();
        }
        reply = std::move(read);
        break;
    }
    case wire::source_reply::kRegistered:
        reply = read(message.registered(), check.below("registered"));
        break;
    case wire::source_reply::WHAT_NOT_SET:
        report(out, state::finding_code::missing_key, "", "has no content");
        break;
    }
    if (!out.empty()) {
        return out;
    }
    return reply;
}

} // namespace oriolegrade::protocol
