// Request path of one worker thread of a gateway.

#ifndef ORIOLEGRADE_TRANSPORT_GATEWAY_GATEWAY_WORKER_HPP
#define ORIOLEGRADE_TRANSPORT_GATEWAY_GATEWAY_WORKER_HPP

#include <oriolegrade/transport/caller_session.hpp>
#include <oriolegrade/transport/gateway/dispatched_choice.hpp>
#include <oriolegrade/transport/gateway/gateway_shared.hpp>
#include <oriolegrade/transport/gateway/quota_client.hpp>
#include <oriolegrade/transport/gateway/request_log.hpp>
#include <oriolegrade/transport/gateway/request_plan.hpp>
#include <oriolegrade/transport/gateway/rules_client.hpp>
#include <oriolegrade/transport/hedged_run.hpp>
#include <oriolegrade/transport/listener.hpp>
#include <oriolegrade/transport/reply.hpp>
#include <oriolegrade/transport/request_fault.hpp>
#include <oriolegrade/transport/request_runner.hpp>

#include <boost/beast/http/error.hpp>
#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <random>
#include <set>

namespace oriolegrade::transport {

/// Header fields of callers, beside those that the runner needs.
template <class Dialect>
concept gateway_dialect = protocol::upstream_dialect<Dialect> &&
    reporting_dialect<Dialect> && requires(const protocol::request_head& head)
{
    /// Milliseconds that the caller waits.
    {
        Dialect::time_left(head)
        } -> std::same_as<std::optional<std::uint64_t>>;
    /// Field in which callers send their key.
    {
        Dialect::key_field
        } -> std::convertible_to<std::string_view>;
    /// Field that names the workspace to upstreams.
    {
        Dialect::workspace_field
        } -> std::convertible_to<std::string_view>;
};

/// Bodies up to this size are read before a place is asked for, and can be
/// sent again. Uploads of the users have 60 KB on average.
inline constexpr std::size_t gateway_replay_bytes = 1024 * 1024;
/// Interval at which old upstream connections are closed.
inline constexpr std::chrono::seconds gateway_pool_interval{1};

/// Longest wait for newer rules before a request is turned away that they may
/// allow. A store or another host answers in a few milliseconds when it answers
/// at all, and callers give up a request that is not read within a second.
inline constexpr std::chrono::milliseconds gateway_rules_wait{300};

/// Idle limits of upstream connections. Servers of the users close them after
/// 10 s, and a request that must not repeat is lost when it crosses the close.
inline upstream_pool_options gateway_pool_options()
{
    upstream_pool_options out;
    out.idle_limit = std::chrono::seconds(8);
    out.recent_limit = std::chrono::seconds(5);
    // A request must not reach an upstream long after it was placed.
    out.connect_limit = std::chrono::milliseconds(500);
    return out;
}

template <gateway_dialect Dialect, placement Placement,
          rules_refresher Refresher, quota_gate Gate>
class gateway_worker
{
public:
    /// @throws boost::system::system_error when the address is not available
    gateway_worker(boost::asio::io_context& ioc, gateway_shared& shared,
                   Placement& places, Refresher& refresher, Gate& quotas)
        : ioc_(ioc)
        , shared_(shared)
        , places_(places)
        , refresher_(refresher)
        , quotas_(quotas)
        , pool_(ioc, gateway_pool_options())
        , listener_(ioc, shared.options.caller_listen,
                    shared.options.max_connections,
                    shared.options.socket_buffer_bytes,
                    [this](tcp_stream stream) { serve(std::move(stream)); })
    {
        spawn_fiber([this] { maintain(); });
    }

    gateway_worker(const gateway_worker&) = delete;
    gateway_worker& operator=(const gateway_worker&) = delete;

