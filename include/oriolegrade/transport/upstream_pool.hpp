// Kept-alive connections of one worker thread to the upstreams.

#ifndef ORIOLEGRADE_TRANSPORT_UPSTREAM_POOL_HPP
#define ORIOLEGRADE_TRANSPORT_UPSTREAM_POOL_HPP

#include <oriolegrade/transport/upstream_connection.hpp>

#include <chrono>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace oriolegrade::transport {

/// How certain an idle connection must be before it is used again.
enum class reuse_policy : std::uint8_t
{
    /// Any open idle connection: a lost race with the upstream's own close
    /// is repaired by a retry.
    any_idle,
    /// Only a connection that was used a moment ago: a request that must not
    /// repeat would end as unknown when the upstream closes meanwhile.
    recent_only,
};

struct upstream_pool_options
{
    /// Servers commonly close idle connections after 60 s or more; closing
    /// first avoids most lost races.
    state::duration idle_limit = std::chrono::seconds(30);
    /// Idle time of connections for requests that must not repeat.
    state::duration recent_limit = std::chrono::milliseconds(500);
    /// A connect to a healthy upstream takes about 1 ms. Waiting for the
    /// second repetition of a lost SYN would leave no time for another.
    state::duration connect_limit = std::chrono::milliseconds(1500);
};

class upstream_pool
{
public:
    using connection_ptr = std::unique_ptr<upstream_connection>;

    explicit upstream_pool(boost::asio::io_context& ioc,
                           const upstream_pool_options& options = {});

    /// Idle connection, or a new one that is connected before the deadline.
    /// Null with `ec` set when the connect fails.
    /// @param request_id an idle connection that may bring an answer to an
    ///        earlier send of that request is left out
    connection_ptr acquire(const chosen_upstream& upstream, reuse_policy policy,
                           std::string_view request_id,
                           state::time_point deadline, error_code& ec);

    /// Gives a connection back. It is kept when it may be used again and
    /// the pools of all threads together keep to the upstream's budget.
    void release(connection_ptr connection);

    /// Closes connections that were idle for too long.
    void close_expired(state::time_point now);

private:
    connection_ptr take_idle(const state::endpoint& upstream,
                             reuse_policy policy, std::string_view request_id,
                             state::time_point now);

    boost::asio::io_context& ioc_;
    const upstream_pool_options options_;
    /// Per upstream; the most recently used connection is last.
    std::unordered_map<state::endpoint, std::vector<connection_ptr>,
                       state::endpoint_hash>
        idle_;
};

} // namespace oriolegrade::transport

#endif
