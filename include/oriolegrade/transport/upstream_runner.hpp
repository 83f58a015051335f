// Runs routed requests at upstreams for one worker thread, whoever sent them.

#ifndef ORIOLEGRADE_TRANSPORT_UPSTREAM_RUNNER_HPP
#define ORIOLEGRADE_TRANSPORT_UPSTREAM_RUNNER_HPP

#include <oriolegrade/transport/request_context.hpp>
#include <oriolegrade/transport/request_runner.hpp>
#include <oriolegrade/transport/upstream_pool.hpp>

#include <algorithm>
#include <functional>
#include <random>
#include <vector>

namespace oriolegrade::transport {

/// Random choice among the upstreams of a service.
class random_choice
{
public:
    random_choice(const state::service_spec& service, std::minstd_rand& random)
        : service_(service)
        , random_(random)
    {}

    std::optional<state::endpoint> next();
    bool may_retry() const
    {
        return tried_.size() < service_.upstreams.size();
    }
    void ended(state::attempt_result, const protocol::answer_head*,
               state::duration)
    {}

private:
    const state::service_spec& service_;
    std::minstd_rand& random_;
    std::vector<state::endpoint> tried_;
};

class upstream_runner
{
public:
    explicit upstream_runner(boost::asio::io_context& ioc);

    /// Receives a function that cancels the request in progress.
    using cancel_hook = std::function<void(std::function<void()>)>;

    /// Runs one request to its end. The caller of run() sends the reply when
    /// the report asks for one.
    template <body_source Source, answer_sink Sink>
    run_report run(const request_context& context, Source& source, Sink& sink,
                   const cancel_hook& on_start = {})
    {
        random_choice choice(context.service_spec(), random_);
        request_runner runner(pool_, context.route_spec(), context.deadline,
                              source, sink, choice);
        if (on_start) {
            on_start([&runner] { runner.cancel(); });
        }
        return runner.run(context.head);
    }

private:
    upstream_pool pool_;
    std::minstd_rand random_;
};

} // namespace oriolegrade::transport

#endif
