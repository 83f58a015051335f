// Conversion of dispatch frames to and from protobuf.

#include <oriolegrade/protocol/dispatch_messages.hpp>

#include <oriolegrade/protocol/packed_document.hpp>

#include "message_check.hpp"

#include <dispatch.pb.h>

#include <algorithm>

namespace oriolegrade::protocol {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::size_t max_text_bytes = 255;
constexpr int max_tried = 16;
constexpr int max_adopted = 4096;
constexpr int max_hosts = 4096;

std::int32_t to_signed_ms(state::duration d)
{
    const auto n = std::chrono::duration_cast<milliseconds>(d).count();
    return static_cast<std::int32_t>(
        std::clamp<std::int64_t>(n, std::numeric_limits<std::int32_t>::min(),
                                 std::numeric_limits<std::int32_t>::max()));
}

void check_text(const std::string& text, std::string_view field,
                const message_check& check)
{
    check.require(!text.empty() && text.size() <= max_text_bytes, field,
                  "is empty or too long");
}

void write(const entry_hello& it, wire::entry_frame& out)
{
    auto& hello = *out.mutable_hello();
    hello.set_host(it.host);
    hello.set_data_centre(it.data_centre);
    for (const auto& work : it.in_flight) {
        auto& row = *hello.add_in_flight();
        row.set_service(work.service);
        row.set_upstream(work.upstream);
        row.set_count(work.count);
    }
}

void write(const numbered<state::place_request>& it, wire::entry_frame& out)
{
    auto& ask = *out.mutable_ask();
    ask.set_number(it.number);
    ask.set_service(it.what.service);
    ask.set_route(it.what.route);
    ask.set_kind(static_cast<std::uint32_t>(it.what.kind));
    ask.set_repeatable(it.what.repeatable);
    ask.set_upload(it.what.upload);
    ask.set_placed_before(it.what.placed_before);
    ask.set_rank(it.what.rank);
    ask.set_time_left_ms(wire_time<milliseconds>(it.what.time_left));
    ask.set_target_left_ms(to_signed_ms(it.what.target_left));
    for (const auto& id : it.what.tried) {
        ask.add_tried(id);
    }
    ask.set_accept_stale(it.what.accept_stale);
    ask.set_workspace(it.what.workspace);
}

void write(const numbered<state::send_report>& it, wire::entry_frame& out)
{
    auto& report = *out.mutable_report();
    report.set_number(it.number);
    report.set_result(static_cast<std::uint32_t>(it.what.result));
    report.set_took_us(wire_time<microseconds>(it.what.took));
    report.set_unused(it.what.unused);
    report.set_leaving(it.what.wish.leaving);
    if (it.what.wish.pause) {
        report.set_pause_ms(wire_time<milliseconds>(*it.what.wish.pause));
    }
    if (it.what.load) {
        report.set_has_load(true);
        report.set_running(it.what.load->running);
        report.set_waiting(it.what.load->waiting);
        report.set_slots(it.what.load->slots);
    }
}

template <class Frame>
void write(const rules_notice& it, Frame& out)
{
    auto& rules = *out.mutable_rules();
    rules.set_version(it.version);
    if (it.confirmed_age) {
        rules.set_confirmed(true);
        rules.set_confirmed_age_ms(wire_time<milliseconds>(*it.confirmed_age));
    }
}

rules_notice read(const wire::rules_notice& it)
{
    rules_notice out{it.version(), {}};
    if (it.confirmed()) {
        out.confirmed_age = milliseconds(it.confirmed_age_ms());
    }
    return out;
}

entry_hello read(const wire::entry_hello& it, const message_check& check)
{
    entry_hello out{it.host(), it.data_centre(), {}};
    check_text(out.host, "host", check);
    check_text(out.data_centre, "data_centre", check);
    if (check.require(it.in_flight_size() <= max_adopted, "in_flight",
                      "has too many rows")) {
        for (const auto& row : it.in_flight()) {
            out.in_flight.push_back(
                {row.service(), row.upstream(), row.count()});
        }
    }
    return out;
}

numbered<state::place_request> read(const wire::place_request& it,
                                    const message_check& check)
{
    numbered<state::place_request> out;
    out.number = it.number();
    auto& what = out.what;
    what.service = it.service();
    what.route = it.route();
    what.kind = check.enumerator<state::send_kind>(it.kind(), "kind");
    what.repeatable = it.repeatable();
    what.upload = it.upload();
    what.placed_before = it.placed_before();
    what.rank = it.rank();
    what.time_left = milliseconds(it.time_left_ms());
    what.target_left = milliseconds(it.target_left_ms());
    what.accept_stale = it.accept_stale();
    check_text(what.service, "service", check);
    check_text(what.route, "route", check);
    what.workspace = it.workspace();
    check.require(what.workspace.size() <= max_text_bytes, "workspace",
                  "is too long");
    if (check.require(it.tried_size() <= max_tried, "tried",
                      "has too many rows")) {
        what.tried.assign(it.tried().begin(), it.tried().end());
    }
    return out;
}

numbered<state::send_report> read(const wire::send_report& it,
                                  const message_check& check)
{
    numbered<state::send_report> out;
    out.number = it.number();
    out.what.result =
        check.enumerator<state::send_result>(it.result(), "result");
    out.what.took = microseconds(it.took_us());
    out.what.unused = it.unused();
    out.what.wish.leaving = it.leaving();
    if (it.pause_ms() > 0) {
        out.what.wish.pause = milliseconds(it.pause_ms());
    }
    if (it.has_load()) {
        out.what.load =
            state::occupancy_report{it.running(), it.waiting(), it.slots()};
    }
    return out;
}

void write(const numbered<state::place>& it, wire::dispatcher_frame& out)
{
    auto& place = *out.mutable_place();
    place.set_number(it.number);
    place.set_upstream(it.what.upstream);
    place.set_address(packed(it.what.address));
    place.set_max_connections(it.what.max_connections);
    place.set_born(it.what.born);
    if (it.what.hedge_after) {
        place.set_may_hedge(true);
        place.set_hedge_after_us(wire_time<microseconds>(*it.what.hedge_after));
    }
}

void write(const numbered<state::place_refusal>& it,
           wire::dispatcher_frame& out)
{
    auto& away = *out.mutable_away();
    away.set_number(it.number);
    away.set_reason(static_cast<std::uint32_t>(it.what.reason));
    away.set_retry_after_ms(wire_time<milliseconds>(it.what.retry_after));
}

void write(const numbered<in_line>& it, wire::dispatcher_frame& out)
{
    out.mutable_in_line()->set_number(it.number);
}

numbered<state::place> read(const wire::placed& it, const message_check& check)
{
    numbered<state::place> out;
    out.number = it.number();
    out.what.upstream = it.upstream();
    check_text(out.what.upstream, "upstream", check);
    out.what.address = check.endpoint(it.address(), "address");
    out.what.max_connections = it.max_connections();
    out.what.born = it.born();
    if (it.may_hedge()) {
        out.what.hedge_after = microseconds(it.hedge_after_us());
    }
    return out;
}

numbered<state::place_refusal> read(const wire::turned_away& it,
                                    const message_check& check)
{
    return {
        it.number(),
        {check.enumerator<state::place_refusal_reason>(it.reason(), "reason"),
         milliseconds(it.retry_after_ms())}};
}

state::host_member read(const wire::known_host& it, const message_check& check)
{
    state::host_member out{it.name(), it.data_centre(),
                           check.endpoint(it.control(), "control"),
                           std::max(it.cpu_milli(), 1U)};
    check_text(out.name, "name", check);
    check_text(out.data_centre, "data_centre", check);
    return out;
}

/// The frame, or the findings of its decoding.
template <class Frame>
state::result<Frame, state::findings> checked(Frame frame,
                                              const state::findings& out)
{
    if (!out.empty()) {
        return out;
    }
    return frame;
}

} // namespace

