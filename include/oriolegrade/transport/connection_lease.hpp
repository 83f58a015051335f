// Count of the connections that all threads of a process hold to an upstream.

#ifndef ORIOLEGRADE_TRANSPORT_CONNECTION_LEASE_HPP
#define ORIOLEGRADE_TRANSPORT_CONNECTION_LEASE_HPP

#include <oriolegrade/transport/service_table.hpp>

#include <string>
#include <utility>

namespace oriolegrade::transport {

/// Counts one connection while it lives.
class connection_lease
{
public:
    connection_lease() = default;
    explicit connection_lease(upstream_controls_ptr upstream)
        : upstream_(std::move(upstream))
    {
        if (upstream_) {
            upstream_->connections.fetch_add(1, std::memory_order_relaxed);
        }
    }
    connection_lease(connection_lease&& other) noexcept
        : upstream_(std::move(other.upstream_))
    {}
    connection_lease& operator=(connection_lease&& other) noexcept
    {
        std::swap(upstream_, other.upstream_);
        return *this;
    }
    ~connection_lease()
    {
        if (upstream_) {
            upstream_->connections.fetch_sub(1, std::memory_order_relaxed);
        }
    }

    /// True while the process holds no more connections than `most`.
    bool within(std::uint32_t most) const
    {
        return !upstream_ ||
               upstream_->connections.load(std::memory_order_relaxed) <= most;
    }

private:
    upstream_controls_ptr upstream_;
};

/// An upstream chosen for an attempt, with the budget of its connections.
struct chosen_upstream
{
    state::endpoint address;
    /// Connections that the process may keep open between requests.
    std::uint32_t max_connections = 1;
    /// Null when connections are not counted.
    upstream_controls_ptr controls = nullptr;
    /// Identity that the upstream must have; empty when any will do.
    std::string id = {};
};

} // namespace oriolegrade::transport

#endif
