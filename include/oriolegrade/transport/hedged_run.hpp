// A request with hedges: further sends beside slow ones. The first whole answer
// goes to the caller; the other sends are cancelled.

#ifndef ORIOLEGRADE_TRANSPORT_HEDGED_RUN_HPP
#define ORIOLEGRADE_TRANSPORT_HEDGED_RUN_HPP

#include <oriolegrade/transport/fiber_signal.hpp>
#include <oriolegrade/transport/request_context.hpp>
#include <oriolegrade/transport/request_fault.hpp>
#include <oriolegrade/transport/request_runner.hpp>

#include <boost/asio/error.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <exception>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <utility>
#include <vector>

namespace oriolegrade::transport {

/// Body of a request without one.
struct no_body
{
    std::size_t read_some(std::span<char>, error_code&)
    {
        return 0;
    }
};

/// Sink of one of the racing sends. The first to start owns the sink behind it;
/// the others get an error.
template <answer_sink Sink>
class racing_sink
{
public:
    /// @param owner shared by all; null until one has started
    /// @param on_win called when this send becomes the owner
    racing_sink(Sink& sink, const void*& owner, std::function<void()> on_win)
        : sink_(sink)
        , owner_(owner)
        , on_win_(std::move(on_win))
    {}

    void start(const protocol::answer_head& head, error_code& ec)
    {
        if (owner_ != nullptr) {
            ec = boost::asio::error::operation_aborted;
            return;
        }
        owner_ = this;
        on_win_();
        sink_.start(head, ec);
    }
    void write(std::string_view bytes, error_code& ec)
    {
        sink_.write(bytes, ec);
    }
    void finish(error_code& ec)
    {
        sink_.finish(ec);
    }

    bool won() const
    {
        return owner_ == this;
    }

private:
    Sink& sink_;
    const void*& owner_;
    std::function<void()> on_win_;
};

/// True when the route and the request allow a second attempt beside the
/// first.
inline bool may_hedge(const request_context& context)
{
    return context.route_spec().hedge && !context.head.has_body() &&
           context.route_spec().request != state::request_class::non_idempotent;
}

/// A choice that knows when a second attempt is sensible. A second choice is
/// constructed from the first one and the route of the second attempt.
template <class Choice>
concept hedging_choice = upstream_choice<Choice> &&
    requires(Choice& c, const state::route_spec& route,
             std::function<void(state::duration)> arm)
{
    /// Gets a function that starts the wait before a second attempt.
    c.on_hedge(std::move(arm));
    /// Takes the right to the second attempt.
    {
        c.may_hedge()
        } -> std::same_as<bool>;
    Choice(c, route);
};

/// Lives on the stack of the request's fiber, which waits for the ends of the
/// fibers of the hedges. Each place of the first attempt may start a hedge, so
/// several can run at a time.
template <answer_sink Sink, hedging_choice Choice,
          protocol::upstream_dialect Dialect = protocol::own_dialect>
class hedged_run
{
public:
    hedged_run(boost::asio::io_context& ioc, upstream_pool& pool,
               const state::route_spec& route, state::time_point deadline,
               const protocol::request_head& head, Sink& sink,
               Choice& first_choice, coordination::memory_budget& memory)
        : pool_(pool)
        , route_(route)
        , deadline_(deadline)
        , head_(head)
        , timer_(ioc)
        , sink_(sink)
        , first_choice_(first_choice)
        , memory_(memory)
    {}

    hedged_run(const hedged_run&) = delete;
    hedged_run& operator=(const hedged_run&) = delete;

    /// An exception in one of the sends ends that send. It leaves run() when
    /// no other one brought an answer, and is logged otherwise.
    run_report run()
    {
        racing_send first(*this, route_, first_choice_);
        first_choice_.on_hedge([this](state::duration delay) { arm(delay); });
        auto [report, fault] = first.run();
        first_choice_.on_hedge({});
        *armed_ = false;
        timer_.cancel();
        fibers_.join();
        const auto id = Dialect::request_id(head_);
        if (won_) {
            log_request_fault(id, fault);
            log_request_fault(id, hedge_fault_);
            if (won_->fault) {
                std::rethrow_exception(won_->fault);
            }
            return won_->report;
        }
        if (fault) {
            log_request_fault(id, hedge_fault_);
            std::rethrow_exception(fault);
        }
        const bool has_no_answer =
            report.step == coordination::next_step::reply &&
            !first.runner.has_answer();
        if (hedge_fault_ && has_no_answer) {
            std::rethrow_exception(hedge_fault_);
        }
        log_request_fault(id, hedge_fault_);
        report.may_have_run = report.may_have_run || hedge_may_have_run_;
        if (report.step == coordination::next_step::reply &&
            first.runner.has_answer()) {
            first.runner.pass_on_answer(report);
        }
        return report;
    }

