// Reuse of upstream connections.

#include <oriolegrade/transport/upstream_pool.hpp>

#include <algorithm>

namespace oriolegrade::transport {

namespace {

/// A connection is not used in the last moments before the upstream closes
/// it: a request that crosses the close is lost.
constexpr std::chrono::seconds close_margin{2};

/// True when the connection was idle for longer than the upstream keeps it.
bool may_be_closed(const upstream_connection& it, state::time_point now)
{
    return it.peer_idle_limit != state::duration::max() &&
           now - it.idle_since + close_margin > it.peer_idle_limit;
}

} // namespace

upstream_pool::upstream_pool(boost::asio::io_context& ioc,
                             const upstream_pool_options& options)
    : ioc_(ioc)
    , options_(options)
{}

upstream_pool::connection_ptr
upstream_pool::take_idle(const state::endpoint& upstream, reuse_policy policy,
                         std::string_view request_id, state::time_point now)
{
    const auto found = idle_.find(upstream);
    if (found == idle_.end()) {
        return nullptr;
    }
    const auto limit = policy == reuse_policy::any_idle ? options_.idle_limit
                                                        : options_.recent_limit;
    auto& list = found->second;
    for (auto n = list.size(); n > 0; --n) {
        if (now - list[n - 1]->idle_since > limit) {
            break;
        }
        if (list[n - 1]->may_repeat_answer(request_id)) {
            continue;
        }
        auto it = std::move(list[n - 1]);
        list.erase(list.begin() + static_cast<std::ptrdiff_t>(n - 1));
        if (!may_be_closed(*it, now) && it->idle_open()) {
            return it;
        }
    }
    return nullptr;
}

upstream_pool::connection_ptr
upstream_pool::acquire(const chosen_upstream& upstream, reuse_policy policy,
                       std::string_view request_id, state::time_point deadline,
                       error_code& ec)
{
    if (auto it = take_idle(upstream.address, policy, request_id,
                            std::chrono::steady_clock::now())) {
        it->max_connections = upstream.max_connections;
        return it;
    }
    auto fresh = std::make_unique<upstream_connection>(ioc_, upstream.address);
    fresh->lease = connection_lease(upstream.controls);
    fresh->max_connections = upstream.max_connections;
    fresh->connect(
        std::min<state::time_point>(deadline, std::chrono::steady_clock::now() +
                                                  options_.connect_limit),
        ec);
    return ec ? nullptr : std::move(fresh);
}

void upstream_pool::release(connection_ptr connection)
{
    if (!connection->reusable() ||
        !connection->lease.within(connection->max_connections)) {
        return;
    }
    auto& list = idle_[connection->address()];
    connection->idle_since = std::chrono::steady_clock::now();
    list.push_back(std::move(connection));
}

void upstream_pool::close_expired(state::time_point now)
{
    for (auto it = idle_.begin(); it != idle_.end();) {
        std::erase_if(it->second, [&](const connection_ptr& connection) {
            return now - connection->idle_since > options_.idle_limit ||
                   may_be_closed(*connection, now);
        });
        it = it->second.empty() ? idle_.erase(it) : std::next(it);
    }
}

} // namespace oriolegrade::transport
