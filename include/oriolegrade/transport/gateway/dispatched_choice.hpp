// Choice of upstreams by a dispatcher, for the request runner.

#ifndef ORIOLEGRADE_TRANSPORT_GATEWAY_DISPATCHED_CHOICE_HPP
#define ORIOLEGRADE_TRANSPORT_GATEWAY_DISPATCHED_CHOICE_HPP

#include <oriolegrade/coordination/upstream_wishes.hpp>
#include <oriolegrade/protocol/http_head.hpp>
#include <oriolegrade/state/attempt_result.hpp>
#include <oriolegrade/state/reply_reason.hpp>
#include <oriolegrade/state/traffic_rules.hpp>
#include <oriolegrade/transport/connection_lease.hpp>
#include <oriolegrade/transport/event_log.hpp>
#include <oriolegrade/transport/gateway/gateway_metrics.hpp>
#include <oriolegrade/transport/gateway/placement_client.hpp>
#include <oriolegrade/transport/gateway/send_rights.hpp>
#include <oriolegrade/transport/request_fault.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace oriolegrade::transport {

/// What the sends of one request share.
struct request_sends
{
    std::string request_id;
    std::string service;
    const state::traffic_route& route;
    state::time_point began;
    state::time_point deadline;
    gateway_metrics& metrics;
    coordination::upstream_wishes& wishes;
    /// Urgency of the request.
    std::uint32_t rank;
    /// Name of the workspace; empty for none.
    std::string_view workspace = {};
    /// Asked before each send: the rules may have changed while the request
    /// waited for its place. A reason ends the request unsent.
    std::function<std::optional<state::reply_reason>()> objection = {};
    /// The last objection.
    std::optional<state::reply_reason> denied = {};
    /// Rights to send within the limit of the workspace.
    send_rights rights = {};
    /// Ids of upstreams that got the request.
    std::vector<std::string> tried = {};
    /// Kinds of the sends, in order.
    std::vector<state::send_kind> kinds = {};
    /// Numbers of the connections of the sends, in order; 0 for none.
    std::vector<std::uint64_t> connections = {};
    /// Answers to other requests that were read on these connections.
    std::uint32_t skipped_answers = 0;
    /// Sends that ran the request, or may have or still may.
    std::uint32_t runs = 0;
    /// A send, or one in progress, has reached its upstream.
    bool has_arrived = false;
    /// How each send ended, in the order of the ends.
    std::vector<state::send_result> results = {};
    /// The last turning away, when a place was refused.
    std::optional<state::place_refusal> refusal = {};
    /// When the request got its first place.
    std::optional<state::time_point> first_placed = {};
};

/// Reads what an answer tells about the upstream's load and identity.
template <class Dialect>
concept reporting_dialect = requires(const protocol::answer_head& head)
{
    {
        Dialect::load_of(head)
        } -> std::same_as<std::optional<state::occupancy_report>>;
    {
        Dialect::is_misdirected(head)
        } -> std::same_as<bool>;
    {
        Dialect::wish_of(head)
        } -> std::same_as<state::upstream_wish>;
};

template <placement Placement, reporting_dialect Dialect>
class dispatched_choice
{
public:
    dispatched_choice(Placement& from, request_sends& sends)
        : from_(from)
        , sends_(sends)
        , kind_(state::send_kind::first)
    {}
    /// Choice for a second send beside the first.
    dispatched_choice(const dispatched_choice& first, const state::route_spec&)
        : from_(first.from_)
        , sends_(first.sends_)
        , kind_(state::send_kind::hedge)
    {}
    ~dispatched_choice()
    {
        log_request_fault(sends_.request_id, caught([this] {
                              end(state::send_result::cancelled, nullptr, {});
                          }));
    }

    dispatched_choice(const dispatched_choice&) = delete;
    dispatched_choice& operator=(const dispatched_choice&) = delete;

    std::optional<chosen_upstream> next()
    {
        if (!place_ && !(sends_.rights.reserve() && get_place(kind_))) {
            return std::nullopt;
        }
        for (int n = 0; const auto wish = wish_in_force(); ++n) {
            give_back(*wish);
            if (n == most_given_back || !get_place(place_kind_)) {
                return std::nullopt;
            }
        }
        if (sends_.objection) {
            sends_.denied = sends_.objection();
        }
        if (sends_.denied || !sends_.rights.use()) {
            return_place({});
            return std::nullopt;
        }
        const auto place = *std::exchange(place_, std::nullopt);
        sends_.tried.push_back(place.upstream);
        sends_.kinds.push_back(place_kind_);
        target_ = {place.upstream, place.born};
        if (!sends_.first_placed) {
            sends_.first_placed = std::chrono::steady_clock::now();
        }
        sent_ = true;
        if (arm_ && place.hedge_after) {
            arm_(*place.hedge_after);
        }
        return chosen_upstream{place.address, place.max_connections, nullptr,
                               place.upstream};
    }