    void close_listener()
    {
        listener_.close();
    }
    /// Closes connections without a request. Their callers open new ones
    /// elsewhere before the end of the process would cut a request.
    void close_idle()
    {
        for (auto* it : sessions_) {
            it->close_if_idle();
        }
    }
    /// Answers the requests in progress by the end of the stop, whatever their
    /// time limit. To be called once, during the stop.
    void drain()
    {
        spawn_fiber([this] {
            const auto schedule = shared_.drain();
            boost::this_fiber::sleep_until(schedule->wait_end());
            for (auto* it : active_) {
                run_step("drain", [it] { it->stop_waiting(); });
            }
            boost::this_fiber::sleep_until(schedule->run_end());
            for (auto* it : active_) {
                run_step("drain", [it] { it->stop_waiting(); });
                run_step("drain", [it] { it->expire(); });
            }
        });
    }
    state::endpoint address() const
    {
        return listener_.address();
    }

    using request_plan = transport::request_plan;

    caller_io_limits io_limits() const
    {
        const auto rules = shared_.rules.read();
        const auto& limits = rules->rules().limits;
        caller_io_limits out;
        out.max_head_bytes = limits.header_bytes;
        out.idle = limits.idle_timeout;
        out.progress = limits.header_timeout;
        return out;
    }

    request_plan prepare(protocol::request_head& head, caller_request& request)
    {
        request_plan plan;
        plan.line.began = request.arrival();
        if (shared_.configured) {
            plan.rules = shared_.rules.read();
            look_up(plan, head, request);
        }
        // Behind the last change of the head.
        plan.line.request_id = Dialect::request_id(head);
        return plan;
    }

    void serve(request_plan& plan, protocol::request_head& head,
               caller_request& request, caller_answer& answer)
    {
        auto& line = plan.line;
        line.read_behind = answer.read_behind();
        if (line.read_behind > 0) {
            shared_.metrics.count_read_ahead(line.read_behind);
        }
        if (!plan.rules) {
            return refuse(line, answer, state::reply_reason::not_ready, {});
        }
        const auto stop = shared_.drain();
        if (stop && !stop->accepts(line.began)) {
            return refuse(line, answer, state::reply_reason::shutting_down, {});
        }
        if (const auto reason = request.refusal()) {
            return refuse(line, answer, *reason, {});
        }
        if (!is_allowed(plan) || !is_in_time(plan)) {
            look_again(plan, head, request);
            if (!is_in_time(plan)) {
                return refuse(line, answer, state::reply_reason::rules_outdated,
                              {});
            }
        }
        if (plan.route == nullptr) {
            return refuse(line, answer, state::reply_reason::no_route, {});
        }
        if (!plan.check.passes) {
            return refuse(line, answer, state::reply_reason::unknown_key, {});
        }
        const auto deadline = deadline_of(head, *plan.route, line.began);
        if (!deadline) {
            return refuse(line, answer, state::reply_reason::shutting_down, {});
        }
        auto& sends = plan.sends.emplace(request_sends{
            std::string(line.request_id),
            state::choose_split_service(*plan.route, random_()), *plan.route,
            line.began, *deadline, shared_.metrics, shared_.wishes,
            state::rank_of(*plan.route, plan.check.workspace), line.workspace});
        line.service = sends.service;
        // The view of the head's field ends with the next change of the head.
        line.request_id = sends.request_id;
        if (!line.workspace.empty()) {
            head.fields.add(Dialect::workspace_field, line.workspace);
        }
        // The head must not change any more: sends in progress refer to it.
        const auto objection = [this, &plan, &head] {
            return objection_to(plan, head, shared_.rules);
        };
        // By reference: a copy of it does not fit without memory of its own.
        sends.objection = std::cref(objection);
        if (!has_limit(plan)) {
            return run(head, request, answer, sends, line);
        }
        // Before the wait for a place: beyond the limit, the caller is told at
        // once. A window that holds both the caller's request and its run also
        // holds this moment.
        const auto decision = quotas_.admit(line.workspace, sends.deadline);
        if (decision.verdict == coordination::quota_verdict::refused) {
            return refuse(line, answer, state::reply_reason::limit, {},
                          decision.retry_after);
        }
        sends.rights = send_rights(
            [this, &line] { return quotas_.admit_extra(line.workspace); });
        run(head, request, answer, sends, line);
        for (auto n = sends.rights.left(); n > 0; --n) {
            quotas_.give_back(line.workspace);
        }
    }

    /// The request was read and will not be served.
    void drop(request_plan& plan, const caller_answer& answer)
    {
        plan.line.read_behind = answer.read_behind();
        end_unanswered(plan.line, answer);
    }

