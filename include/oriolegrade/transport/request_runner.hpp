// Runs one request: attempts at upstreams, whole answers and the reply of
// the system's own when no answer can be had.

#ifndef ORIOLEGRADE_TRANSPORT_REQUEST_RUNNER_HPP
#define ORIOLEGRADE_TRANSPORT_REQUEST_RUNNER_HPP

#include <oriolegrade/coordination/attempt_policy.hpp>
#include <oriolegrade/protocol/http_head.hpp>
#include <oriolegrade/protocol/own_dialect.hpp>
#include <oriolegrade/state/attempt_result.hpp>
#include <oriolegrade/state/record_type.hpp>
#include <oriolegrade/transport/body_stream.hpp>
#include <oriolegrade/transport/replay_body.hpp>
#include <oriolegrade/transport/upstream_pool.hpp>

#include <boost/beast/core/error.hpp>

#include <algorithm>
#include <chrono>
#include <concepts>
#include <optional>
#include <string>
#include <vector>

namespace oriolegrade::transport {

/// Answer bytes held back before the first is passed on. An answer of up to
/// this size is known to be whole before the caller sees any of it, and the
/// upstream's connection is free before a slow caller reads it.
inline constexpr std::size_t hold_back_bytes = 64 * 1024;
/// Time for the rest of an answer that nobody gets. A new connection costs a
/// few milliseconds; a request that could go elsewhere must not wait longer.
inline constexpr std::chrono::milliseconds read_past_limit{50};

/// Chooses upstreams for one request and learns how attempts ended.
template <class Choice>
concept upstream_choice = requires(Choice& c, state::attempt_result result,
                                   const protocol::answer_head* head,
                                   state::duration took)
{
    /// Next upstream, not one that was tried before; empty when none is
    /// left.
    {
        c.next()
        } -> std::same_as<std::optional<chosen_upstream>>;
    /// Reply when next() found none for the first attempt.
    {
        c.refusal()
        } -> std::same_as<state::reply_reason>;
    /// True when another upstream and the retry budget are left.
    {
        c.may_retry()
        } -> std::same_as<bool>;
    c.ended(result, head, took);
};

/// What became of a request.
struct run_report
{
    coordination::next_step step = coordination::next_step::reply;
    state::reply_reason reason = state::reply_reason::no_upstream;
    /// A byte of the request may have reached an upstream that did not prove
    /// the request unrun.
    bool may_have_run = false;
    std::uint32_t attempts = 0;
    error_code caller_error;

    /// Outcome to tell with the reason, over all attempts.
    state::run_outcome outcome() const
    {
        return coordination::outcome_after(reason, may_have_run);
    }
};

/// A choice that can tell answers after which a send elsewhere may do better.
template <class Choice>
concept fault_judge = requires(Choice& c, const protocol::answer_head& head)
{
    {
        c.is_fault(head)
        } -> std::same_as<bool>;
};

/// A choice whose next() waits and can be told to give up.
template <class Choice>
concept cancellable_choice = requires(Choice& c)
{
    c.cancel();
};

/// A choice whose next() waits and can be told to wait no longer, while a send
/// in progress goes on.
template <class Choice>
concept stoppable_choice = requires(Choice& c)
{
    c.stop_waiting();
};

/// A choice that records the connections of sends, and the answers on them that
/// belonged to other requests.
template <class Choice>
concept send_recorder = requires(Choice& c, std::uint64_t connection)
{
    // 0 for a send without a connection.
    c.sent_on(connection);
    c.skipped_answer();
};

template <body_source Source, answer_sink Sink, upstream_choice Choice,
          protocol::upstream_dialect Dialect = protocol::own_dialect>
class request_runner
{
public:
    request_runner(upstream_pool& pool, const state::route_spec& route,
                   state::time_point deadline, Source& source, Sink& sink,
                   Choice& choice, coordination::memory_budget& memory,
                   std::size_t replay_limit = replay_limit_bytes)
        : pool_(pool)
        , route_(route)
        , deadline_(deadline)
        , body_(source, replay_limit, memory)
        , sink_(sink)
        , choice_(choice)
        , memory_(memory)
    {}

    /// Reads the beginning of the body, so that a slow caller holds no place.
    void read_ahead(const protocol::request_head& head, error_code& ec)
    {
        body_.expect(head.framing.length.value_or(0));
        body_.fill(ec);
    }

