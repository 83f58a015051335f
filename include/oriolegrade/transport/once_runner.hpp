// Runs non-idempotent requests that this process has the right to run, and
// replays their results to repeats.

#ifndef ORIOLEGRADE_TRANSPORT_ONCE_RUNNER_HPP
#define ORIOLEGRADE_TRANSPORT_ONCE_RUNNER_HPP

#include <oriolegrade/coordination/incarnation_set.hpp>
#include <oriolegrade/state/once_type.hpp>
#include <oriolegrade/transport/fiber_result.hpp>
#include <oriolegrade/transport/recording_sink.hpp>
#include <oriolegrade/transport/reply.hpp>
#include <oriolegrade/transport/request_fault.hpp>
#include <oriolegrade/transport/upstream_runner.hpp>

#include <exception>
#include <string_view>
#include <variant>

namespace oriolegrade::transport {

/// A request within a held incarnation.
struct once_request
{
    state::request_id id;
    state::identifier fingerprint;
    /// Expiry of the token; ignored for claims.
    std::uint64_t expires_ms = 0;
};

/// Sends a stored result. A result without an answer becomes a reply.
template <answer_sink Sink>
void send_result(Sink& sink, const state::run_result& result)
{
    if (!result.answer) {
        using state::reply_reason;
        const auto reason = result.outcome == state::run_outcome::ran
                                ? reply_reason::answer_not_kept
                            : result.outcome == state::run_outcome::not_run
                                ? reply_reason::given_up
                                : reply_reason::connection_lost;
        return send_reply(sink, reason);
    }
    protocol::answer_head head;
    head.status = result.answer->status;
    for (const auto& [name, value] : result.answer->headers) {
        head.fields.add(name, value);
    }
    head.framing.length = result.answer->body.size();
    error_code ec;
    sink.start(head, ec);
    if (!ec) {
        sink.write(result.answer->body, ec);
    }
    if (!ec) {
        sink.finish(ec);
    }
}

/// Answers a request of another host that an exception ended: it may have run.
/// An answer that has begun is left to be reset.
template <answer_sink Sink>
void end_with_fault(Sink& sink, std::string_view request_id,
                    const std::exception_ptr& fault)
{
    log_request_fault(request_id, fault);
    if (!sink.started()) {
        send_reply(sink, state::reply_reason::internal_error);
    }
}

/// Runs the request that try_start() granted, and records its end.
template <body_source Source, answer_sink Sink>
void run_granted_request(upstream_runner& runner,
                         coordination::used_table& used,
                         const request_context& context,
                         const once_request& request, Source& source,
                         Sink& sink)
{
    bool recorded = false;
    const auto record = [&](const state::run_result& result) {
        if (!recorded) {
            recorded = true;
            used.finish(request.id, result);
        }
    };
    recording_sink recorder(sink, [&](state::answer_ptr answer) {
        record({state::run_outcome::ran, std::move(answer)});
    });
    run_report report;
    const auto fault =
        caught([&] { report = runner.run(context, source, recorder); });
    if (fault) {
        // An entry left running would let repeats wait in vain, and be kept
        // for ever. Whether a send came first is not known.
        record({recorder.started() ? state::run_outcome::ran
                                   : state::run_outcome::unknown,
                nullptr});
        std::rethrow_exception(fault);
    }
    if (recorded) {
        return;
    }
    if (!report.may_have_run) {
        used.abandon(request.id);
        if (report.step == coordination::next_step::reply) {
            send_reply(sink, report.reason, report.outcome());
        }
        return;
    }
    record({recorder.started() ? state::run_outcome::ran
                               : state::run_outcome::unknown,
            nullptr});
    if (report.step == coordination::next_step::reply) {
        send_reply(sink, report.reason, report.outcome());
    }
}

/// Runs a request at most once within a held incarnation: the first attempt
/// runs it, others wait for the result or get it replayed.
template <body_source Source, answer_sink Sink>
void run_once(upstream_runner& runner, coordination::held_incarnation& held,
              const request_context& context, const once_request& request,
              Source& source, Sink& sink)
{
    auto result = std::make_shared<fiber_result<state::run_result>>();
    const auto now = std::chrono::steady_clock::now();
    auto start = held.used.try_start(
        request.id, request.fingerprint, request.expires_ms,
        held.authority.elapsed_ms(now),
        [result](const state::run_result& it) { result->set(it); });
    if (std::holds_alternative<coordination::run_granted>(start)) {
        run_granted_request(runner, held.used, context, request, source, sink);
    } else if (const auto* it = std::get_if<coordination::replay>(&start)) {
        send_result(sink, it->result);
    } else if (const auto* no =
                   std::get_if<coordination::start_refused>(&start)) {
        send_reply(sink, no->reason, no->outcome);
    } else if (const auto ended = result->wait_until(context.deadline)) {
        send_result(sink, *ended);
    } else {
        send_reply(sink, state::reply_reason::deadline);
    }
}

} // namespace oriolegrade::transport

#endif
