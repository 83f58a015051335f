// Value that many threads read without locks while one thread replaces it,
// using read-copy-update from liburcu.

#ifndef ORIOLEGRADE_STATE_RCU_CELL_HPP
#define ORIOLEGRADE_STATE_RCU_CELL_HPP

#include <memory>

namespace oriolegrade::state {

namespace detail {

/// Enters a read-side critical section on the calling thread. The section must
/// not span a fiber suspension.
void rcu_lock();
void rcu_unlock();
/// Waits until all read-side sections that have already begun have ended.
void rcu_synchronize();
void* rcu_load(void* const* slot);
void* rcu_exchange(void** slot, void* replacement);

} // namespace detail

/// Holds a `std::shared_ptr<const Value>`. read() is wait-free and may be
/// called from any thread; calls of publish() must not overlap.
template <class Value>
class rcu_cell
{
public:
    using pointer = std::shared_ptr<const Value>;

    explicit rcu_cell(pointer initial)
        : slot_(new pointer(std::move(initial)))
    {}

    ~rcu_cell()
    {
        delete static_cast<pointer*>(slot_);
    }

    rcu_cell(const rcu_cell&) = delete;
    rcu_cell& operator=(const rcu_cell&) = delete;

    /// Returns a reference to the current value, which keeps it alive.
    pointer read() const
    {
        detail::rcu_lock();
        pointer copy = *static_cast<const pointer*>(detail::rcu_load(&slot_));
        detail::rcu_unlock();
        return copy;
    }

    /// True when the cell still holds that value, which must not be null.
    /// Shares no counter with other threads.
    bool holds(const pointer& value) const
    {
        detail::rcu_lock();
        const bool same =
            *static_cast<const pointer*>(detail::rcu_load(&slot_)) == value;
        detail::rcu_unlock();
        return same;
    }

    /// Replaces the value. Blocks for one grace period.
    void publish(pointer replacement)
    {
        auto* old = static_cast<pointer*>(
            detail::rcu_exchange(&slot_, new pointer(std::move(replacement))));
        detail::rcu_synchronize();
        delete old;
    }

private:
    /// Points to a heap-allocated `pointer`; never null.
    void* slot_;
};

} // namespace oriolegrade::state

#endif
