// Conversion of quota messages to and from protobuf.

#include <oriolegrade/protocol/quota_messages.hpp>

#include "message_check.hpp"

#include <quota.pb.h>

#include <cmath>
#include <utility>

namespace oriolegrade::protocol {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t max_text_bytes = 255;

void check_name(const std::string& text, std::string_view field,
                const message_check& check)
{
    check.require(!text.empty() && text.size() <= max_text_bytes, field,
                  "is empty or too long");
}

/// A number of requests, or of requests per second.
double amount(double it, std::string_view field, const message_check& check)
{
    return check.require(std::isfinite(it) && it >= 0, field,
                         "is negative or no finite number")
               ? it
               : 0;
}

/// Parses a message and reads it with its checks.
template <class Out, class Message, class Read>
decoded_quota<Out> decode(std::string_view bytes, Read read)
{
    state::findings out;
    Message message;
    if (!parse_message(message, bytes, max_quota_message_bytes, out)) {
        return out;
    }
    Out value = read(message, message_check("", out));
    if (!out.empty()) {
        return out;
    }
    return value;
}

} // namespace

std::string encode(const quota_ask_call& it)
{
    wire::quota_ask_call out;
    out.set_host(it.host);
    auto& ask = *out.mutable_ask();
    ask.set_workspace(it.ask.workspace);
    ask.set_number(it.ask.number);
    ask.set_applied(it.ask.applied);
    ask.set_holds(it.ask.holds);
    ask.set_need_per_s(it.ask.need_per_s);
    ask.set_waiting(it.ask.waiting);
    ask.set_level(it.ask.level);
    ask.set_gives_back(it.ask.gives_back);
    return out.SerializeAsString();
}

std::string encode(const state::quota_grant& it)
{
    wire::quota_grant out;
    out.set_workspace(it.workspace);
    out.set_number(it.number);
    out.set_rate_per_s(it.slice.rate_per_s);
    out.set_cap(it.slice.cap);
    out.set_level(it.slice.level);
    out.set_term_ms(wire_time<milliseconds>(it.term));
    out.set_basis_rate_per_s(it.basis.rate_per_s);
    out.set_basis_burst(it.basis.burst);
    out.set_retry_after_ms(wire_time<milliseconds>(it.retry_after));
    return out.SerializeAsString();
}

std::string encode(const quota_delegation_call& it)
{
    wire::quota_delegation_call out;
    out.set_owner(it.owner);
    out.set_shard(it.request.shard);
    out.set_number(it.request.number);
    out.set_term_ms(wire_time<milliseconds>(it.request.term));
    out.set_age_ms(wire_time<milliseconds>(it.request.age));
    out.set_hosts(it.request.hosts);
    out.set_accepts_early(it.request.accepts_early);
    return out.SerializeAsString();
}

std::string encode(const state::quota_delegation& it)
{
    wire::quota_delegation out;
    out.set_shard(it.shard);
    out.set_number(it.number);
    out.set_answer(static_cast<std::uint32_t>(it.answer));
    out.set_fraction(it.fraction);
    out.set_age_ms(wire_time<milliseconds>(it.age));
    out.set_free_in_ms(wire_time<milliseconds>(it.free_in));
    out.set_early(it.early);
    out.set_holder(it.holder);
    out.set_hosts(it.hosts);
    return out.SerializeAsString();
}

decoded_quota<quota_ask_call> decode_quota_ask(std::string_view bytes)
{
    return decode<quota_ask_call, wire::quota_ask_call>(
        bytes, [](const auto& it, const message_check& check) {
            quota_ask_call out;
            out.host = it.host();
            check_name(out.host, "host", check);
            const auto& from = it.ask();
            out.ask.workspace = from.workspace();
            check_name(out.ask.workspace, "workspace", check);
            out.ask.number = from.number();
            out.ask.applied = from.applied();
            out.ask.holds = from.holds();
            out.ask.need_per_s = amount(from.need_per_s(), "need_per_s", check);
            out.ask.waiting = from.waiting();
            out.ask.level = amount(from.level(), "level", check);
            out.ask.gives_back = from.gives_back();
            return out;
        });
}

decoded_quota<state::quota_grant> decode_quota_grant(std::string_view bytes)
{
    return decode<state::quota_grant, wire::quota_grant>(
        bytes, [](const auto& it, const message_check& check) {
            state::quota_grant out;
            out.workspace = it.workspace();
            check_name(out.workspace, "workspace", check);
            out.number = it.number();
            out.slice.rate_per_s = amount(it.rate_per_s(), "rate_per_s", check);
            out.slice.cap = amount(it.cap(), "cap", check);
            out.slice.level = amount(it.level(), "level", check);
            out.term = milliseconds(it.term_ms());
            out.basis.rate_per_s =
                amount(it.basis_rate_per_s(), "basis_rate_per_s", check);
            out.basis.burst = amount(it.basis_burst(), "basis_burst", check);
            out.retry_after = milliseconds(it.retry_after_ms());
            return out;
        });
}

decoded_quota<quota_delegation_call>
decode_quota_delegation_call(std::string_view bytes)
{
    return decode<quota_delegation_call, wire::quota_delegation_call>(
        bytes, [](const auto& it, const message_check& check) {
            quota_delegation_call out;
            out.owner = it.owner();
            check_name(out.owner, "owner", check);
            out.request.shard = it.shard();
            out.request.number = it.number();
            out.request.term = milliseconds(it.term_ms());
            out.request.age = milliseconds(it.age_ms());
            out.request.hosts = it.hosts();
            out.request.accepts_early = it.accepts_early();
            return out;
        });
}

decoded_quota<state::quota_delegation>
decode_quota_delegation(std::string_view bytes)
{
    return decode<state::quota_delegation, wire::quota_delegation>(
        bytes, [](const auto& it, const message_check& check) {
            state::quota_delegation out;
            out.shard = it.shard();
            out.number = it.number();
            out.answer =
                check.enumerator<state::quota_answer>(it.answer(), "answer");
            out.fraction = amount(it.fraction(), "fraction", check);
            check.require(out.fraction <= 1, "fraction", "is above 1");
            out.age = milliseconds(it.age_ms());
            out.free_in = milliseconds(it.free_in_ms());
            out.early = it.early();
            out.holder = it.holder();
            out.hosts = it.hosts();
            check.require(out.holder.size() <= max_text_bytes, "holder",
                          "is too long");
            return out;
        });
}

} // namespace oriolegrade::protocol