std::string encode_entry_frame(const entry_frame& frame)
{
    wire::entry_frame message;
    std::visit([&](const auto& it) { write(it, message); }, frame);
    return message.SerializeAsString();
}

state::result<entry_frame, state::findings>
decode_entry_frame(std::string_view bytes)
{
    state::findings out;
    wire::entry_frame message;
    if (!parse_message(message, bytes, max_dispatch_frame_bytes, out)) {
        return out;
    }
    const message_check check("", out);
    switch (message.what_case()) {
    case wire::entry_frame::kHello:
        return checked<entry_frame>(read(message.hello(), check.below("hello")),
                                    out);
    case wire::entry_frame::kAsk:
        return checked<entry_frame>(read(message.ask(), check.below("ask")),
                                    out);
    case wire::entry_frame::kReport:
        return checked<entry_frame>(
            read(message.report(), check.below("report")), out);
    case wire::entry_frame::kRules:
        return entry_frame(read(message.rules()));
    case wire::entry_frame::WHAT_NOT_SET:
        break;
    }
    report(out, state::finding_code::missing_key, "", "has no content");
    return out;
}

std::string encode_dispatcher_frame(const dispatcher_frame& frame)
{
    wire::dispatcher_frame message;
    std::visit([&](const auto& it) { write(it, message); }, frame);
    return message.SerializeAsString();
}

