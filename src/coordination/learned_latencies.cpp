// Latency records of the routes of a service.

#include <oriolegrade/coordination/learned_latencies.hpp>

#include <oriolegrade/coordination/scaled_duration.hpp>

namespace oriolegrade::coordination {

namespace {

/// Latency assumed before a service has answered: the users' services take 100
/// ms to 400 ms.
constexpr state::duration expected_latency = std::chrono::milliseconds(300);
/// Number of routes with a latency record of their own.
constexpr std::size_t max_routes = 4096;
/// A trial in progress for longer than this is likely to succeed: upstreams in
/// a fault return errors immediately, much sooner than successful responses.
constexpr double trial_confirm_factor = 2.0;
constexpr state::duration min_trial_confirm_time =
    std::chrono::milliseconds(20);

} // namespace

state::duration learned_latencies::usual() const
{
    return all_routes_.usual(expected_latency);
}

state::duration learned_latencies::usual(const std::string& route) const
{
    const auto it = routes_.find(route);
    return it == routes_.end() ? usual() : it->second.usual(usual());
}

route_latency* learned_latencies::record_of(const std::string& route)
{
    const auto it = routes_.find(route);
    if (it != routes_.end()) {
        return &it->second;
    }
    return routes_.size() < max_routes ? &routes_[route] : nullptr;
}

void learned_latencies::began(const std::string& route)
{
    all_routes_.begin();
    if (auto* it = record_of(route)) {
        it->begin();
    }
}

void learned_latencies::ended(const std::string& route,
                              const state::send_report& report)
{
    if (report.result == state::send_result::server_error) {
        faults_.add(report.took);
    }
    if (report.result != state::send_result::answered) {
        dropped(route);
        return;
    }
    all_routes_.add(report.took);
    if (auto* it = record_of(route)) {
        it->add(report.took);
    }
}

void learned_latencies::dropped(const std::string& route)
{
    all_routes_.drop();
    if (auto* it = record_of(route)) {
        it->drop();
    }
}

state::duration learned_latencies::trial_confirm_time() const
{
    return scaled(faults_.usual(expected_latency), trial_confirm_factor) +
           min_trial_confirm_time;
}

} // namespace oriolegrade::coordination
