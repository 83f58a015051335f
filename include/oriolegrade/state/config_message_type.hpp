// Messages that transfer configuration between processes, independent of their
// encoding.

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

/// A log record that this binary could not apply, and the reason.
struct skipped_record
{
    std::uint64_t offset = 0;
    finding reason{};

    bool operator==(const skipped_record&) const = default;
};

/// Complete configuration at one log offset. It depends only on the log, so
/// any host may write it.
struct configuration_snapshot
{
    /// Offset of the next log record to apply.
    std::uint64_t next_offset = 0;
    /// Hash of the encoded content; set by the encoder.
    identifier digest;
    /// Sorted by key; every offset is below next_offset.
    std::vector<entry_ptr> entries;
    /// Records of schema versions that are unknown to the writer, sorted by
    /// offset. A newer binary applies them when it restores the snapshot;
    /// otherwise it would never receive them.
    std::vector<log_record> deferred;
    /// Entries that the decoder omitted because this binary does not know
    /// their schema version; never encoded.
    std::vector<skipped_record> skipped;
};

/// Identity of a snapshot that a host offers to another host.
struct snapshot_summary
{
    std::uint64_t next_offset = 0;
    identifier digest;

    bool operator==(const snapshot_summary&) const = default;
};

/// Request of an entry process to its agent for configuration.
struct feed_request
{
    /// Next offset of the configuration that the entry process has; 0 for
    /// none.
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

/// Configuration update from an agent to its entry process.
struct feed_update
{
    feed_kind kind = feed_kind::full;
    /// For a delta, the receiver must have applied all records before this
    /// offset.
    std::uint64_t base_offset = 0;
    std::uint64_t next_offset = 0;
    std::vector<entry_ptr> entries;
    std::vector<skipped_record> skipped;
};

/// Records that a log reader forwards to another agent, sorted by offset.
struct record_batch
{
    /// Offset from which the batch covers the log without a gap.
    std::uint64_t first_offset = 0;
    std::uint64_t next_offset = 0;
    std::vector<log_record> records;
};

} // namespace oriolegrade::state

#endif
