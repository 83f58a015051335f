// Conversion between messages and the types of the decisions.

#include "once_fields.hpp"

#include <oriolegrade/protocol/once_messages.hpp>

namespace oriolegrade::protocol {

using detail::bytes_of;
using detail::field_reader;
using state::finding_code;

namespace {

void put(wire::Claim& to, const state::claim& from)
{
    to.set_key(bytes_of(from.key.bytes));
    to.set_incarnation(bytes_of(from.incarnation));
    to.set_nonce(bytes_of(from.nonce));
    to.set_lifetime_ms(from.lifetime_ms);
}

template <class Message>
void put_headers(Message& to, const state::header_list& from)
{
    for (const auto& [name, value] : from) {
        auto& line = *to.add_headers();
        line.set_name(name);
        line.set_value(value);
    }
}

template <class Value>
decoded<Value> finish(const field_reader& reader, Value&& value)
{
    if (!reader.good()) {
        return reader.error();
    }
    return std::forward<Value>(value);
}

void put(wire::UsedRecord& to, const state::used_record& from)
{
    to.set_kind(static_cast<std::uint32_t>(from.id.kind));
    to.set_id(bytes_of(from.id.value));
    to.set_fingerprint(bytes_of(from.fingerprint));
    to.set_expires_ms(from.expires_ms);
    to.set_state(static_cast<std::uint32_t>(from.state));
    to.set_outcome(static_cast<std::uint32_t>(from.result.outcome));
    if (from.result.answer) {
        auto& answer = *to.mutable_answer();
        answer.set_status(from.result.answer->status);
        put_headers(answer, from.result.answer->headers);
        answer.set_body(from.result.answer->body);
    }
}

state::used_record used_record_of(field_reader& reader,
                                  const wire::UsedRecord& from,
                                  const std::string& place)
{
    state::used_record out;
    out.id.kind =
        reader.enumerator<state::request_id_kind>(from.kind(), place + "/kind");
    out.id.value = reader.id(from.id(), place + "/id");
    out.fingerprint = reader.id(from.fingerprint(), place + "/fingerprint");
    out.expires_ms = reader.at_most(from.expires_ms(), once_limits::duration_ms,
                                    place + "/expires_ms");
    out.state =
        reader.enumerator<state::entry_state>(from.state(), place + "/state");
    out.result.outcome = reader.enumerator<state::run_outcome>(
        from.outcome(), place + "/outcome");
    if (from.has_answer()) {
        state::stored_answer answer;
        answer.status =
            reader.status(from.answer().status(), place + "/answer/status");
        answer.headers =
            reader.headers(from.answer().headers(), place + "/answer/headers");
        answer.body = from.answer().body();
        out.result.answer =
            std::make_shared<const state::stored_answer>(std::move(answer));
    }
    return out;
}

coordination::claim_answer answer_of(field_reader& reader,
                                     const wire::ClaimAnswer& from,
                                     const std::string& place)
{
    coordination::claim_answer out;
    out.status = reader.enumerator<coordination::claim_status>(
        from.status(), place + "/status");
    if (out.status == coordination::claim_status::won ||
        out.status == coordination::claim_status::lost) {
        out.winner = reader.claim(from.winner(), place + "/winner");
    }
    return out;
}

} // namespace

std::string encode(const state::claim_batch& it)
{
    wire::ClaimBatch out;
    for (const auto& from : it.releases) {
        auto& to = *out.add_releases();
        to.set_key(bytes_of(from.key.bytes));
        to.set_nonce(bytes_of(from.nonce));
    }
    for (const auto& from : it.renewals) {
        auto& to = *out.add_renewals();
        put(*to.mutable_what(), from.what);
        to.set_as_of(from.as_of);
    }
    for (const auto& from : it.claims) {
        put(*out.add_claims(), from);
    }
    out.set_has_checkpoint(it.checkpoint.has_value());
    out.set_checkpoint_offset(it.checkpoint ? it.checkpoint->offset : 0);
    return out.SerializeAsString();
}

decoded<state::claim_batch> decode_claim_batch(std::string_view bytes)
{
    field_reader reader;
    wire::ClaimBatch in;
    reader.parse(in, bytes, once_limits::claim_message_bytes);
    state::claim_batch out;
    constexpr auto most = once_limits::claims_per_batch;
    out.releases = reader.list<state::claim_release>(
        in.releases(), most, "/releases",
        [&](const auto& it, const std::string& place) {
            return state::claim_release{
                {reader.bytes32(it.key(), place + "/key")},
                reader.id(it.nonce(), place + "/nonce")};
        });
    out.renewals = reader.list<state::claim_renewal>(
        in.renewals(), most, "/renewals",
        [&](const auto& it, const std::string& place) {
            return state::claim_renewal{
                reader.claim(it.what(), place + "/what"), it.as_of()};
        });
    out.claims = reader.list<state::claim>(
        in.claims(), most, "/claims",
        [&](const auto& it, const std::string& place) {
            return reader.claim(it, place);
        });
    if (in.has_checkpoint()) {
        out.checkpoint = state::claim_checkpoint{in.checkpoint_offset()};
    }
    return finish(reader, std::move(out));
}

std::string encode(const claim_request& it)
{
    wire::ClaimRequest out;
    out.set_partition(it.partition);
    for (const auto& from : it.claims) {
        put(*out.add_claims(), from);
    }
    return out.SerializeAsString();
}

decoded<claim_request> decode_claim_request(std::string_view bytes)
{
    field_reader reader;
    wire::ClaimRequest in;
    reader.parse(in, bytes, once_limits::claim_message_bytes);
    claim_request out;
    out.partition = in.partition();
    reader.at_most(in.partition(), state::claim_partition_count - 1,
                   "/partition");
    out.claims = reader.list<state::claim>(
        in.claims(), once_limits::claims_per_batch, "/claims",
        [&](const auto& it, const std::string& place) {
            auto one = reader.claim(it, place);
            if (state::partition_of(one.key) != out.partition) {
                // Two streams would each have a winner for the key.
                reader.fail(finding_code::conflict, place + "/key",
                            "key belongs to another partition");
            }
            return one;
        });
    return finish(reader, std::move(out));
}

std::string encode(const claim_reply& it)
{
    wire::ClaimReply out;
    for (const auto& from : it.answers) {
        auto& to = *out.add_answers();
        to.set_status(static_cast<std::uint32_t>(from.status));
        if (from.status == coordination::claim_status::won ||
            from.status == coordination::claim_status::lost) {
            put(*to.mutable_winner(), from.winner);
        }
    }
    return out.SerializeAsString();
}

decoded<claim_reply> decode_claim_reply(std::string_view bytes)
{
    field_reader reader;
    wire::ClaimReply in;
    reader.parse(in, bytes, once_limits::claim_message_bytes);
    claim_reply out;
    out.answers = reader.list<coordination::claim_answer>(
        in.answers(), once_limits::claims_per_batch, "/answers",
        [&](const auto& it, const std::string& place) {
            return answer_of(reader, it, place);
        });
    return finish(reader, std::move(out));
}

std::string encode(const forward_request& it)
{
    wire::ForwardRequest out;
    out.set_method(it.method);
    out.set_target(it.target);
    put_headers(out, it.headers);
    out.set_caller(it.caller);
    out.set_route(it.route);
    out.set_schema_version(it.schema_version);
    out.set_deadline_ms(it.deadline_ms);
    if (it.token) {
        out.set_token(to_string(*it.token));
    }
    if (it.claim) {
        put(*out.mutable_claim(), *it.claim);
    }
    out.set_fingerprint(bytes_of(it.fingerprint));
    return out.SerializeAsString();
}

decoded<forward_request> decode_forward_request(std::string_view bytes)
{
    field_reader reader;
    wire::ForwardRequest in;
    reader.parse(in, bytes, once_limits::header_block_bytes);
    forward_request out;
    out.method = in.method();
    out.target = in.target();
    if (out.method.empty() || field_reader::has_control(out.method)) {
        reader.fail(finding_code::syntax, "/method", "not a method");
    }
    if (out.target.empty() || field_reader::has_control(out.target)) {
        reader.fail(finding_code::syntax, "/target", "not a request target");
    }
    out.headers = reader.headers(in.headers(), "/headers");
    out.caller = in.caller();
    out.route = in.route();
    out.schema_version = in.schema_version();
    out.deadline_ms = reader.at_most(in.deadline_ms(), once_limits::duration_ms,
                                     "/deadline_ms");
    if (in.token().empty() != in.has_claim()) {
        reader.fail(finding_code::conflict, "/token",
                    "needs exactly one of token and claim");
    }
    if (!in.token().empty()) {
        out.token = state::token_from_string(in.token());
        if (!out.token) {
            reader.fail(finding_code::syntax, "/token", "not a token");
        }
    }
    if (in.has_claim()) {
        out.claim = reader.claim(in.claim(), "/claim");
    }
    out.fingerprint = reader.id(in.fingerprint(), "/fingerprint");
    return finish(reader, std::move(out));
}

std::string encode(const forward_answer& it)
{
    wire::ForwardAnswer out;
    out.set_status(it.status);
    put_headers(out, it.headers);
    out.set_outcome(static_cast<std::uint32_t>(it.outcome));
    out.set_made_by_system(it.reason.has_value());
    out.set_reason(it.reason ? static_cast<std::uint32_t>(*it.reason) : 0);
    if (it.successor) {
        out.set_successor(bytes_of(it.successor));
    }
    return out.SerializeAsString();
}

decoded<forward_answer> decode_forward_answer(std::string_view bytes)
{
    field_reader reader;
    wire::ForwardAnswer in;
    reader.parse(in, bytes, once_limits::header_block_bytes);
    forward_answer out;
    out.status = reader.status(in.status(), "/status");
    out.headers = reader.headers(in.headers(), "/headers");
    out.outcome =
        reader.enumerator<state::run_outcome>(in.outcome(), "/outcome");
    if (in.made_by_system()) {
        out.reason =
            reader.enumerator<state::reply_reason>(in.reason(), "/reason");
    }
    out.successor = reader.optional_id(in.successor(), "/successor");
    return finish(reader, std::move(out));
}

std::string encode(const state::handover_state& it)
{
    wire::HandoverState out;
    out.set_successor(bytes_of(it.successor));
    out.set_incarnation(bytes_of(it.authority.incarnation));
    out.set_token_key(bytes_of(it.authority.key));
    out.set_elapsed_ms(it.authority.elapsed_ms);
    out.set_purged_through_ms(it.used.purged_through_ms);
    for (const auto& from : it.used.records) {
        put(*out.add_records(), from);
    }
    return out.SerializeAsString();
}

decoded<state::handover_state> decode_handover(std::string_view bytes)
{
    field_reader reader;
    wire::HandoverState in;
    reader.parse(in, bytes, once_limits::handover_bytes);
    state::handover_state out;
    out.successor = reader.id(in.successor(), "/successor");
    out.authority.incarnation = reader.id(in.incarnation(), "/incarnation");
    out.authority.key = reader.bytes32(in.token_key(), "/token_key");
    out.authority.elapsed_ms = reader.at_most(
        in.elapsed_ms(), once_limits::duration_ms, "/elapsed_ms");
    out.used.purged_through_ms = reader.at_most(
        in.purged_through_ms(), once_limits::duration_ms, "/purged_through_ms");
    out.used.records = reader.list<state::used_record>(
        in.records(), once_limits::handover_records, "/records",
        [&](const auto& it, const std::string& place) {
            return used_record_of(reader, it, place);
        });
    return finish(reader, std::move(out));
}

} // namespace oriolegrade::protocol
