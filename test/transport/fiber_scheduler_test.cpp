// Guards against a scheduler that spins while idle, starves I/O while fibers
// are busy, or loses wake-ups from other threads.

#include <oriolegrade/transport/fiber_scheduler.hpp>
#include <oriolegrade/transport/fiber_yield.hpp>

#include <boost/asio.hpp>
#include <boost/fiber/all.hpp>
#include <gtest/gtest.h>

#include <ctime>
#include <thread>

namespace {

using namespace oriolegrade::transport;
namespace asio = boost::asio;
namespace fibers = boost::fibers;
using namespace std::chrono_literals;

double thread_cpu_seconds()
{
    timespec ts{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
    return static_cast<double>(ts.tv_sec) +
           static_cast<double>(ts.tv_nsec) / 1e9;
}

void on_fiber_thread(const std::function<void(asio::io_context&)>& body)
{
    std::thread thread([&] { run_fibers(body); });
    thread.join();
}

// Guards against polling: a second of sleep must cost almost no CPU.
TEST(fiber_scheduler, idle_thread_uses_no_cpu)
{
    on_fiber_thread([](asio::io_context&) {
        const double before = thread_cpu_seconds();
        boost::this_fiber::sleep_for(500ms);
        EXPECT_LT(thread_cpu_seconds() - before, 0.05);
    });
}

// Guards against a timer that is set anew for the same time and returns at
// once: an event during a sleep must not start a spin to the sleep's end.
TEST(fiber_scheduler, events_during_a_sleep_cost_no_spin)
{
    on_fiber_thread([](asio::io_context& ioc) {
        fibers::fiber other([&] {
            asio::steady_timer timer(ioc, 20ms);
            boost::system::error_code ec;
            timer.async_wait(fiber_yield(ec));
        });
        const double before = thread_cpu_seconds();
        boost::this_fiber::sleep_for(500ms);
        EXPECT_LT(thread_cpu_seconds() - before, 0.05);
        other.join();
    });
}

// Guards against a timer that is armed anew on every suspension: its cancelled
// wait ends the next suspension at once, which spins until a sleeper's time.
TEST(fiber_scheduler, events_during_a_sleep_cause_no_spinning)
{
    on_fiber_thread([](asio::io_context& ioc) {
        fibers::fiber sleeper([] { boost::this_fiber::sleep_for(500ms); });
        const double before = thread_cpu_seconds();
        // Ends before the sleeper, whose time must then be armed.
        boost::this_fiber::sleep_for(20ms);
        asio::steady_timer other(ioc);
        boost::system::error_code ec;
        for (int n = 0; n < 5; ++n) {
            other.expires_after(10ms);
            other.async_wait(fiber_yield(ec));
        }
        sleeper.join();
        EXPECT_LT(thread_cpu_seconds() - before, 0.05);
    });
}

// Guards against a lost wake-up of a sleeping thread.
TEST(fiber_scheduler, other_thread_wakes_a_waiting_fiber)
{
    on_fiber_thread([](asio::io_context&) {
        fibers::promise<int> promise;
        auto future = promise.get_future();
        std::thread other([&] {
            std::this_thread::sleep_for(20ms);
            promise.set_value(7);
        });
        EXPECT_EQ(future.get(), 7);
        other.join();
    });
}

// The scheduler has looked at what other threads woke before it polls the
// reactor, and the poll consumes the event that tells of a wake-up.
TEST(fiber_scheduler, a_wake_up_during_a_poll_is_lost)
{
    on_fiber_thread([](asio::io_context& ioc) {
        fibers::promise<void> promise;
        auto future = promise.get_future();
        asio::post(ioc,
                   [&] { std::thread([&] { promise.set_value(); }).join(); });
        const auto began = std::chrono::steady_clock::now();
        future.wait_for(2s);
        EXPECT_LT(std::chrono::steady_clock::now() - began, 1s);
    });
}

// Guards against busy fibers that keep the reactor from being served.
TEST(fiber_scheduler, busy_fibers_do_not_starve_sockets)
{
    on_fiber_thread([](asio::io_context& ioc) {
        bool stop = false;
        fibers::fiber busy([&] {
            while (!stop) {
                boost::this_fiber::yield();
            }
        });
        asio::ip::tcp::acceptor acceptor(
            ioc, {asio::ip::make_address("127.0.0.1"), 0});
        asio::ip::tcp::socket client(ioc);
        asio::ip::tcp::socket server(ioc);
        boost::system::error_code accepted;
        fibers::fiber accept(
            [&] { acceptor.async_accept(server, fiber_yield(accepted)); });
        boost::system::error_code ec;
        client.async_connect(acceptor.local_endpoint(), fiber_yield(ec));
        EXPECT_FALSE(ec);
        accept.join();
        EXPECT_FALSE(accepted);
        const std::string text = "hello";
        asio::async_write(client, asio::buffer(text), fiber_yield(ec));
        std::array<char, 5> buf{};
        const auto n =
            asio::async_read(server, asio::buffer(buf), fiber_yield(ec));
        EXPECT_EQ(n, 5U);
        stop = true;
        busy.join();
    });
}

} // namespace