state::result<dispatcher_frame, state::findings>
decode_dispatcher_frame(std::string_view bytes)
{
    state::findings out;
    wire::dispatcher_frame message;
    if (!parse_message(message, bytes, max_dispatch_frame_bytes, out)) {
        return out;
    }
    const message_check check("", out);
    switch (message.what_case()) {
    case wire::dispatcher_frame::kPlace:
        return checked<dispatcher_frame>(
            read(message.place(), check.below("place")), out);
    case wire::dispatcher_frame::kAway:
        return checked<dispatcher_frame>(
            read(message.away(), check.below("away")), out);
    case wire::dispatcher_frame::kInLine:
        return dispatcher_frame(
            numbered<in_line>{message.in_line().number(), {}});
    case wire::dispatcher_frame::kRules:
        return dispatcher_frame(read(message.rules()));
    case wire::dispatcher_frame::WHAT_NOT_SET:
        break;
    }
    report(out, state::finding_code::missing_key, "", "has no content");
    return out;
}

std::string encode_fleet_view(const fleet_view& view)
{
    wire::fleet_view message;
    if (!view.packed_rules.empty()) {
        message.set_packed_rules(view.packed_rules);
    } else if (!view.rules_document.empty()) {
        message.set_packed_rules(pack_document(view.rules_document));
    }
    if (view.next_offset) {
        message.set_history_begin(*view.next_offset + 1);
    }
    for (const auto& it : view.hosts) {
        auto& row = *message.add_hosts();
        row.set_name(it.name);
        row.set_data_centre(it.data_centre);
        row.set_control(packed(it.control));
        row.set_cpu_milli(it.cpu_milli);
    }
    return message.SerializeAsString();
}

state::result<fleet_view, state::findings>
decode_fleet_view(std::string_view bytes)
{
    state::findings out;
    wire::fleet_view message;
    if (!parse_message(message, bytes, max_fleet_view_bytes, out)) {
        return out;
    }
    const message_check check("", out);
    fleet_view view;
    view.rules_document = message.rules_document();
    view.packed_rules = message.packed_rules();
    if (!view.packed_rules.empty()) {
        auto document =
            unpack_document(view.packed_rules, max_fleet_view_bytes);
        if (check.require(document.has_value(), "packed_rules",
                          "is no packed document")) {
            view.rules_document = std::move(*document);
        }
    }
    if (message.history_begin() > 0) {
        view.next_offset = message.history_begin() - 1;
    }
    if (check.require(message.hosts_size() <= max_hosts, "hosts",
                      "has too many rows")) {
        for (const auto& it : message.hosts()) {
            view.hosts.push_back(
                read(it, check.below("hosts").below(view.hosts.size())));
        }
    }
    return checked(std::move(view), out);
}

} // namespace oriolegrade::protocol