    static std::string_view request_id(const protocol::request_head& head)
    {
        return Dialect::request_id(head);
    }

    /// An exception ended the request.
    void fail(request_plan& plan, const protocol::request_head& head,
              const caller_request& request, caller_answer& answer)
    {
        auto& line = plan.line;
        line.request_id = Dialect::request_id(head);
        line.began = request.arrival();
        if (plan.sends) {
            take_sends(*plan.sends, line);
        }
        line.turn_wait = answer.turn_wait();
        line.answer_began = answer.began();
        if (answer.finished()) {
            end_answered(line);
        } else if (answer.started()) {
            end_failed(line, state::reply_reason::internal_error);
        } else if (!plan.sends || plan.sends->runs == 0) {
            refuse(line, answer, state::reply_reason::internal_error_not_run,
                   {});
        } else if (answer.await_turn()) {
            end_failed(line, state::reply_reason::internal_error);
            send_reply(answer, state::reply_reason::internal_error);
        } else {
            end_unanswered(line, answer);
        }
    }

private:
    /// A request in progress, for drain().
    struct active_request
    {
        /// Ends the waits for places, if there are any.
        std::function<void()> stop_waiting;
        /// Ends the request as if its deadline had come.
        std::function<void()> expire;
    };
    /// Lists a request for as long as its run is in progress.
    class active_guard
    {
    public:
        template <class Runner>
        active_guard(std::set<active_request*>& active, Runner& runner)
            : active_(active)
            , request_{[&runner] { runner.stop_waiting(); },
                       [&runner] {
                           runner.expire();
                       }}
        {
            active_.insert(&request_);
        }
        ~active_guard()
        {
            active_.erase(&request_);
        }
        active_guard(const active_guard&) = delete;
        active_guard& operator=(const active_guard&) = delete;

    private:
        std::set<active_request*>& active_;
        active_request request_;
    };

    using clock = std::chrono::steady_clock;
    using choice_type = dispatched_choice<Placement, Dialect>;
    using session_type = caller_session<gateway_worker>;

    /// Plans the request by its rules. Ends the view of the head's id.
    static void look_up(request_plan& plan, protocol::request_head& head,
                        caller_request& request)
    {
        const auto& all = plan.rules->rules();
        plan.line.rules_version = all.version;
        if (all.requires_keys && !plan.has_taken_key) {
            plan.has_taken_key = true;
            plan.key = head.fields.take(Dialect::key_field).value_or("");
            head.fields.take(Dialect::workspace_field);
        }
        plan.route =
            plan.rules->find(head.host, protocol::path_of(head.target));
        plan.check = {};
        plan.line.route = {};
        if (plan.route != nullptr) {
            plan.line.route = plan.route->name;
            plan.repeatable =
                plan.route->spec.request == state::request_class::idempotent;
            plan.check = state::check_key(*plan.rules, *plan.route, plan.key);
            request.set_body_limit(all.limits.body_bytes);
        }
        plan.line.workspace = workspace_of(plan.check);
    }

    /// False when the request was planned by rules that were replaced too long
    /// ago.
    bool is_in_time(const request_plan& plan) const
    {
        return shared_.may_serve_by(clock::now(), plan.line.rules_version);
    }

    /// Before a request is turned away: plans it by the newest rules. A host
    /// that may be behind asks for them first.
    void look_again(request_plan& plan, protocol::request_head& head,
                    caller_request& request)
    {
        const auto now = clock::now();
        if (shared_.may_be_behind(now, plan.line.rules_version)) {
            const auto ms = Dialect::time_left(head).value_or(longest_wait_ms);
            refresher_.refresh(std::min<state::time_point>(
                now + gateway_rules_wait,
                plan.line.began +
                    std::chrono::milliseconds(std::min(ms, longest_wait_ms))));
        }
        if (!shared_.rules.holds(plan.rules)) {
            plan.rules = shared_.rules.read();
            look_up(plan, head, request);
            plan.line.request_id = Dialect::request_id(head);
        }
    }

