// Guards the memory of fibers: a stack occupies what its fiber has touched.

#include "fakes/fiber_thread.hpp"

#include <oriolegrade/transport/fiber_scheduler.hpp>
#include <oriolegrade/transport/fiber_signal.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <memory>
#include <sys/mman.h>
#include <unistd.h>
#include <vector>

namespace {

using namespace oriolegrade;

/// Bytes below the current frame that the test looks at.
constexpr std::size_t looked_at_bytes = 96 * 1024;

/// Bytes of memory in use in the unused part of the current stack.
std::size_t unused_resident_bytes()
{
    static const auto page = static_cast<std::size_t>(::getpagesize());
    const auto frame =
        reinterpret_cast<std::uintptr_t>(__builtin_frame_address(0));
    const auto end = frame / page * page;
    std::vector<unsigned char> pages(looked_at_bytes / page);
    EXPECT_EQ(::mincore(reinterpret_cast<void*>(end - looked_at_bytes),
                        looked_at_bytes, pages.data()),
              0);
    return page * static_cast<std::size_t>(std::ranges::count_if(
                      pages, [](unsigned char it) { return (it & 1) != 0; }));
}

/// Fibers that run at one time, until all have begun.
template <std::invocable OnBegin>
void run_side_by_side(std::size_t count, OnBegin on_begin)
{
    std::size_t waiting = 0;
    bool done = false;
    transport::fiber_signal changed;
    transport::fiber_group fibers;
    for (std::size_t n = 0; n < count; ++n) {
        fibers.spawn([&] {
            on_begin();
            ++waiting;
            changed.notify();
            changed.wait([&] { return done; });
        });
    }
    changed.wait([&] { return waiting == count; });
    EXPECT_EQ(fibers.running(), count);
    done = true;
    changed.notify();
    fibers.join();
}

// A crowd came back: memory that had held bodies became stacks, and each took
// 72 KB where its fiber had used 12 KB.
TEST(fiber_stacks, memory_of_earlier_bodies_stays_in_use)
{
    test::fiber_context();
    constexpr std::size_t block_bytes = 100'000;
    constexpr std::size_t count = 200;
    std::vector<std::unique_ptr<std::vector<char>>> blocks;
    for (std::size_t n = 0; n < 2 * count; ++n) {
        blocks.push_back(std::make_unique<std::vector<char>>(block_bytes, 'x'));
    }
    // The heap cannot give back what lies below it.
    const std::vector<char> last(block_bytes, 'x');
    blocks.clear();

    std::size_t resident = 0;
    run_side_by_side(count, [&] { resident += unused_resident_bytes(); });
    EXPECT_LT(resident / count, 16 * 1024U);
}

// With a guard page each, this many stacks need more mappings than a process
// may have by default, and the library's own allocator ends the process.
TEST(fiber_stacks, fibers_run_out_of_mappings)
{
    test::fiber_context();
    run_side_by_side(33'000, [] {});
}

} // namespace