    state::reply_reason refusal() const
    {
        if (sends_.denied) {
            return *sends_.denied;
        }
        return sends_.refusal && sends_.refusal->reason ==
                                     state::place_refusal_reason::no_upstream
                   ? state::reply_reason::no_upstream
                   : state::reply_reason::shed;
    }

    /// True when another send may follow and there is a place for it.
    bool may_retry()
    {
        return !cancelled_ && kind_ != state::send_kind::hedge &&
               sends_.runs < sends_.route.spec.max_attempts &&
               sends_.rights.reserve() && get_place(state::send_kind::repeat);
    }

    void ended(state::attempt_result result, const protocol::answer_head* head,
               state::duration took)
    {
        end(result_of(result, head), head, took);
    }

    /// True for an answer that a send to another upstream may better.
    bool is_fault(const protocol::answer_head& head) const
    {
        return sends_.route.spec.request !=
                   state::request_class::non_idempotent &&
               is_server_error(head);
    }

    void sent_on(std::uint64_t connection)
    {
        sends_.connections.push_back(connection);
    }
    void skipped_answer()
    {
        ++sends_.skipped_answers;
        sends_.metrics.count_skipped_answer();
    }

    void on_hedge(std::function<void(state::duration)> arm)
    {
        arm_ = std::move(arm);
    }
    bool may_hedge() const
    {
        return sends_.runs < sends_.route.spec.max_attempts;
    }

    /// Ends the wait for a place because the caller left.
    void cancel()
    {
        cancelled_ = true;
        if (waiting_) {
            waiting_->set(state::place_refusal{});
        }
    }
    /// Ends the wait for a place because the host stops.
    void stop_waiting()
    {
        stopping_ = true;
        if (waiting_) {
            waiting_->set(leaving_refusal);
        }
    }

private:
    using clock = std::chrono::steady_clock;

    static bool is_server_error(const protocol::answer_head& head)
    {
        constexpr std::uint16_t first_server_error = 500;
        return head.status >= first_server_error;
    }

    state::place_request request_for(state::send_kind kind) const
    {
        const auto now = clock::now();
        state::place_request out;
        out.service = sends_.service;
        out.route = sends_.route.name;
        out.kind = kind;
        if (kind == state::send_kind::repeat && !sends_.has_arrived) {
            out.kind = state::send_kind::first;
            out.placed_before = true;
        }
        out.repeatable =
            sends_.route.spec.request != state::request_class::non_idempotent;
        out.upload = sends_.route.upload;
        out.rank = sends_.rank;
        out.workspace = sends_.workspace;
        out.time_left = sends_.deadline - now;
        out.target_left = sends_.began + sends_.route.latency_target - now;
        out.tried = sends_.tried;
        return out;
    }

    /// What the upstream of the present place said of itself, if it forbids a
    /// send.
    std::optional<state::upstream_wish> wish_in_force() const
    {
        const auto wish = sends_.wishes.in_force(place_->upstream, place_->born,
                                                 clock::now());
        return wish.any() ? std::optional(wish) : std::nullopt;
    }

    /// Gives an unused place back to a dispatcher that had not heard of the
    /// wish. The request counts the upstream as tried, so that the next place
    /// is another one.
    void give_back(const state::upstream_wish& wish)
    {
        sends_.tried.push_back(place_->upstream);
        return_place(wish);
    }

    /// Ends the present place, which got nothing.
    void return_place(const state::upstream_wish& wish)
    {
        place_.reset();
        --sends_.runs;
        state::send_report report{state::send_result::cancelled, {}, {}, true};
        report.wish = wish;
        end_place(report);
    }

    /// Reports the end of the present place.
    void end_place(const state::send_report& report)
    {
        // Reported once, even when a step throws.
        const auto number = std::exchange(number_, 0);
        sends_.metrics.count(report.result);
        from_.report(number, report);
        sends_.results.push_back(report.result);
    }

