// A request with a second attempt beside a slow first one. The first whole
// answer goes to the caller; the other attempt is cancelled.

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

namespace oriolegrade::transport {

/// Body of a request without one.
struct no_body
{
    std::size_t read_some(std::span<char>, error_code&)
    {
        return 0;
    }
};

/// Sink of one of two racing attempts. The first to start owns the sink
/// behind it; the other gets an error.
template <answer_sink Sink>
class racing_sink
{
public:
    /// @param owner shared by both; null until one has started
    /// @param on_win called when this attempt becomes the owner
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

/// Lives on the stack of the request's fiber, which waits for the end of the
/// second attempt's fiber.
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
        , first_sink_(sink, owner_, [this] { cancel(second_); })
        , second_sink_(sink, owner_, [this] { cancel(first_); })
        , first_choice_(first_choice)
        , memory_(memory)
    {}

    hedged_run(const hedged_run&) = delete;
    hedged_run& operator=(const hedged_run&) = delete;

    /// An exception in one of the two sends ends that send. It leaves run()
    /// when the other one brought no answer, and is logged otherwise.
    run_report run()
    {
        runner first(pool_, route_, deadline_, body_, first_sink_,
                     first_choice_, memory_);
        first_ = &first;
        first_choice_.on_hedge([this](state::duration delay) { arm(delay); });
        run_report report;
        const auto fault = caught([&] { report = first.run(head_); });
        first_choice_.on_hedge({});
        first_ = nullptr;
        *armed_ = false;
        timer_.cancel();
        if (report.step == coordination::next_step::done) {
            cancel(second_);
        }
        fibers_.join();
        const auto id = Dialect::request_id(head_);
        if (second_sink_.won()) {
            log_request_fault(id, fault);
            if (second_fault_) {
                std::rethrow_exception(second_fault_);
            }
            return *second_report_;
        }
        if (fault) {
            log_request_fault(id, second_fault_);
            std::rethrow_exception(fault);
        }
        const bool has_no_answer =
            report.step == coordination::next_step::reply &&
            !first.has_answer();
        if (second_fault_ && has_no_answer) {
            std::rethrow_exception(second_fault_);
        }
        log_request_fault(id, second_fault_);
        if (second_report_) {
            report.may_have_run =
                report.may_have_run || second_report_->may_have_run;
        }
        if (report.step == coordination::next_step::reply &&
            first.has_answer()) {
            first.pass_on_answer(report);
        }
        return report;
    }

    /// Ends both attempts because the caller left.
    void cancel()
    {
        cancelled_ = true;
        cancel(first_);
        cancel(second_);
    }

    /// Ends both attempts as if the deadline had come.
    void expire()
    {
        deadline_ = std::min(deadline_, std::chrono::steady_clock::now());
        for (auto* it : {first_, second_}) {
            if (it != nullptr) {
                it->expire();
            }
        }
    }

private:
    using runner = request_runner<no_body, racing_sink<Sink>, Choice, Dialect>;

    static void cancel(runner* it)
    {
        if (it != nullptr) {
            it->cancel();
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
                second_fault_ = caught([this] {
                    fibers_.spawn([this] {
                        if (const auto fault =
                                caught([this] { run_second(); })) {
                            second_fault_ = fault;
                        }
                    });
                });
            }
        });
    }

    void run_second()
    {
        if (owner_ != nullptr || cancelled_ || !first_choice_.may_hedge()) {
            return;
        }
        auto route = route_;
        route.max_attempts = 1;
        Choice choice(first_choice_, route);
        runner second(pool_, route, deadline_, second_body_, second_sink_,
                      choice, memory_);
        second_ = &second;
        second_fault_ = caught([&] { second_report_ = second.run(head_); });
        second_ = nullptr;
    }

    upstream_pool& pool_;
    const state::route_spec& route_;
    state::time_point deadline_;
    const protocol::request_head& head_;
    boost::asio::steady_timer timer_;
    /// False once the first attempt has ended; outlives the run.
    std::shared_ptr<bool> armed_ = std::make_shared<bool>(true);
    const void* owner_ = nullptr;
    no_body body_;
    no_body second_body_;
    racing_sink<Sink> first_sink_;
    racing_sink<Sink> second_sink_;
    Choice& first_choice_;
    coordination::memory_budget& memory_;
    runner* first_ = nullptr;
    runner* second_ = nullptr;
    std::optional<run_report> second_report_;
    std::exception_ptr second_fault_;
    bool cancelled_ = false;
    fiber_group fibers_;
};

} // namespace oriolegrade::transport

#endif
