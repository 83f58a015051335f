// Guards the memory for request bodies that are kept for another send.

#include "fakes/fiber_thread.hpp"

#include <oriolegrade/transport/fiber_signal.hpp>
#include <oriolegrade/transport/replay_body.hpp>

#include <boost/fiber/operations.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <span>

namespace {

using namespace oriolegrade;
using namespace std::chrono_literals;

/// A caller that sends its body at a steady pace.
class steady_source
{
public:
    explicit steady_source(std::size_t bytes)
        : left_(bytes)
    {}

    std::size_t read_some(std::span<char> buf, transport::error_code&)
    {
        boost::this_fiber::sleep_for(1ms);
        const auto n = std::min(buf.size(), left_);
        std::ranges::fill(buf.first(n), 'x');
        left_ -= n;
        return n;
    }

private:
    std::size_t left_;
};

constexpr std::size_t body_bytes = 100'000;
constexpr std::size_t limit_bytes = 1'000'000;
constexpr int crowd = 6;

/// Bodies that reach their ends, of six at once before a host that has room for
/// two at a time.
int whole_bodies(std::uint64_t announced_bytes)
{
    test::fiber_context();
    // Large bodies may use half of it.
    coordination::memory_budget budget(6 * body_bytes);
    int whole = 0;
    transport::fiber_group fibers;
    for (int n = 0; n < crowd; ++n) {
        fibers.spawn([&] {
            steady_source source(body_bytes);
            transport::replay_body body(source, limit_bytes, budget);
            body.expect(announced_bytes);
            transport::error_code ec;
            body.fill(ec);
            whole += !ec && body.kept().size() == body_bytes ? 1 : 0;
        });
    }
    fibers.join();
    EXPECT_EQ(budget.used(), 0U);
    return whole;
}

// 20 callers with 900 kB came at once to a host that has room for 7 at a time:
// each held a part and waited for the rest, and 11 were refused.
TEST(replay_body, bodies_keep_each_other_from_their_ends)
{
    EXPECT_EQ(whole_bodies(body_bytes), crowd);
}

// The same for bodies whose heads announce no length.
TEST(replay_body, chunked_bodies_keep_each_other_from_their_ends)
{
    EXPECT_EQ(whole_bodies(0), crowd);
}

// A length beyond the limit takes memory for the limit only.
TEST(replay_body, an_announced_length_takes_memory_without_bound)
{
    test::fiber_context();
    coordination::memory_budget budget(0);
    steady_source source(limit_bytes / 50);
    transport::replay_body body(source, limit_bytes / 100, budget);
    body.expect(std::uint64_t{1} << 40U);
    transport::error_code ec;
    body.fill(ec);
    EXPECT_FALSE(ec);
    EXPECT_FALSE(body.ended());
    EXPECT_EQ(body.kept().size(), limit_bytes / 100);
    EXPECT_LE(budget.used(), limit_bytes / 100);
}

} // namespace