    /// Takes what an answer says of its upstream.
    state::upstream_wish hear(const protocol::answer_head& head)
    {
        const auto wish = Dialect::wish_of(head);
        if (wish.has_unusable_pause &&
            sends_.wishes.heard_unusable(target_.first, target_.second)) {
            event(log_level::warning, "upstream_pause_ignored")
                .with("id", target_.first)
                .with("born", target_.second);
        }
        if (wish.any() && sends_.wishes.heard(target_.first, target_.second,
                                              wish, clock::now())) {
            event(log_level::info, "upstream_wish")
                .with("id", target_.first)
                .with("born", target_.second)
                .with("leaving", wish.leaving ? "yes" : "no")
                .with("pause_ms",
                      std::chrono::duration_cast<std::chrono::milliseconds>(
                          wish.pause.value_or(state::duration{}))
                          .count());
        }
        return wish;
    }

    bool get_place(state::send_kind kind)
    {
        if (stopping_) {
            sends_.refusal = leaving_refusal;
            return false;
        }
        place_kind_ = kind;
        waiting_ = std::make_shared<place_wait>();
        number_ = from_.ask(request_for(kind), waiting_);
        // Counted before the wait: a send beside this one must know of it; and
        // behind what can throw, for the destructor takes it back.
        ++sends_.runs;
        const auto answer = waiting_->wait_until(sends_.deadline);
        waiting_.reset();
        if (answer) {
            if (const auto* it = std::get_if<state::place>(&*answer);
                it != nullptr && !cancelled_) {
                place_ = *it;
                return true;
            }
            sends_.refusal =
                std::holds_alternative<state::place_refusal>(*answer)
                    ? std::get<state::place_refusal>(*answer)
                    : state::place_refusal{};
        } else {
            sends_.refusal = state::place_refusal{
                state::place_refusal_reason::overloaded, {}};
        }
        end(state::send_result::cancelled, nullptr, {});
        return false;
    }

    static state::send_result result_of(state::attempt_result result,
                                        const protocol::answer_head* head)
    {
        switch (result) {
        case state::attempt_result::answered:
        case state::attempt_result::faulted:
            return head != nullptr && is_server_error(*head)
                       ? state::send_result::server_error
                       : state::send_result::answered;
        case state::attempt_result::not_sent:
        case state::attempt_result::expired_unsent:
            return state::send_result::unreachable;
        case state::attempt_result::shed:
            return head != nullptr && Dialect::is_misdirected(*head)
                       ? state::send_result::misdirected
                       : state::send_result::refused;
        case state::attempt_result::lost:
            return state::send_result::lost;
        case state::attempt_result::expired:
            return state::send_result::expired;
        case state::attempt_result::caller_lost:
            return state::send_result::cancelled;
        }
        return state::send_result::cancelled;
    }

    void end(state::send_result result, const protocol::answer_head* head,
             state::duration took)
    {
        if (number_ == 0) {
            return;
        }
        // Without a send the place was not used, if there was one.
        state::send_report report{result, took, {}, !sent_};
        if (head != nullptr) {
            report.load = Dialect::load_of(*head);
            report.wish = hear(*head);
        }
        // Behind what can throw: the destructor comes here again.
        const bool unrun = result == state::send_result::unreachable ||
                           result == state::send_result::refused ||
                           result == state::send_result::misdirected || !sent_;
        if (unrun) {
            --sends_.runs;
        }
        if (unrun && sent_) {
            sends_.rights.restore();
        }
        if (sent_ && result != state::send_result::unreachable) {
            sends_.has_arrived = true;
        }
        sent_ = false;
        end_place(report);
    }

    /// Places of one send that are given back. Each one teaches the dispatcher,
    /// and a request names at most 16 upstreams that it has tried.
    static constexpr int most_given_back = 8;
    static constexpr state::place_refusal leaving_refusal{
        state::place_refusal_reason::leaving, {}};

    Placement& from_;
    request_sends& sends_;
    state::send_kind kind_;
    std::function<void(state::duration)> arm_;
    /// Name of the present place or wait; 0 for none.
    std::uint64_t number_ = 0;
    std::optional<state::place> place_;
    /// Kind of the send that the present place or wait is for.
    state::send_kind place_kind_ = state::send_kind::first;
    /// Upstream of the present send, and its incarnation.
    std::pair<std::string, std::uint64_t> target_;
    std::shared_ptr<place_wait> waiting_;
    /// The request was given to the present place.
    bool sent_ = false;
    bool cancelled_ = false;
    /// The host stops and waits for no further place.
    bool stopping_ = false;
};

} // namespace oriolegrade::transport

#endif