    /// Runs the request to its end. The caller of run() sends the reply when
    /// the report asks for one, unless has_answer().
    run_report run(const protocol::request_head& head)
    {
        run_report report;
        read_ahead(head, report.caller_error);
        if (report.caller_error) {
            report.step = coordination::next_step::abort;
            return report;
        }
        auto last = state::attempt_result::not_sent;
        while (report.step != coordination::next_step::done &&
               report.step != coordination::next_step::abort) {
            const auto upstream = choice_.next();
            if (!upstream) {
                // After an attempt, its reason tells the caller more.
                report.reason = report.attempts == 0 ? choice_.refusal()
                                                     : reason_after(last);
                report.step = coordination::next_step::reply;
                return report;
            }
            const auto began = std::chrono::steady_clock::now();
            answer_head_.reset();
            const auto result = attempt(head, *upstream, report);
            last = result;
            ++report.attempts;
            choice_.ended(result, answer_head_ ? &*answer_head_ : nullptr,
                          std::chrono::steady_clock::now() - began);
            report.may_have_run = report.may_have_run || may_have_run(result);
            const auto decision = decide(result, report.attempts);
            report.step = decision.step;
            report.reason = decision.reason;
            if (report.step == coordination::next_step::reply) {
                return report;
            }
            body_.rewind();
        }
        return report;
    }

    /// True when the request ended without a better answer than one that an
    /// upstream gave with a fault; pass_on_answer() delivers it.
    bool has_answer() const
    {
        return faulted_.has_value() && !answer_started_;
    }
    void pass_on_answer(run_report& report)
    {
        pass_on_held(faulted_->head, faulted_->body, report.caller_error);
        report.step = report.caller_error ? coordination::next_step::abort
                                          : coordination::next_step::done;
    }

    /// Ends the attempt in progress because nobody waits for the answer any
    /// more. The upstream sees its connection close.
    void cancel()
    {
        cancelled_ = true;
        if constexpr (cancellable_choice<Choice>) {
            choice_.cancel();
        }
        if (active_) {
            active_->cancel();
        }
    }

    /// Waits for no further place because the host stops.
    void stop_waiting() requires stoppable_choice<Choice>
    {
        choice_.stop_waiting();
    }

    /// Ends the attempt in progress as if the deadline had come.
    void expire()
    {
        deadline_ = std::min(deadline_, std::chrono::steady_clock::now());
        if (active_) {
            active_->cancel();
        }
    }

private:
    using connection_ptr = upstream_pool::connection_ptr;

    static bool may_have_run(state::attempt_result result)
    {
        return result != state::attempt_result::not_sent &&
               result != state::attempt_result::shed &&
               result != state::attempt_result::expired_unsent;
    }

    coordination::attempt_decision decide(state::attempt_result result,
                                          std::uint32_t attempts) const
    {
        coordination::attempt_context facts;
        facts.result = result;
        facts.request = route_.request;
        facts.attempts_made = attempts;
        facts.max_attempts = route_.max_attempts;
        facts.answer_started = answer_started_;
        facts.body_replayable = body_.replayable();
        facts.budget_left = true;
        facts.upstream_left = true;
        auto decision = coordination::decide_next(facts);
        // Asked last, and only when nothing else forbids a retry: a choice that
        // agrees has taken from the retry budget and holds a place.
        if (decision.step == coordination::next_step::retry &&
            !choice_.may_retry()) {
            facts.upstream_left = false;
            decision = coordination::decide_next(facts);
        }
        return decision;
    }

    /// Reason of a reply when no upstream is left after an attempt.
    state::reply_reason reason_after(state::attempt_result result) const
    {
        coordination::attempt_context facts;
        facts.result = result;
        facts.request = route_.request;
        facts.upstream_left = false;
        return coordination::decide_next(facts).reason;
    }

    bool past_deadline() const
    {
        return std::chrono::steady_clock::now() >= deadline_;
    }

    state::attempt_result unsent() const
    {
        return past_deadline() ? state::attempt_result::expired_unsent
                               : state::attempt_result::not_sent;
    }

    state::attempt_result lost() const
    {
        return past_deadline() ? state::attempt_result::expired
                               : state::attempt_result::lost;
    }

