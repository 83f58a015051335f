// Messages by which configuration moves between processes, independent of
// their encoding.

#ifndef ORIOLEGRADE_STATE_CONFIG_MESSAGE_TYPE_HPP
#define ORIOLEGRADE_STATE_CONFIG_MESSAGE_TYPE_HPP

#include <oriolegrade/state/configuration.hpp>
#include <oriolegrade/state/finding.hpp>
#include <oriolegrade/state/identifier.hpp>
#include <oriolegrade/state/log_type.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace oriolegrade::state {

/// A log record that this binary could not put in force, and why.
struct skipped_record
{
    std::uint64_t offset = 0;
    finding reason{};

    bool operator==(const skipped_record&) const = default;
};

/// Whole configuration at one offset. The content is a function of the log,
/// so any host may write it.
struct configuration_snapshot
{
    /// Offset of the next log record to apply.
    std::uint64_t next_offset = 0;
    /// Hash of the encoded content; set by the encoder.
    identifier digest;
    /// Sorted by key; every offset is below next_offset.
    std::vector<entry_ptr> entries;
    /// Records of schema versions that the writer does not know, by offset.
    /// A newer binary puts them in force when it restores the snapshot;
    /// otherwise it would miss them for good.
    std::vector<log_record> deferred;
    /// Entries that a decoder left out because this binary does not know
    /// their schema version; never encoded.
    std::vector<skipped_record> skipped;
};

/// Identity of a snapshot that a host offers to another.
struct snapshot_summary
{
    std::uint64_t next_offset = 0;
    identifier digest;

    bool operator==(const snapshot_summary&) const = default;
};

/// Entry asks its agent for configuration.
struct feed_request
{
    /// Next offset of the configuration that the entry has; 0 for none.
    std::uint64_t next_offset = 0;

    bool operator==(const feed_request&) const = default;
};

enum class feed_kind : std::uint8_t
{
    /// All entries.
    full,
    /// Entries changed from base_offset on.
    delta,
};

template <>
struct enum_names<feed_kind>
{
    static constexpr std::array<std::string_view, 2> value{"full", "delta"};
};

/// Agent brings its entry up to an offset.
struct feed_update
{
    feed_kind kind = feed_kind::full;
    /// Delta: the entry must have applied at least the records before it.
    std::uint64_t base_offset = 0;
    std::uint64_t next_offset = 0;
    std::vector<entry_ptr> entries;
    std::vector<skipped_record> skipped;
};

/// A log reader passes records on to another agent, in order of offset.
struct record_batch
{
    /// Offset that the records follow on without a gap.
    std::uint64_t first_offset = 0;
    std::uint64_t next_offset = 0;
    std::vector<log_record> records;
};

} // namespace oriolegrade::state

#endif
