// Rate and concurrency limits per workspace, in a table of fixed size.

#ifndef ORIOLEGRADE_COORDINATION_WORKSPACE_LIMITS_HPP
#define ORIOLEGRADE_COORDINATION_WORKSPACE_LIMITS_HPP

#include <oriolegrade/state/enum_names.hpp>
#include <oriolegrade/state/record_type.hpp>
#include <oriolegrade/state/result.hpp>

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <string_view>
#include <utility>

namespace oriolegrade::coordination {

enum class workspace_refusal : std::uint8_t
{
    rate,
    concurrency,
    /// More workspaces are active at once than the table can hold.
    table_full,
};

/// Limits of all workspaces, shared by worker threads. A workspace with a full
/// token bucket and no requests in flight has the same state as an unknown one,
/// so its slot is reused.
class workspace_limits
{
    struct slot;

public:
    /// @param slots power of two; twice the number of workspaces keeps probe
    ///     sequences short
    /// @param hash_seed random, so that no one can choose colliding names
    workspace_limits(std::size_t slots, std::uint64_t hash_seed);
    ~workspace_limits();
    workspace_limits(const workspace_limits&) = delete;
    workspace_limits& operator=(const workspace_limits&) = delete;

    /// Permission to run one request; released by the destructor. Must not
    /// outlive the limits.
    class permit
    {
    public:
        permit(permit&& other) noexcept
            : slot_(std::exchange(other.slot_, nullptr))
        {}
        permit& operator=(permit&&) = delete;
        ~permit();

    private:
        friend class workspace_limits;
        explicit permit(slot* s)
            : slot_(s)
        {}
        slot* slot_;
    };

    /// Acquires a concurrency permit and a rate token of the workspace.
    state::result<permit, workspace_refusal>
    try_begin(std::string_view workspace, const state::workspace_spec& spec,
              state::time_point now);

    std::size_t bytes() const;

private:
    slot* acquire_slot(std::uint64_t key, state::time_point now);
    bool try_reassign(slot& s, std::uint64_t key, state::time_point now);

    std::size_t mask_;
    std::uint64_t seed_;
    std::unique_ptr<slot[]> slots_;
};

} // namespace oriolegrade::coordination

namespace oriolegrade::state {

template <>
struct enum_names<coordination::workspace_refusal>
{
    static constexpr std::array<std::string_view, 3> value{
        "rate", "concurrency", "table_full"};
};

} // namespace oriolegrade::state

#endif