    state::attempt_result attempt(const protocol::request_head& head,
                                  const chosen_upstream& upstream,
                                  run_report& report)
    {
        if (cancelled_) {
            return state::attempt_result::caller_lost;
        }
        if (past_deadline()) {
            return state::attempt_result::expired_unsent;
        }
        buffer_.resize(buffer_bytes);
        const auto policy =
            route_.request == state::request_class::non_idempotent
                ? reuse_policy::recent_only
                : reuse_policy::any_idle;
        error_code ec;
        auto connection = pool_.acquire(
            upstream, policy, Dialect::request_id(head), deadline_, ec);
        if constexpr (send_recorder<Choice>) {
            choice_.sent_on(connection ? connection->number() : 0);
        }
        if (cancelled_) {
            return state::attempt_result::caller_lost;
        }
        if (!connection || past_deadline()) {
            return unsent();
        }
        active_ = connection.get();
        const auto result = exchange(std::move(connection), head, upstream,
                                     report.caller_error);
        active_ = nullptr;
        // A caller may leave as soon as it has the whole answer.
        return cancelled_ && result != state::attempt_result::answered
                   ? state::attempt_result::caller_lost
                   : result;
    }

    state::attempt_result exchange(connection_ptr connection,
                                   const protocol::request_head& head,
                                   const chosen_upstream& upstream,
                                   error_code& caller_error)
    {
        error_code ec;
        error_code write_error;
        send(*connection, head, upstream, write_error, caller_error);
        if (caller_error) {
            return state::attempt_result::caller_lost;
        }
        if (write_error && !connection->request_sent()) {
            return unsent();
        }
        // After a failed write an early answer may still be readable.
        answer_head_ = connection->read_head(ec);
        if (ec) {
            answer_head_.reset();
            return lost();
        }
        if (!skip_strays(*connection, head)) {
            answer_head_.reset();
            return lost();
        }
        // The body that was read past may have been a part of this request's
        // answer, and this head a part of that answer's body.
        if (read_past_body_ && Dialect::is_unrun(*answer_head_)) {
            answer_head_.reset();
            return lost();
        }
        // Without an id nothing tells a copy from the next answer.
        const bool unnamed =
            Dialect::repeats_ids && Dialect::request_id(head).empty();
        if (unnamed || Dialect::is_unrun(*answer_head_) ||
            is_fault(*answer_head_)) {
            connection->note_retryable_answer(Dialect::request_id(head));
        }
        if (Dialect::is_unrun(*answer_head_)) {
            if (read_past(*connection)) {
                pool_.release(std::move(connection));
            }
            return state::attempt_result::shed;
        }
        if (!Dialect::is_sound(*answer_head_)) {
            return state::attempt_result::lost;
        }
        return pass_on(std::move(connection), caller_error);
    }

    /// Reads past answers to earlier requests that an upstream gave twice.
    /// False when the answer to this request does not follow.
    bool skip_strays(upstream_connection& connection,
                     const protocol::request_head& head)
    {
        read_past_body_ = false;
        for (std::size_t n = 0; !Dialect::belongs(head, *answer_head_); ++n) {
            if constexpr (send_recorder<Choice>) {
                choice_.skipped_answer();
            }
            if (n == max_repeated_answers || !read_past(connection) ||
                !connection.expect_another()) {
                return false;
            }
            error_code ec;
            answer_head_ = connection.read_head(ec);
            if (ec) {
                return false;
            }
        }
        return true;
    }

    void send(upstream_connection& connection,
              const protocol::request_head& head,
              const chosen_upstream& upstream, error_code& write_error,
              error_code& read_error)
    {
        connection.begin(prepared(head, upstream), deadline_);
        while (head.has_body()) {
            const auto n = body_.read_some(buffer_, read_error);
            if (read_error || n == 0) {
                break;
            }
            connection.write_body({buffer_.data(), n}, write_error);
            if (write_error) {
                return;
            }
        }
        if (!read_error) {
            connection.finish_body(write_error);
        }
    }

    protocol::request_head prepared(protocol::request_head head,
                                    const chosen_upstream& upstream) const
    {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
            deadline_ - std::chrono::steady_clock::now());
        Dialect::prepare(head, std::max<std::int64_t>(left.count(), 0),
                         upstream.id);
        return head;
    }

    /// Reads past an answer that nobody gets.
    /// @return false when it does not end soon; it may have no end
    bool read_past(upstream_connection& connection)
    {
        connection.expires_at(std::min<state::time_point>(
            deadline_, std::chrono::steady_clock::now() + read_past_limit));
        error_code ec;
        std::size_t total = 0;
        std::size_t n = 0;
        do {
            n = connection.read_body(buffer_, ec);
            total += n;
        } while (!ec && n > 0 && total < hold_back_bytes);
        connection.expires_at(deadline_);
        read_past_body_ = read_past_body_ || total > 0;
        return !ec && n == 0;
    }

