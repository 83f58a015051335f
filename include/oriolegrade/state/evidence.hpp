// Evidence about the health of upstreams: results of the requests that hosts
// sent, counted per upstream and request class.

#ifndef ORIOLEGRADE_STATE_EVIDENCE_HPP
#define ORIOLEGRADE_STATE_EVIDENCE_HPP

#include <oriolegrade/state/endpoint.hpp>
#include <oriolegrade/state/enum_names.hpp>
#include <oriolegrade/state/identifier.hpp>
#include <oriolegrade/state/request_class.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace oriolegrade::state {

enum class evidence_kind : std::uint8_t
{
    success,
    /// Server error, truncated response, or deadline exceeded.
    failure,
    /// Beyond the slow limit of the class, completed or still in flight.
    slow,
    /// Rejected without being run because the upstream is at capacity. This
    /// indicates load, not a fault.
    shed,
    connect_failure,
};

template <>
struct enum_names<evidence_kind>
{
    static constexpr std::array<std::string_view, 5> value{
        "success", "failure", "slow", "shed", "connect_failure"};
};

/// Number of requests per kind of evidence.
struct evidence_counts
{
    std::array<std::uint32_t, enum_size<evidence_kind>> values{};

    std::uint32_t& operator[](evidence_kind kind)
    {
        return values[index_of(kind)];
    }
    std::uint32_t operator[](evidence_kind kind) const
    {
        return values[index_of(kind)];
    }
    /// Requests that count as evidence of health: all except shed ones.
    std::uint64_t non_shed() const;
    /// Adds `other`; each counter saturates.
    void add(const evidence_counts& other);
    bool empty() const;

    bool operator==(const evidence_counts&) const = default;
};

/// Each request is counted once, when its first result is known. A request that
/// became slow in flight is not counted again when it ends.
struct evidence_item
{
    endpoint upstream;
    request_class request = request_class::idempotent;
    evidence_counts counts;

    bool operator==(const evidence_item&) const = default;
};

/// Maximum number of items in a batch: 200 upstreams with 3 classes need 600.
inline constexpr std::size_t max_evidence_items = 1024;

/// Evidence of one host about one service since its previous batch.
struct evidence_batch
{
    endpoint host;
    std::string service;
    std::uint32_t schema_version = 1;
    /// Incarnation of the sending process. Sequences of different incarnations
    /// are unrelated.
    identifier incarnation;
    /// Increases with each batch, so that repeated batches are detected.
    std::uint64_t sequence = 0;
    /// Most of the service appears unhealthy to this host only, which indicates
    /// a fault of the host rather than of the upstreams.
    bool host_suspects_itself = false;
    /// At most max_evidence_items.
    std::vector<evidence_item> items;

    bool operator==(const evidence_batch&) const = default;
};

/// Accumulates evidence between two batches in bounded memory.
class evidence_buffer
{
public:
    void add(const endpoint& upstream, request_class request,
             evidence_kind kind);

    bool empty() const
    {
        return items_.empty();
    }
    /// Requests not counted because the buffer was full.
    std::uint64_t dropped() const
    {
        return dropped_;
    }
    /// Returns the items and clears the buffer.
    std::vector<evidence_item> take();

private:
    /// One item per upstream and class; at most max_evidence_items. A host uses
    /// few upstreams within 100 ms, so a linear search is the fastest.
    std::vector<evidence_item> items_;
    std::uint64_t dropped_ = 0;
};

} // namespace oriolegrade::state

#endif
