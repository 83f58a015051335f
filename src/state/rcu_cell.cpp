// Implements rcu_cell with liburcu. The "bp" flavour registers threads
// automatically, so that no thread can read unregistered.

#include <oriolegrade/state/rcu_cell.hpp>

#include <urcu-bp.h>

namespace oriolegrade::state::detail {

void rcu_lock()
{
    urcu_bp_read_lock();
}

void rcu_unlock()
{
    urcu_bp_read_unlock();
}

void rcu_synchronize()
{
    urcu_bp_synchronize_rcu();
}

void* rcu_load(void* const* slot)
{
    return __atomic_load_n(slot, __ATOMIC_ACQUIRE);
}

void* rcu_exchange(void** slot, void* replacement)
{
    return __atomic_exchange_n(slot, replacement, __ATOMIC_ACQ_REL);
}

} // namespace oriolegrade::state::detail
