// Stacks for the fibers of a thread. Each is a mapping of its own, so it
// occupies the pages that its fibers have touched. One from the heap occupies
// all its pages where the heap has used them before.
//
// Load pattern: a crowd of callers with large bodies comes, leaves and comes
// back. What held the bodies of earlier callers became stacks of later ones,
// each with some 72 KB in use where a connection is planned with 40 KB.

#ifndef ORIOLEGRADE_TRANSPORT_FIBER_STACKS_HPP
#define ORIOLEGRADE_TRANSPORT_FIBER_STACKS_HPP

#include <oriolegrade/transport/fiber_scheduler.hpp>

#include <boost/context/stack_context.hpp>

#include <cstddef>
#include <memory>
#include <new>
#include <sys/mman.h>
#include <vector>

namespace oriolegrade::transport {

/// A stack without a guard page: guard pages would keep the system from joining
/// the mappings, of which a process has at most 65,530 by default.
/// @throws std::bad_alloc
inline boost::context::stack_context map_stack()
{
    void* const base =
        ::mmap(nullptr, fiber_stack_bytes, PROT_READ | PROT_WRITE,
               MAP_PRIVATE | MAP_ANONYMOUS | MAP_STACK, -1, 0);
    if (base == MAP_FAILED) {
        throw std::bad_alloc();
    }
    // A huge page would be in use in whole. Fails where there are none.
    static_cast<void>(::madvise(base, fiber_stack_bytes, MADV_NOHUGEPAGE));
    boost::context::stack_context out;
    out.size = fiber_stack_bytes;
    out.sp = static_cast<char*>(base) + fiber_stack_bytes;
    return out;
}

inline void unmap_stack(const boost::context::stack_context& stack) noexcept
{
    void* const base = static_cast<char*>(stack.sp) - stack.size;
    if (::munmap(base, stack.size) != 0) {
        // A hole would be one mapping too many; the memory goes back at least.
        static_cast<void>(::madvise(base, stack.size, MADV_DONTNEED));
    }
}

/// Used by one thread.
class fiber_stacks
{
public:
    fiber_stacks()
    {
        free_.reserve(most_free);
    }
    ~fiber_stacks()
    {
        for (const auto& it : free_) {
            unmap_stack(it);
        }
    }
    fiber_stacks(const fiber_stacks&) = delete;
    fiber_stacks& operator=(const fiber_stacks&) = delete;

    /// @throws std::bad_alloc
    boost::context::stack_context allocate()
    {
        if (free_.empty()) {
            return map_stack();
        }
        const auto out = free_.back();
        free_.pop_back();
        return out;
    }

    void deallocate(const boost::context::stack_context& stack) noexcept
    {
        if (free_.size() < most_free) {
            free_.push_back(stack);
        } else {
            unmap_stack(stack);
        }
    }

private:
    /// Stacks that are kept for the next fibers, which saves three system calls
    /// each.
    static constexpr std::size_t most_free = 16;

    /// At most most_free; its memory is reserved, so that a return cannot fail.
    std::vector<boost::context::stack_context> free_;
};

/// A stack allocator of Boost.Context. Each fiber has a copy, so the stacks
/// outlive the last fiber of their thread.
class thread_stack_allocator
{
public:
    boost::context::stack_context allocate()
    {
        return stacks_->allocate();
    }
    void deallocate(boost::context::stack_context& stack) noexcept
    {
        stacks_->deallocate(stack);
    }

private:
    static const std::shared_ptr<fiber_stacks>& of_thread()
    {
        thread_local const auto stacks = std::make_shared<fiber_stacks>();
        return stacks;
    }

    std::shared_ptr<fiber_stacks> stacks_ = of_thread();
};

} // namespace oriolegrade::transport

#endif
