// Construction of a worker thread's runner.

#include <oriolegrade/transport/upstream_runner.hpp>

#include <oriolegrade/transport/fiber_scheduler.hpp>

#include <boost/fiber/operations.hpp>

namespace oriolegrade::transport {

namespace {

/// Hanging attempts become evidence within this time.
constexpr std::chrono::milliseconds maintenance_interval{100};

} // namespace

upstream_runner::upstream_runner(boost::asio::io_context& ioc,
                                 entry_shared& shared)
    : shared_(shared)
    , pool_(ioc)
    , evidence_(shared.evidence.add())
{
    spawn_fiber([this] { maintain(); });
}

void upstream_runner::maintain()
{
    for (;;) {
        boost::this_fiber::sleep_for(maintenance_interval);
        const auto now = std::chrono::steady_clock::now();
        evidence_->count_hanging(now);
        pool_.close_expired(now);
    }
}

} // namespace oriolegrade::transport