    /// Ends all sends because the caller left.
    void cancel()
    {
        cancelled_ = true;
        for (auto* it : sends_) {
            it->runner.cancel();
        }
    }

    /// Starts no further hedge, and waits for no further place, because the
    /// host stops.
    void stop_waiting() requires stoppable_choice<Choice>
    {
        stopping_ = true;
        for (auto* it : sends_) {
            it->runner.stop_waiting();
        }
    }

    /// Ends all sends as if the deadline had come.
    void expire()
    {
        deadline_ = std::min(deadline_, std::chrono::steady_clock::now());
        for (auto* it : sends_) {
            it->runner.expire();
        }
    }

private:
    struct send_end
    {
        run_report report;
        std::exception_ptr fault;
    };

    /// One of the racing sends, with a body, a sink and an end of its own.
    struct racing_send
    {
        racing_send(hedged_run& all_in, const state::route_spec& route,
                    Choice& choice)
            : all(all_in)
            , sink(all.sink_, all.owner_, [this] { all.cancel_others(*this); })
            , runner(all.pool_, route, all.deadline_, body, sink, choice,
                     all.memory_)
        {}
        racing_send(const racing_send&) = delete;
        racing_send& operator=(const racing_send&) = delete;

        /// Listed meanwhile, so that what ends the others reaches it.
        send_end run()
        {
            send_end out;
            out.fault = caught([&] {
                all.sends_.push_back(this);
                out.report = runner.run(all.head_);
            });
            std::erase(all.sends_, this);
            return out;
        }

        hedged_run& all;
        no_body body;
        racing_sink<Sink> sink;
        request_runner<no_body, racing_sink<Sink>, Choice, Dialect> runner;
    };

    void cancel_others(const racing_send& winner)
    {
        for (auto* it : sends_) {
            if (it != &winner) {
                it->runner.cancel();
            }
        }
    }

    void arm(state::duration delay)
    {
        timer_.expires_after(
            std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                delay));
        timer_.async_wait([this, armed = armed_](error_code ec) {
            // The run may have ended after the timer had expired.
            if (!ec && *armed) {
                // An exception must not reach the reactor.
                keep_fault(caught([this] {
                    fibers_.spawn([this] {
                        keep_fault(caught([this] { run_hedge(); }));
                    });
                }));
            }
        });
    }

    void run_hedge()
    {
        if (owner_ != nullptr || cancelled_ || stopping_ ||
            !first_choice_.may_hedge()) {
            return;
        }
        auto route = route_;
        route.max_attempts = 1;
        Choice choice(first_choice_, route);
        racing_send hedge(*this, route, choice);
        auto end = hedge.run();
        if (hedge.sink.won()) {
            won_ = std::move(end);
            return;
        }
        hedge_may_have_run_ = hedge_may_have_run_ || end.report.may_have_run;
        keep_fault(end.fault);
    }

    /// Keeps the last exception of a hedge, and logs the one before.
    void keep_fault(std::exception_ptr fault)
    {
        if (fault) {
            log_request_fault(Dialect::request_id(head_),
                              std::exchange(hedge_fault_, std::move(fault)));
        }
    }

    upstream_pool& pool_;
    const state::route_spec& route_;
    state::time_point deadline_;
    const protocol::request_head& head_;
    boost::asio::steady_timer timer_;
    /// False once the first attempt has ended; outlives the run.
    std::shared_ptr<bool> armed_ = std::make_shared<bool>(true);
    Sink& sink_;
    /// Sink of the send that answers. No send starts once it is set.
    const void* owner_ = nullptr;
    Choice& first_choice_;
    coordination::memory_budget& memory_;
    /// In progress.
    std::vector<racing_send*> sends_;
    /// Set when a hedge answered: its end is that of the request, whatever the
    /// others bring.
    std::optional<send_end> won_;
    /// One of the hedges that did not answer may have run the request.
    bool hedge_may_have_run_ = false;
    /// Of a hedge that did not answer.
    std::exception_ptr hedge_fault_;
    bool cancelled_ = false;
    bool stopping_ = false;
    fiber_group fibers_;
};

} // namespace oriolegrade::transport

#endif