    void maintain()
    {
        for (;;) {
            boost::this_fiber::sleep_for(gateway_pool_interval);
            run_step("pool", [this] { pool_.close_expired(clock::now()); });
            shared_.metrics.set_memory(shared_.memory.used(),
                                       shared_.memory.refusals());
        }
    }

    void serve(tcp_stream stream)
    {
        session_type session(std::move(stream), *this, shared_);
        sessions_.insert(&session);
        const auto fault = caught([&] { session.run(); });
        sessions_.erase(&session);
        if (fault) {
            std::rethrow_exception(fault);
        }
    }

    /// Empty when the host stops before the request could use its time.
    std::optional<state::time_point>
    deadline_of(const protocol::request_head& head,
                const state::traffic_route& route,
                state::time_point began) const
    {
        const auto deadline = began + time_limit(head, route);
        const auto stop = shared_.drain();
        return stop ? stop->limit(began, deadline) : deadline;
    }

    static state::duration time_limit(const protocol::request_head& head,
                                      const state::traffic_route& route)
    {
        const auto ms = Dialect::time_left(head);
        if (!ms) {
            return route.spec.deadline;
        }
        const std::chrono::milliseconds left(std::min(*ms, longest_wait_ms));
        return std::min<state::duration>(left, route.spec.deadline);
    }

    void run(const protocol::request_head& head, caller_request& request,
             caller_answer& answer, request_sends& sends, request_line& line)
    {
        choice_type choice(places_, sends);
        run_report report;
        const bool hedge = sends.route.spec.hedge && !head.has_body();
        if (hedge) {
            finish_empty_body(request, report);
            if (!report.caller_error) {
                hedged_run<caller_answer, choice_type, Dialect> runner(
                    ioc_, pool_, sends.route.spec, sends.deadline, head, answer,
                    choice, shared_.memory);
                const active_guard guard(active_, runner);
                std::optional<caller_connection::cancel_guard> cancel;
                answer.on_cancel([&runner] { runner.cancel(); }, cancel);
                report = runner.run();
            }
        } else {
            request_runner<caller_request, caller_answer, choice_type, Dialect>
                runner(pool_, sends.route.spec, sends.deadline, request, answer,
                       choice, shared_.memory, gateway_replay_bytes);
            const active_guard guard(active_, runner);
            runner.read_ahead(head, report.caller_error);
            if (!report.caller_error) {
                std::optional<caller_connection::cancel_guard> cancel;
                answer.on_cancel([&runner] { runner.cancel(); }, cancel);
                report = runner.run(head);
                if (report.step == coordination::next_step::reply &&
                    runner.has_answer()) {
                    runner.pass_on_answer(report);
                }
            } else {
                report.step = coordination::next_step::abort;
            }
        }
        finish(report, answer, sends, line);
    }

    /// Reaches the end of the empty body, so that the caller's connection can
    /// carry the next request.
    static void finish_empty_body(caller_request& request, run_report& report)
    {
        std::array<char, 1> none{};
        request.read_some(none, report.caller_error);
        if (report.caller_error) {
            report.step = coordination::next_step::abort;
        }
    }

    static void take_sends(const request_sends& sends, request_line& line)
    {
        line.sends = sends.tried;
        line.results = sends.results;
        line.kinds = sends.kinds;
        line.connections = sends.connections;
        line.skipped_answers = sends.skipped_answers;
        line.first_placed = sends.first_placed;
    }

    void finish(const run_report& report, caller_answer& answer,
                const request_sends& sends, request_line& line)
    {
        take_sends(sends, line);
        line.turn_wait = answer.turn_wait();
        line.answer_began = answer.began();
        if (report.caller_error == boost::beast::http::error::body_limit &&
            !answer.started()) {
            return refuse(line, answer, state::reply_reason::too_large, {});
        }
        if (report.caller_error == boost::asio::error::no_memory &&
            !answer.started()) {
            return refuse(line, answer, state::reply_reason::no_memory, {});
        }
        switch (report.step) {
        case coordination::next_step::done:
            end_answered(line);
            break;
        case coordination::next_step::reply:
            if (!answer.await_turn()) {
                end_unanswered(line, answer);
            } else if (report.may_have_run) {
                const auto reason =
                    coordination::reason_after(report.reason, true);
                end_failed(line, reason);
                send_reply(answer, reason, state::run_outcome::unknown);
            } else if (sends.denied) {
                refuse(line, answer, *sends.denied, {});
            } else {
                refuse(line, answer, unrun_reason(report.reason),
                       sends.refusal);
            }
            break;
        default:
            end_unanswered(line, answer);
            break;
        }
    }

