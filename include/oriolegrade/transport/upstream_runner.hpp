// Runs routed requests at upstreams for one worker thread, whoever sent them.

#ifndef ORIOLEGRADE_TRANSPORT_UPSTREAM_RUNNER_HPP
#define ORIOLEGRADE_TRANSPORT_UPSTREAM_RUNNER_HPP

#include <oriolegrade/transport/entry_shared.hpp>
#include <oriolegrade/transport/hedged_run.hpp>
#include <oriolegrade/transport/request_context.hpp>
#include <oriolegrade/transport/request_runner.hpp>
#include <oriolegrade/transport/table_choice.hpp>
#include <oriolegrade/transport/upstream_pool.hpp>

#include <array>
#include <functional>

namespace oriolegrade::transport {

class upstream_runner
{
public:
    upstream_runner(boost::asio::io_context& ioc, entry_shared& shared);

    /// Receives a function that cancels the request in progress.
    using cancel_hook = std::function<void(std::function<void()>)>;

    /// Runs one request to its end. The caller of run() sends the reply when
    /// the report asks for one.
    template <body_source Source, answer_sink Sink>
    run_report run(const request_context& context, Source& source, Sink& sink,
                   const cancel_hook& on_start = {})
    {
        auto table = shared_.services.read()->find(context.service->key);
        if (may_hedge(context)) {
            return run_hedged(context, std::move(table), source, sink,
                              on_start);
        }
        table_choice choice(std::move(table), context.route_spec(),
                            context.deadline, thread_);
        request_runner runner(pool_, context.route_spec(), context.deadline,
                              source, sink, choice, shared_.memory);
        if (on_start) {
            on_start([&runner] { runner.cancel(); });
        }
        return runner.run(context.head);
    }

    /// Memory for bodies that are kept.
    coordination::memory_budget& memory()
    {
        return shared_.memory;
    }

private:
    template <body_source Source, answer_sink Sink>
    run_report run_hedged(const request_context& context,
                          service_table_ptr table, Source& source, Sink& sink,
                          const cancel_hook& on_start)
    {
        run_report report;
        // Reaches the end of the empty body, so that the caller's connection
        // can carry the next request.
        std::array<char, 1> none{};
        source.read_some(none, report.caller_error);
        if (report.caller_error) {
            report.step = coordination::next_step::abort;
            return report;
        }
        table_choice choice(std::move(table), context.route_spec(),
                            context.deadline, thread_);
        hedged_run run(ioc_, pool_, context.route_spec(), context.deadline,
                       context.head, sink, choice, shared_.memory);
        if (on_start) {
            on_start([&run] { run.cancel(); });
        }
        return run.run();
    }

    /// Serves the lines of waiting requests, counts hanging attempts and
    /// closes old connections, for ever.
    void maintain();

    boost::asio::io_context& ioc_;
    entry_shared& shared_;
    upstream_pool pool_;
    thread_choices thread_;
};

} // namespace oriolegrade::transport

#endif
