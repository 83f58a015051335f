// Conversion of quota messages to and from protobuf.

#include <oriolegrade/protocol/quota_messages.hpp>

#include "message_check.hpp"

#include <quota.pb.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>

namespace oriolegrade::protocol {

namespace {

using std::chrono::microseconds;

/// Longer times are cut when they are sent and refused when they are read.
constexpr microseconds max_time = std::chrono::hours(24 * 30);
/// Larger rates, caps and levels are refused.
constexpr double max_tokens = 1e12;

std::uint64_t wire_us(state::duration it)
{
    const auto n = std::chrono::duration_cast<microseconds>(it);
    return static_cast<std::uint64_t>(
        std::clamp(n, microseconds{}, max_time).count());
}

state::duration read_us(std::uint64_t n, std::string_view field,
                        const message_check& check)
{
    const bool fits = n <= static_cast<std::uint64_t>(max_time.count());
    if (!check.require(fits, field, "is out of range")) {
        return {};
    }
    return microseconds(static_cast<std::int64_t>(n));
}

double read_tokens(double n, std::string_view field, const message_check& check)
{
    check.require(std::isfinite(n) && n >= 0 && n <= max_tokens, field,
                  "is out of range");
    return n;
}

void check_workspace(const std::string& name, const message_check& check)
{
    check.require(!name.empty(), "workspace", "is empty");
}

void write(const state::quota_ask& it, wire::quota_owner_frame& frame)
{
    auto& out = *frame.mutable_ask();
    out.set_workspace(it.workspace);
    out.set_number(it.number);
    out.set_applied(it.applied);
    out.set_holds(it.holds);
    out.set_need_per_s(it.need_per_s);
    out.set_waiting(it.waiting);
    out.set_level(it.level);
    out.set_gives_back(it.gives_back);
}

void write(const state::quota_delegation& it, wire::quota_owner_frame& frame)
{
    auto& out = *frame.mutable_delegation();
    out.set_shard(it.shard);
    out.set_number(it.number);
    out.set_answer(static_cast<std::uint32_t>(it.answer));
    out.set_fraction(it.fraction);
    out.set_age_us(wire_us(it.age));
    out.set_free_in_us(wire_us(it.free_in));
}

void write(const state::quota_grant& it, wire::quota_host_frame& frame)
{
    auto& out = *frame.mutable_grant();
    out.set_workspace(it.workspace);
    out.set_number(it.number);
    out.set_rate_per_s(it.slice.rate_per_s);
    out.set_cap(it.slice.cap);
    out.set_level(it.slice.level);
    out.set_term_us(wire_us(it.term));
    out.set_basis_rate_per_s(it.basis.rate_per_s);
    out.set_basis_burst(it.basis.burst);
    out.set_retry_after_us(wire_us(it.retry_after));
}

void write(const state::quota_delegation_request& it,
           wire::quota_host_frame& frame)
{
    auto& out = *frame.mutable_request();
    out.set_shard(it.shard);
    out.set_number(it.number);
    out.set_term_us(wire_us(it.term));
    out.set_age_us(wire_us(it.age));
}

state::quota_ask read(const wire::quota_ask& it, const message_check& check)
{
    state::quota_ask out;
    out.workspace = it.workspace();
    check_workspace(out.workspace, check);
    out.number = it.number();
    out.applied = it.applied();
    check.require(out.applied < out.number, "applied", "is no earlier ask");
    out.holds = it.holds();
    out.need_per_s = read_tokens(it.need_per_s(), "need_per_s", check);
    out.waiting = it.waiting();
    out.level = read_tokens(it.level(), "level", check);
    out.gives_back = it.gives_back();
    return out;
}

state::quota_delegation read(const wire::quota_delegation& it,
                             const message_check& check)
{
    state::quota_delegation out;
    out.shard = it.shard();
    out.number = it.number();
    out.answer = check.enumerator<state::quota_answer>(it.answer(), "answer");
    out.fraction = it.fraction();
    check.require(out.fraction >= 0 && out.fraction <= 1, "fraction",
                  "is out of range");
    out.age = read_us(it.age_us(), "age_us", check);
    out.free_in = read_us(it.free_in_us(), "free_in_us", check);
    return out;
}

state::quota_grant read(const wire::quota_grant& it, const message_check& check)
{
    state::quota_grant out;
    out.workspace = it.workspace();
    check_workspace(out.workspace, check);
    out.number = it.number();
    out.slice.rate_per_s = read_tokens(it.rate_per_s(), "rate_per_s", check);
    out.slice.cap = read_tokens(it.cap(), "cap", check);
    out.slice.level = read_tokens(it.level(), "level", check);
    out.term = read_us(it.term_us(), "term_us", check);
    out.basis.rate_per_s =
        read_tokens(it.basis_rate_per_s(), "basis_rate_per_s", check);
    out.basis.burst = read_tokens(it.basis_burst(), "basis_burst", check);
    out.retry_after = read_us(it.retry_after_us(), "retry_after_us", check);
    return out;
}

state::quota_delegation_request read(const wire::quota_request& it,
                                     const message_check& check)
{
    state::quota_delegation_request out;
    out.shard = it.shard();
    out.number = it.number();
    out.term = read_us(it.term_us(), "term_us", check);
    out.age = read_us(it.age_us(), "age_us", check);
    return out;
}

template <class Wire, class Frame>
std::string encode(const Frame& frame)
{
    Wire out;
    std::visit([&](const auto& it) { write(it, out); }, frame);
    return out.SerializeAsString();
}

} // namespace

std::string encode_quota_owner_frame(const quota_owner_frame& frame)
{
    return encode<wire::quota_owner_frame>(frame);
}

state::result<quota_owner_frame, state::findings>
decode_quota_owner_frame(std::string_view bytes)
{
    state::findings found;
    wire::quota_owner_frame frame;
    quota_owner_frame out;
    if (parse_message(frame, bytes, max_quota_frame_bytes, found)) {
        const message_check check("", found);
        if (frame.has_ask()) {
            out = read(frame.ask(), check.below("ask"));
        } else if (frame.has_delegation()) {
            out = read(frame.delegation(), check.below("delegation"));
        } else {
            check.require(false, "", "is no known frame");
        }
    }
    if (!found.empty()) {
        return found;
    }
    return out;
}

std::string encode_quota_host_frame(const quota_host_frame& frame)
{
    return encode<wire::quota_host_frame>(frame);
}

state::result<quota_host_frame, state::findings>
decode_quota_host_frame(std::string_view bytes)
{
    state::findings found;
    wire::quota_host_frame frame;
    quota_host_frame out;
    if (parse_message(frame, bytes, max_quota_frame_bytes, found)) {
        const message_check check("", found);
        if (frame.has_grant()) {
            out = read(frame.grant(), check.below("grant"));
        } else if (frame.has_request()) {
            out = read(frame.request(), check.below("request"));
        } else {
            check.require(false, "", "is no known frame");
        }
    }
    if (!found.empty()) {
        return found;
    }
    return out;
}

} // namespace oriolegrade::protocol
