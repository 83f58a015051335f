// Runs routed requests at upstreams for one worker thread, whoever sent them.

#ifndef ORIOLEGRADE_TRANSPORT_UPSTREAM_RUNNER_HPP
#define ORIOLEGRADE_TRANSPORT_UPSTREAM_RUNNER_HPP

#include <oriolegrade/transport/entry_shared.hpp>
#include <oriolegrade/transport/request_context.hpp>
#include <oriolegrade/transport/request_runner.hpp>
#include <oriolegrade/transport/table_choice.hpp>
#include <oriolegrade/transport/upstream_pool.hpp>

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
        table_choice choice(shared_.services.read()->find(context.service->key),
                            context.route_spec(), random_, *evidence_);
        request_runner runner(pool_, context.route_spec(), context.deadline,
                              source, sink, choice);
        if (on_start) {
            on_start([&runner] { runner.cancel(); });
        }
        return runner.run(context.head);
    }

private:
    /// Counts hanging attempts and closes old connections, for ever.
    void maintain();

    entry_shared& shared_;
    upstream_pool pool_;
    thread_random random_;
    std::shared_ptr<thread_evidence> evidence_;
};

} // namespace oriolegrade::transport

#endif