    /// Reads the answer and passes it on.
    state::attempt_result pass_on(connection_ptr connection,
                                  error_code& caller_error)
    {
        std::string held;
        error_code ec;
        const bool whole = read_held(*connection, held, ec);
        if (ec) {
            return lost();
        }
        auto head = *answer_head_;
        Dialect::finish(head);
        if (whole) {
            // The upstream's connection is free before the caller reads.
            active_ = nullptr;
            pool_.release(std::move(connection));
            // An answer to HEAD tells a length only when its upstream does.
            if (!head.framing.length && !held.empty()) {
                head.framing = {false, held.size()};
            }
            if (is_fault(head)) {
                faulted_ = faulted_answer{std::move(head), std::move(held)};
                return state::attempt_result::faulted;
            }
            return pass_on_held(head, held, caller_error);
        }
        answer_started_ = true;
        sink_.start(head, caller_error);
        write(held, caller_error);
        if (!caller_error) {
            const auto result =
                stream_rest(*connection, held.size(), caller_error);
            if (result != state::attempt_result::answered) {
                return result;
            }
        }
        if (!caller_error) {
            active_ = nullptr;
            pool_.release(std::move(connection));
            sink_.finish(caller_error);
        }
        return passed_on(caller_error);
    }

    state::attempt_result pass_on_held(const protocol::answer_head& head,
                                       std::string_view held,
                                       error_code& caller_error)
    {
        answer_started_ = true;
        sink_.start(head, caller_error);
        write(held, caller_error);
        if (!caller_error) {
            sink_.finish(caller_error);
        }
        return passed_on(caller_error);
    }

    bool is_fault(const protocol::answer_head& head)
    {
        if constexpr (fault_judge<Choice>) {
            return choice_.is_fault(head);
        } else {
            return false;
        }
    }

    static state::attempt_result passed_on(const error_code& caller_error)
    {
        return caller_error ? state::attempt_result::caller_lost
                            : state::attempt_result::answered;
    }

    /// True when the whole answer was read into `held`.
    bool read_held(upstream_connection& connection, std::string& held,
                   error_code& ec)
    {
        while (held.size() < hold_back_bytes) {
            // Without memory the answer is passed on as it comes, and cannot be
            // replaced by that of another send.
            if (held.size() >= buffer_bytes &&
                !memory_.grow_to(2 * held.size())) {
                return false;
            }
            const auto n = connection.read_body(buffer_, ec);
            if (n == 0 || ec) {
                return !ec;
            }
            held.append(buffer_.data(), n);
        }
        return false;
    }

    state::attempt_result stream_rest(upstream_connection& connection,
                                      std::uint64_t passed_on,
                                      error_code& caller_error)
    {
        for (;;) {
            error_code ec;
            const auto n = connection.read_body(buffer_, ec);
            if (ec) {
                return lost();
            }
            if (n == 0) {
                return state::attempt_result::answered;
            }
            // The stream's timer is not looked at while reads find bytes.
            if (past_deadline()) {
                return state::attempt_result::expired;
            }
            passed_on += n;
            if (passed_on > route_.max_response_bytes) {
                return state::attempt_result::lost;
            }
            write({buffer_.data(), n}, caller_error);
            if (caller_error) {
                return state::attempt_result::caller_lost;
            }
        }
    }

    void write(std::string_view bytes, error_code& ec)
    {
        if (!bytes.empty() && !ec) {
            sink_.write(bytes, ec);
        }
    }

    static constexpr std::size_t buffer_bytes = 16 * 1024;

    upstream_pool& pool_;
    const state::route_spec& route_;
    state::time_point deadline_;
    replay_body<Source> body_;
    Sink& sink_;
    Choice& choice_;
    /// Of the answer that is held back.
    coordination::memory_share memory_;
    /// Empty before the first attempt: callers that stop within their bodies
    /// need none.
    std::vector<char> buffer_;
    std::optional<protocol::answer_head> answer_head_;
    /// Last whole answer that told a fault; kept until a better one arrives.
    struct faulted_answer
    {
        protocol::answer_head head;
        std::string body;
    };
    std::optional<faulted_answer> faulted_;
    /// Connection of the attempt in progress, or null.
    upstream_connection* active_ = nullptr;
    bool cancelled_ = false;
    /// An answer with a body was read past in the present attempt. The body may
    /// have broken off, with the next answer taken for its rest.
    bool read_past_body_ = false;
    /// Part of an answer has been given to the sink; no retry after that.
    bool answer_started_ = false;
};

} // namespace oriolegrade::transport

#endif
