// Wire form of evidence batches and verdict sets.

#include <oriolegrade/protocol/health_messages.hpp>

#include "health.pb.h"

#include <algorithm>
#include <limits>

namespace oriolegrade::protocol {

namespace {

using state::evidence_kind;
using state::finding_code;

void put(wire::health_endpoint& out, const state::endpoint& ep)
{
    out.set_address(ep.address);
    out.set_port(ep.port);
}

/// Adds a finding unless the endpoint has a port.
state::endpoint get(const wire::health_endpoint& in, const std::string& place,
                    state::findings& found)
{
    if (in.port() == 0 ||
        in.port() > std::numeric_limits<std::uint16_t>::max()) {
        found.add(finding_code::out_of_range, place + "/port",
                  "a port lies between 1 and 65535");
        return {};
    }
    return {in.address(), static_cast<std::uint16_t>(in.port())};
}

template <class Enum>
Enum get_enum(std::uint32_t n, const std::string& place, state::findings& found)
{
    if (n >= state::enum_size<Enum>) {
        found.add(finding_code::unknown_name, place,
                  "no such value: " + std::to_string(n));
        return Enum{};
    }
    return static_cast<Enum>(n);
}

double get_number(double n, double largest, const std::string& place,
                  state::findings& found)
{
    if (!(n >= 0 && n <= largest)) {
        found.add(finding_code::out_of_range, place,
                  "a number is missing, negative or too large");
        return 0;
    }
    return n;
}

/// Names are printable ASCII without spaces, so that they are safe in logs.
bool is_name(std::string_view text)
{
    return !text.empty() && text.size() <= max_service_name_bytes &&
           std::all_of(text.begin(), text.end(),
                       [](char c) { return c > ' ' && c < '\x7f'; });
}

/// Checks what both messages share; false when nothing more can be read.
template <class Message>
bool parse(Message& message, std::string_view bytes, state::findings& found)
{
    if (bytes.size() > max_health_message_bytes) {
        found.add(finding_code::too_large, "", "the message is too large");
        return false;
    }
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        found.add(finding_code::syntax, "", "not a valid message");
        return false;
    }
    if (!is_name(message.service())) {
        found.add(finding_code::out_of_range, "/service",
                  "a service name has 1 to 256 printable characters");
    }
    if (message.schema_version() == 0) {
        found.add(finding_code::out_of_range, "/schema_version",
                  "schema versions begin at 1");
    }
    return true;
}

bool check_count(int count, std::size_t largest, const char* place,
                 state::findings& found)
{
    if (static_cast<std::size_t>(count) > largest) {
        found.add(finding_code::too_large, place, "too many entries");
        return false;
    }
    return true;
}

state::evidence_item get(const wire::evidence_item& in,
                         const std::string& place, state::findings& found)
{
    state::evidence_item item;
    item.upstream = get(in.upstream(), place + "/upstream", found);
    item.request = get_enum<state::request_class>(
        in.request_class(), place + "/request_class", found);
    item.counts[evidence_kind::success] = in.success();
    item.counts[evidence_kind::failure] = in.failure();
    item.counts[evidence_kind::slow] = in.slow();
    item.counts[evidence_kind::shed] = in.shed();
    item.counts[evidence_kind::connect_failure] = in.connect_failure();
    return item;
}

state::health_verdict get(const wire::health_verdict& in,
                          const std::string& place, state::findings& found)
{
    state::health_verdict verdict;
    verdict.upstream = get(in.upstream(), place + "/upstream", found);
    verdict.state =
        get_enum<state::upstream_state>(in.state(), place + "/state", found);
    verdict.weight = get_number(in.weight(), 1.0, place + "/weight", found);
    verdict.score = get_number(in.score(), 1e9, place + "/score", found);
    verdict.severity =
        get_number(in.severity(), 1.0, place + "/severity", found);
    verdict.hosts = in.hosts();
    return verdict;
}

} // namespace

std::string encode(const state::evidence_batch& batch)
{
    wire::evidence_batch out;
    put(*out.mutable_host(), batch.host);
    out.set_service(batch.service);
    out.set_schema_version(batch.schema_version);
    out.set_incarnation_high(batch.incarnation.high);
    out.set_incarnation_low(batch.incarnation.low);
    out.set_sequence(batch.sequence);
    out.set_host_suspects_itself(batch.host_suspects_itself);
    for (const auto& it : batch.items) {
        auto& item = *out.add_items();
        put(*item.mutable_upstream(), it.upstream);
        item.set_request_class(
            static_cast<std::uint32_t>(state::index_of(it.request)));
        item.set_success(it.counts[evidence_kind::success]);
        item.set_failure(it.counts[evidence_kind::failure]);
        item.set_slow(it.counts[evidence_kind::slow]);
        item.set_shed(it.counts[evidence_kind::shed]);
        item.set_connect_failure(it.counts[evidence_kind::connect_failure]);
    }
    return out.SerializeAsString();
}

std::string encode(const state::verdict_set& set)
{
    wire::verdict_set out;
    put(*out.mutable_collector(), set.collector);
    out.set_service(set.service);
    out.set_schema_version(set.schema_version);
    out.set_sequence(set.sequence);
    for (const auto& it : set.verdicts) {
        auto& verdict = *out.add_verdicts();
        put(*verdict.mutable_upstream(), it.upstream);
        verdict.set_state(
            static_cast<std::uint32_t>(state::index_of(it.state)));
        verdict.set_weight(it.weight);
        verdict.set_score(it.score);
        verdict.set_severity(it.severity);
        verdict.set_hosts(it.hosts);
    }
    return out.SerializeAsString();
}

state::result<state::evidence_batch, state::findings>
decode_evidence_batch(std::string_view bytes)
{
    state::findings found;
    wire::evidence_batch in;
    if (!parse(in, bytes, found) ||
        !check_count(in.items_size(), state::max_evidence_items, "/items",
                     found)) {
        return found;
    }
    state::evidence_batch batch;
    batch.host = get(in.host(), "/host", found);
    batch.service = in.service();
    batch.schema_version = in.schema_version();
    batch.incarnation = {in.incarnation_high(), in.incarnation_low()};
    batch.sequence = in.sequence();
    batch.host_suspects_itself = in.host_suspects_itself();
    batch.items.reserve(static_cast<std::size_t>(in.items_size()));
    for (int n = 0; n < in.items_size(); ++n) {
        batch.items.push_back(
            get(in.items(n), "/items/" + std::to_string(n), found));
    }
    if (!found.empty()) {
        return found;
    }
    return batch;
}

state::result<state::verdict_set, state::findings>
decode_verdict_set(std::string_view bytes)
{
    state::findings found;
    wire::verdict_set in;
    if (!parse(in, bytes, found) ||
        !check_count(in.verdicts_size(), state::max_verdicts, "/verdicts",
                     found)) {
        return found;
    }
    state::verdict_set set;
    set.collector = get(in.collector(), "/collector", found);
    set.service = in.service();
    set.schema_version = in.schema_version();
    set.sequence = in.sequence();
    set.verdicts.reserve(static_cast<std::size_t>(in.verdicts_size()));
    for (int n = 0; n < in.verdicts_size(); ++n) {
        set.verdicts.push_back(
            get(in.verdicts(n), "/verdicts/" + std::to_string(n), found));
    }
    if (!found.empty()) {
        return found;
    }
    return set;
}

} // namespace oriolegrade::protocol
