// Choice of upstreams for a worker thread.

#include <oriolegrade/transport/upstream_runner.hpp>

namespace oriolegrade::transport {

namespace {

constexpr std::size_t max_idle_per_upstream = 8;

} // namespace

std::optional<state::endpoint> random_choice::next()
{
    std::vector<state::endpoint> left;
    for (const auto& it : service_.upstreams) {
        if (std::find(tried_.begin(), tried_.end(), it.address) ==
            tried_.end()) {
            left.push_back(it.address);
        }
    }
    if (left.empty()) {
        return std::nullopt;
    }
    tried_.push_back(left[random_() % left.size()]);
    return tried_.back();
}

upstream_runner::upstream_runner(boost::asio::io_context& ioc)
    : pool_(ioc, max_idle_per_upstream)
    , random_(std::random_device()())
{}

} // namespace oriolegrade::transport
