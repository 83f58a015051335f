// Reuse of upstream connections.

#include <oriolegrade/transport/upstream_pool.hpp>

#include <algorithm>

namespace oriolegrade::transport {

namespace {

/// Servers commonly close idle connections after 60 s or more; closing first
/// avoids most lost races.
constexpr std::chrono::seconds idle_limit{30};
constexpr std::chrono::milliseconds recent_limit{500};
/// A connect to a healthy upstream takes about 1 ms. Waiting for the second
/// repetition of a lost SYN would leave no time for another upstream.
constexpr std::chrono::milliseconds connect_limit{1500};

} // namespace

upstream_pool::upstream_pool(boost::asio::io_context& ioc)
    : ioc_(ioc)
{}

upstream_pool::connection_ptr
upstream_pool::take_idle(const state::endpoint& upstream, reuse_policy policy,
                         state::time_point now)
{
    const auto found = idle_.find(upstream);
    if (found == idle_.end()) {
        return nullptr;
    }
    const state::duration limit = policy == reuse_policy::any_idle
                                      ? state::duration(idle_limit)
                                      : state::duration(recent_limit);
    auto& list = found->second;
    while (!list.empty() && now - list.back()->idle_since <= limit) {
        auto it = std::move(list.back());
        list.pop_back();
        if (it->idle_open()) {
            return it;
        }
    }
    return nullptr;
}

upstream_pool::connection_ptr
upstream_pool::acquire(const chosen_upstream& upstream, reuse_policy policy,
                       state::time_point deadline, error_code& ec)
{
    if (auto it = take_idle(upstream.address, policy,
                            std::chrono::steady_clock::now())) {
        it->max_connections = upstream.max_connections;
        return it;
    }
    auto fresh = std::make_unique<upstream_connection>(ioc_, upstream.address);
    fresh->lease = connection_lease(upstream.controls);
    fresh->max_connections = upstream.max_connections;
    fresh->connect(
        std::min<state::time_point>(deadline, std::chrono::steady_clock::now() +
                                                  connect_limit),
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
            return now - connection->idle_since > idle_limit;
        });
        it = it->second.empty() ? idle_.erase(it) : std::next(it);
    }
}

} // namespace oriolegrade::transport
