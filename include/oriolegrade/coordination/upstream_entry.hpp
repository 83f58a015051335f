// An upstream with its places in the index of its service.

#ifndef ORIOLEGRADE_COORDINATION_UPSTREAM_ENTRY_HPP
#define ORIOLEGRADE_COORDINATION_UPSTREAM_ENTRY_HPP

#include <oriolegrade/coordination/upstream_tracker.hpp>
#include <oriolegrade/state/enum_names.hpp>
#include <oriolegrade/state/time_type.hpp>

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>

namespace oriolegrade::coordination {

/// What an upstream with a free slot can be used for.
enum class upstream_use : std::uint8_t
{
    in_service,
    /// For a request whose failure a repeat can hide.
    on_trial,
    /// On trial for so long that any request may try it while few upstreams are
    /// in service.
    long_on_trial,
    /// Held, and due for a request whose failure a repeat can hide.
    quick_trial,
    /// Held; the last choice.
    held,
};

struct upstream_entry;

/// Order within a pool. Upstreams in service or on trial: least cost, then
/// least recently used. Held ones: the oldest failure first, because it
/// predicts the next one least.
struct use_key
{
    double cost = 0;
    state::time_point since{};
    std::uint64_t order = 0;
    upstream_entry* entry = nullptr;

    friend bool operator<(const use_key& a, const use_key& b)
    {
        return std::tie(a.cost, a.since, a.order, a.entry) <
               std::tie(b.cost, b.since, b.order, b.entry);
    }
    friend bool operator==(const use_key&, const use_key&) = default;
};

/// Set of the capacity floor that holds an upstream.
enum class floor_set : std::uint8_t
{
    none,
    /// Without failures, by the time at which it must get a request.
    sound,
    /// Failed, by that time, which has not come.
    failed_later,
    /// Failed, and the time has come.
    failed_due,
};

/// Order within a set of the floor.
struct floor_key
{
    state::time_point at{};
    std::uint64_t order = 0;
    upstream_entry* entry = nullptr;

    auto operator<=>(const floor_key&) const = default;
};

struct upstream_entry
{
    explicit upstream_entry(const upstream_tracker& tracker_in)
        : tracker(tracker_in)
    {}

    upstream_entry(const upstream_entry&) = delete;
    upstream_entry& operator=(const upstream_entry&) = delete;

    upstream_tracker tracker;

    /// Place in the pools of upstream_index.
    struct pool_place
    {
        upstream_use use;
        std::string data_centre;
        use_key key;
    };

    /// Empty for an upstream without a free slot.
    std::optional<pool_place> pool;
    /// When the index looks at the upstream again.
    state::time_point timer = state::time_point::max();
    /// Standing and slots as counted; empty for one that accepts no requests.
    std::optional<std::pair<upstream_standing, std::uint32_t>> counted;

    /// Place in capacity_floor.
    floor_set in_floor = floor_set::none;
    floor_key floor_place;

    /// Standing that was reported last, for the log.
    upstream_standing reported = upstream_standing::in_service;
    /// Listed as changed since then.
    bool changed = false;
};

} // namespace oriolegrade::coordination

namespace oriolegrade::state {

template <>
struct enum_names<coordination::upstream_use>
{
    static constexpr std::array<std::string_view, 5> value{
        "in_service", "on_trial", "long_on_trial", "quick_trial", "held"};
};

template <>
struct enum_names<coordination::floor_set>
{
    static constexpr std::array<std::string_view, 4> value{
        "none", "sound", "failed_later", "failed_due"};
};

} // namespace oriolegrade::state

#endif
