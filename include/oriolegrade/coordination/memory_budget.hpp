// Memory of a host for bodies, answers and input of callers.
//
// Load pattern: hundreds of callers send large bodies within the limits at once
// and stop just short of their end, or do not read their answers. Half of the
// budget goes to whoever asks first, so that a few large bodies are served in
// calm; the other half is for small shares, so that a crowd with large bodies
// leaves room for callers with small ones.

#ifndef ORIOLEGRADE_COORDINATION_MEMORY_BUDGET_HPP
#define ORIOLEGRADE_COORDINATION_MEMORY_BUDGET_HPP

#include <atomic>
#include <cstdint>

namespace oriolegrade::coordination {

/// Used by all threads, without locks.
class memory_budget
{
public:
    /// @param bytes 0 for no limit
    explicit memory_budget(std::uint64_t bytes)
        : total_(bytes)
    {}

    memory_budget(const memory_budget&) = delete;
    memory_budget& operator=(const memory_budget&) = delete;

    std::uint64_t used() const
    {
        return used_.load(std::memory_order_relaxed);
    }
    /// Requests for memory that were refused.
    std::uint64_t refusals() const
    {
        return refusals_.load(std::memory_order_relaxed);
    }
    /// More than half is in use: none that is not needed should be kept.
    bool is_short() const
    {
        return total_ > 0 && used() > total_ / 2;
    }

private:
    friend class memory_share;

    /// Largest share that may use the second half of the budget.
    static constexpr std::uint64_t small_share = 16 * 1024;

    bool has_room(std::uint64_t used, std::uint64_t from,
                  std::uint64_t to) const
    {
        const auto after = used + (to - from);
        return total_ == 0 ||
               after <= (to <= small_share ? total_ : total_ / 2);
    }

    /// Adds to a share.
    /// @param from size of the share
    bool grow(std::uint64_t from, std::uint64_t to)
    {
        auto used = used_.load();
        do {
            if (!has_room(used, from, to)) {
                refusals_.fetch_add(1, std::memory_order_relaxed);
                return false;
            }
        } while (!used_.compare_exchange_weak(used, used + (to - from)));
        return true;
    }

    void shrink(std::uint64_t from, std::uint64_t to)
    {
        used_.fetch_sub(from - to);
    }

    const std::uint64_t total_;
    /// Sum of all shares; at most total_ when that is above 0.
    std::atomic<std::uint64_t> used_{0};
    std::atomic<std::uint64_t> refusals_{0};
};

/// What one holder has of a budget; returned at its end. Used by one thread.
class memory_share
{
public:
    explicit memory_share(memory_budget& budget)
        : budget_(budget)
    {}
    ~memory_share()
    {
        shrink_to(0);
    }
    memory_share(const memory_share&) = delete;
    memory_share& operator=(const memory_share&) = delete;

    /// @return false when the budget has no room; the share stays as it was
    bool grow_to(std::uint64_t bytes)
    {
        if (bytes > held_) {
            if (!budget_.grow(held_, bytes)) {
                return false;
            }
            held_ = bytes;
        }
        return true;
    }
    void shrink_to(std::uint64_t bytes)
    {
        if (bytes < held_) {
            budget_.shrink(held_, bytes);
            held_ = bytes;
        }
    }
    bool is_short() const
    {
        return budget_.is_short();
    }

private:
    memory_budget& budget_;
    std::uint64_t held_ = 0;
};

} // namespace oriolegrade::coordination

#endif