    void end_answered(const request_line& line)
    {
        line.write(request_end::answered, "answered");
        count(line, request_end::answered);
    }

    void end_failed(const request_line& line, state::reply_reason reason)
    {
        line.write(request_end::failed, state::name_of(reason));
        count(line, request_end::failed);
    }

    void count(const request_line& line, request_end end)
    {
        shared_.metrics.count(end, line.age());
        if (!line.workspace.empty()) {
            shared_.metrics.count(line.workspace, end);
        }
    }

    void end_unanswered(request_line& line, const caller_answer& answer)
    {
        const auto end =
            answer.is_dropped() ? request_end::dropped : request_end::abandoned;
        line.turn_wait = answer.turn_wait();
        line.write(end,
                   answer.is_dropped() ? "connection_closed" : "caller_left");
        count(line, end);
    }

    /// A request that did not run is refused with a status that says so.
    static state::reply_reason unrun_reason(state::reply_reason reason)
    {
        constexpr std::uint16_t service_unavailable = 503;
        return state::reply_of(reason).status == service_unavailable
                   ? reason
                   : state::reply_reason::shed;
    }

    void refuse(request_line& line, caller_answer& answer,
                state::reply_reason reason,
                const std::optional<state::place_refusal>& away,
                std::optional<state::duration> retry_after = {})
    {
        if (!answer.await_turn()) {
            return end_unanswered(line, answer);
        }
        line.turn_wait = answer.turn_wait();
        const auto why =
            away ? state::name_of(away->reason) : state::name_of(reason);
        line.write(request_end::refused, why);
        count(line, request_end::refused);
        if (!line.workspace.empty() && away) {
            shared_.metrics.count(line.workspace, away->reason);
        } else if (!line.workspace.empty()) {
            shared_.metrics.count(line.workspace, reason);
        }
        protocol::http_fields fields;
        if (reason == state::reply_reason::unknown_key) {
            shared_.metrics.count_unknown_key();
            fields.add("WWW-Authenticate", key_challenge);
        }
        constexpr std::uint16_t service_unavailable = 503;
        if (!retry_after &&
            state::reply_of(reason).status == service_unavailable) {
            retry_after = away ? away->retry_after : default_retry_after;
        }
        if (retry_after) {
            fields.add("Retry-After", seconds_text(*retry_after));
        }
        send_reply(answer, reason, state::run_outcome::not_run,
                   std::move(fields));
    }

    /// HTTP asks for a challenge in each 401 (RFC 9110, section 15.5.2). There
    /// is no registered scheme for keys in a field of their own.
    static constexpr std::string_view key_challenge = "ApiKey";
    /// A longer time limit of a caller counts as this.
    static constexpr std::uint64_t longest_wait_ms = 3'600'000;
    /// Time in which a host gets its rules or is replaced by another one.
    static constexpr std::chrono::milliseconds default_retry_after{200};

    /// Decimal seconds, as callers of the gateway take fractions.
    static std::string seconds_text(state::duration d)
    {
        constexpr state::duration shortest = std::chrono::milliseconds(50);
        constexpr std::size_t longest_text = 32;
        const std::chrono::duration<double> seconds = std::max(d, shortest);
        std::array<char, longest_text> buf{};
        const auto n =
            std::snprintf(buf.data(), buf.size(), "%.2f", seconds.count());
        return {buf.data(), static_cast<std::size_t>(n)};
    }

    boost::asio::io_context& ioc_;
    gateway_shared& shared_;
    Placement& places_;
    Refresher& refresher_;
    Gate& quotas_;
    upstream_pool pool_;
    std::mt19937_64 random_{std::random_device()()};
    /// Open connections of callers.
    std::set<session_type*> sessions_;
    /// Requests that have been read and are not answered.
    std::set<active_request*> active_;
    listener listener_;
};

} // namespace oriolegrade::transport

#endif
