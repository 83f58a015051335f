// Request path of one worker thread of an entry process.

#ifndef ORIOLEGRADE_TRANSPORT_ENTRY_WORKER_HPP
#define ORIOLEGRADE_TRANSPORT_ENTRY_WORKER_HPP

#include <oriolegrade/transport/caller_session.hpp>
#include <oriolegrade/transport/entry_shared.hpp>
#include <oriolegrade/transport/forward_server.hpp>
#include <oriolegrade/transport/listener.hpp>
#include <oriolegrade/transport/once_path.hpp>
#include <oriolegrade/transport/upstream_runner.hpp>

#include <boost/asio/io_context.hpp>

namespace oriolegrade::transport {

class entry_worker
{
public:
    /// @throws boost::system::system_error when an address is not available
    entry_worker(boost::asio::io_context& ioc, entry_shared& shared,
                 once_shared& once);

    entry_worker(const entry_worker&) = delete;
    entry_worker& operator=(const entry_worker&) = delete;

    /// Stops accepting connections of callers.
    void close_listener()
    {
        listener_.close();
    }

    /// Address that callers connect to.
    state::endpoint address() const
    {
        return listener_.address();
    }

    /// Address that other entries forward requests to.
    state::endpoint forward_address() const
    {
        return forward_.address();
    }

    /// What is looked up before a request may start.
    struct request_plan
    {
        std::shared_ptr<const state::configuration> configuration;
        /// Null when there is none.
        state::entry_ptr route;
        bool repeatable = false;
        /// The request was given to a part that sends it.
        bool may_have_run = false;
    };

    const caller_io_limits& io_limits() const
    {
        return limits_;
    }
    request_plan prepare(const protocol::request_head& head,
                         const caller_request& request) const;
    void serve(request_plan& plan, const protocol::request_head& head,
               caller_request& request, caller_answer& answer);
    /// Requests that are not served leave no trace: their callers know.
    void drop(const request_plan&, const caller_answer&) {}
    static std::string_view request_id(const protocol::request_head& head);
    /// An exception ended the request.
    static void fail(const request_plan& plan,
                     const protocol::request_head& head,
                     const caller_request& request, caller_answer& answer);

private:
    void reply_status(std::string_view target, caller_answer& answer);
    void proxy_idempotent(const request_context& context,
                          caller_request& request, caller_answer& answer);

    entry_shared& shared_;
    const caller_io_limits& limits_;
    upstream_runner runner_;
    once_path once_path_;
    forward_server forward_;
    listener listener_;
};

} // namespace oriolegrade::transport

#endif
