// One thread of the load tool: arrivals at a fixed rate, whatever the answers.

#ifndef ORIOLEGRADE_PROGRAMS_LOAD_WORKER_HPP
#define ORIOLEGRADE_PROGRAMS_LOAD_WORKER_HPP

#include "tally.hpp"

#include <random>

namespace oriolegrade::programs {

struct load_settings
{
    std::vector<state::endpoint> targets;
    std::vector<request_kind> mix;
    double rate;
    std::chrono::milliseconds duration;
    std::size_t threads;
    /// Per target, over all threads.
    std::size_t connections;
    std::size_t max_in_flight;
    std::chrono::milliseconds timeout;
    unsigned repeats;
    std::size_t workspaces;
    /// Part of each request id, so that runs are told apart.
    std::string run_id;
};

class load_worker
{
public:
    load_worker(const load_settings& settings, std::size_t index, tally& out,
                boost::asio::io_context& ioc);

    /// Returns when the time is over and all requests have ended.
    void run();

private:
    using clock = std::chrono::steady_clock;

    void arrival(clock::time_point scheduled);
    void request(const request_kind& kind, std::size_t kind_index,
                 std::string id, clock::time_point scheduled);
    void prepare(attempt_request& request, std::size_t kind_index);
    target_pool& next_target();

    const load_settings& settings_;
    const std::size_t index_;
    tally& tally_;
    std::vector<std::unique_ptr<target_pool>> pools_;
    /// Unused tokens per kind, since a token is bound to its route.
    std::vector<std::vector<std::string>> tokens_;
    std::discrete_distribution<std::size_t> choose_;
    std::mt19937_64 random_{std::random_device()()};
    std::size_t in_flight_ = 0;
    std::uint64_t sequence_ = 0;
    std::size_t next_target_;
};

} // namespace oriolegrade::programs

#endif
