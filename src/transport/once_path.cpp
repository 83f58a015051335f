// Follows the gate's decision for one request.

#include <oriolegrade/transport/once_path.hpp>

#include <oriolegrade/coordination/owner_search.hpp>
#include <oriolegrade/state/partition.hpp>
#include <oriolegrade/transport/event_log.hpp>

#include <boost/fiber/operations.hpp>

namespace oriolegrade::transport {

namespace {

using coordination::field_presence;
using protocol::header_field;
using state::reply_reason;

/// Longest key that a caller may choose, in bytes.
constexpr std::size_t max_key_bytes = 256;
/// Time kept back from the deadline of a claim for the request itself.
constexpr std::chrono::milliseconds run_reserve{200};

field_presence field_state(const std::optional<std::string_view>& text,
                           bool valid)
{
    if (!text) {
        return field_presence::absent;
    }
    return valid ? field_presence::present : field_presence::malformed;
}

/// Digest of what makes the request this request. Of a long body only the
/// kept part and the length count.
state::identifier fingerprint_of(const protocol::request_head& head,
                                 const std::string& kept)
{
    const auto length =
        head.framing.length ? std::to_string(*head.framing.length) : "";
    return state::short_digest_of({head.method, head.target, length, kept});
}

} // namespace

once_path::once_path(boost::asio::io_context& ioc, once_shared& once,
                     upstream_runner& runner)
    : once_(once)
    , runner_(runner)
    , forward_(ioc, once.fleet_key)
{}

std::string once_path::offered_token(const request_context& context) const
{
    auto& authority = once_.incarnations.own()->authority;
    return to_string(authority.mint(
        state::token_binding(context.caller, context.route->key.name),
        std::chrono::steady_clock::now()));
}

void once_path::serve(const request_context& context, caller_request& request,
                      caller_answer& answer)
{
    body source(request, replay_limit_bytes, runner_.memory());
    error_code ec;
    source.fill(ec);
    if (ec) {
        if (ec == boost::beast::http::error::body_limit) {
            send_reply(answer, reply_reason::too_large,
                       state::reported_outcome(
                           reply_reason::too_large,
                           attempt_history_of(context.head.fields)));
        }
        return;
    }
    attempt it{context, answer, source, std::nullopt, std::nullopt, {}};
    const auto& fields = context.head.fields;
    if (const auto text = fields.find(header_field::token)) {
        it.token = state::token_from_string(*text);
    }
    const auto key = fields.find(header_field::idempotency_key);
    if (key && !key->empty() && key->size() <= max_key_bytes) {
        it.key =
            state::key_digest(context.caller, context.route->key.name, *key);
    }
    it.fingerprint = fingerprint_of(context.head, source.kept());
    const auto way = coordination::decide_execution(execution_input_of(it));
    std::visit([&](const auto& chosen) { go(chosen, it); }, way);
}

coordination::execution_input
once_path::execution_input_of(const attempt& it) const
{
    const auto& fields = it.context.head.fields;
    coordination::execution_input in;
    in.request_class = it.context.route_spec().request;
    in.allow_unkeyed = it.context.route_spec().allow_unkeyed;
    in.token_field =
        field_state(fields.find(header_field::token), it.token.has_value());
    in.key_field = field_state(fields.find(header_field::idempotency_key),
                               it.key.has_value());
    if (it.token) {
        in.token_incarnation = it.token->incarnation;
        in.token_is_local =
            once_.incarnations.find(it.token->incarnation) != nullptr;
    }
    in.shutting_down = once_.handed_over;
    return in;
}

void once_path::run_plain(attempt& it)
{
    const auto report = runner_.run(it.context, it.source, it.answer);
    if (report.step == coordination::next_step::reply) {
        send_reply(it.answer, report.reason, report.outcome());
    }
}

void once_path::go(const coordination::run_as_idempotent&, attempt& it)
{
    run_plain(it);
}

void once_path::go(const coordination::single_attempt&, attempt& it)
{
    run_plain(it);
}

void once_path::go(const coordination::offer_token&, attempt& it)
{
    protocol::http_fields fields;
    fields.set(header_field::token, offered_token(it.context));
    send_reply(it.answer, reply_reason::token_needed,
               state::run_outcome::not_run, std::move(fields));
}

void once_path::go(const coordination::refuse_request& way, attempt& it)
{
    send_reply(it.answer, way.reason, way.outcome);
}

void once_path::go(const coordination::run_locally& way, attempt& it)
{
    const auto held = once_.incarnations.find(way.incarnation);
    if (!held) {
        return send_reply(it.answer, reply_reason::incarnation_gone);
    }
    if (way.by_claim) {
        return run_by_claim(held, way.by_claim->nonce, it);
    }
    run_by_token(held, it);
}

void once_path::run_by_token(const coordination::held_incarnation_ptr& held,
                             attempt& it)
{
    run_with_token(runner_, *held, it.context, *it.token, it.fingerprint,
                   it.source, it.answer);
}

void once_path::run_by_claim(const coordination::held_incarnation_ptr& held,
                             const state::identifier& nonce, attempt& it)
{
    run_once(runner_, *held, it.context,
             {{state::request_id_kind::claim, nonce}, it.fingerprint, 0},
             it.source, it.answer);
}

protocol::forward_request
once_path::forward_request_of(const coordination::forward_to& way,
                              const attempt& it)
{
    auto request = to_forward(it.context);
    if (way.by_claim) {
        request.claim = way.by_claim;
    } else {
        request.token = it.token;
    }
    request.fingerprint = it.fingerprint;
    return request;
}

void once_path::go(const coordination::forward_to& way, attempt& it)
{
    coordination::owner_search search(way.incarnation,
                                      std::chrono::steady_clock::now(),
                                      it.context.deadline - run_reserve);
    for (;;) {
        const auto peers = once_.peers.read();
        if (const auto* peer = peers->find_incarnation(search.holder())) {
            const auto end =
                forward_.forward(peer->forward, forward_request_of(way, it),
                                 it.source, it.answer);
            if (end.result == forward_result::failed) {
                const auto refused = coordination::forward_failed(false);
                return send_reply(it.answer, refused.reason, refused.outcome);
            }
            if (end.result != forward_result::moved) {
                return;
            }
            search.moved(end.reason, end.successor);
            if (!it.source.replayable()) {
                break;
            }
            it.source.rewind();
        }
        if (!search.may_wait(std::chrono::steady_clock::now())) {
            break;
        }
        boost::this_fiber::sleep_for(coordination::owner_check_interval);
    }
    send_reply(it.answer, search.reason(), state::run_outcome::unknown);
}

void once_path::go(const coordination::claim_key_first&, attempt& it)
{
    const auto held = once_.incarnations.own();
    const auto now = std::chrono::steady_clock::now();
    const auto elapsed = held->authority.elapsed_ms(now);
    const auto lifetime = static_cast<std::uint64_t>(
        std::chrono::milliseconds(key_lifetime).count());
    const state::claim what{*it.key, held->authority.incarnation(),
                            state::random_identifier(), lifetime};
    const state::request_id id{state::request_id_kind::claim, what.nonce};
    if (!held->used.reserve(id, it.fingerprint, elapsed + lifetime, elapsed)) {
        return send_reply(it.answer, reply_reason::table_full,
                          state::run_outcome::unknown);
    }
    const auto answer = claim(what, it.context.deadline - run_reserve);
    const auto step = coordination::resolve_claim(held->used, what.incarnation,
                                                  what.nonce, answer);
    std::visit(
        [&](const auto& chosen) {
            using type = std::decay_t<decltype(chosen)>;
            if constexpr (std::is_same_v<type, coordination::run_after_claim>) {
                run_by_claim(held, what.nonce, it);
            } else {
                go(chosen, it);
            }
        },
        step);
}

coordination::claim_answer once_path::claim(const state::claim& what,
                                            state::time_point deadline)
{
    auto result = std::make_shared<fiber_result<coordination::claim_answer>>();
    const auto left = deadline - std::chrono::steady_clock::now();
    once_.submit_claim(
        what, left,
        [result](const coordination::claim_answer& it) { result->set(it); });
    // Without an answer in time the claim may still win, so it counts as
    // unresolved and is given up.
    return result->wait_until(deadline).value_or(coordination::claim_answer{});
}

} // namespace oriolegrade::transport
