// What worker threads share about the services in force: pick tables and the
// controls that outlive them.

#ifndef ORIOLEGRADE_TRANSPORT_SERVICE_TABLE_HPP
#define ORIOLEGRADE_TRANSPORT_SERVICE_TABLE_HPP

#include <oriolegrade/coordination/concurrency_limit.hpp>
#include <oriolegrade/coordination/fastest_answer.hpp>
#include <oriolegrade/coordination/hedge_policy.hpp>
#include <oriolegrade/coordination/retry_budget.hpp>
#include <oriolegrade/state/configuration.hpp>
#include <oriolegrade/state/pick_table.hpp>

#include <atomic>
#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

namespace oriolegrade::transport {

/// Shared by all threads and by all service entries that name the upstream.
struct upstream_controls
{
    coordination::concurrency_limit limit;
    /// Connections that the process holds to the upstream.
    std::atomic<std::uint32_t> connections{0};
};

using upstream_controls_ptr = std::shared_ptr<upstream_controls>;

/// Shared by all threads; lives as long as the service entry's key.
struct service_controls
{
    explicit service_controls(state::record_key key_in)
        : key(std::move(key_in))
    {}

    const state::record_key key;
    coordination::retry_budget budget;
    coordination::hedge_policy hedge;
    coordination::fastest_answer fastest;
};

using service_controls_ptr = std::shared_ptr<service_controls>;

/// Immutable but for the shared controls.
struct service_table
{
    std::shared_ptr<const state::pick_table> picks;
    /// In the order of picks->candidates.
    std::vector<upstream_controls_ptr> upstreams;
    service_controls_ptr controls;
};

using service_table_ptr = std::shared_ptr<const service_table>;

/// Tables of all service entries. A change copies the pointers only.
class service_table_set
{
public:
    /// Null for a service without a table.
    service_table_ptr find(const state::record_key& key) const
    {
        const auto it = tables_.find(key);
        return it == tables_.end() ? nullptr : it->second;
    }

    void put(const state::record_key& key, service_table_ptr table)
    {
        tables_[key] = std::move(table);
    }

    std::size_t size() const
    {
        return tables_.size();
    }

private:
    std::unordered_map<state::record_key, service_table_ptr,
                       state::record_key_hash>
        tables_;
};

} // namespace oriolegrade::transport

#endif
