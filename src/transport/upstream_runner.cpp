// Construction of a worker thread's runner.

#include <oriolegrade/transport/upstream_runner.hpp>

#include <oriolegrade/transport/fiber_scheduler.hpp>
#include <oriolegrade/transport/task_fault.hpp>

#include <boost/fiber/operations.hpp>

namespace oriolegrade::transport {

namespace {

/// Hanging attempts become evidence within this time.
constexpr std::chrono::milliseconds maintenance_interval{100};
/// While requests wait, room made by other threads is noticed in this time.
constexpr std::chrono::milliseconds line_interval{5};

} // namespace

upstream_runner::upstream_runner(boost::asio::io_context& ioc,
                                 entry_shared& shared)
    : ioc_(ioc)
    , shared_(shared)
    , pool_(ioc)
{
    thread_.evidence = shared.evidence.add();
    spawn_fiber([this] { maintain(); });
}

void upstream_runner::maintain()
{
    auto next = std::chrono::steady_clock::now() + maintenance_interval;
    repeat_for_ever("maintenance", maintenance_interval, [&] {
        if (thread_.lines.wait_filled(next)) {
            boost::this_fiber::sleep_for(line_interval);
        }
        const auto now = std::chrono::steady_clock::now();
        thread_.lines.tick(now);
        if (now >= next) {
            next = now + maintenance_interval;
            thread_.evidence->count_hanging(now);
            pool_.close_expired(now);
        }
    });
}

} // namespace oriolegrade::transport
