// The configuration in force on a host at one log offset. Immutable once
// published to readers.

#ifndef ORIOLEGRADE_STATE_CONFIGURATION_HPP
#define ORIOLEGRADE_STATE_CONFIGURATION_HPP

#include <oriolegrade/state/record_type.hpp>
#include <oriolegrade/state/sharded_map.hpp>
#include <oriolegrade/state/text_hash.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace oriolegrade::state {

/// An accepted record with the revision and log offset that it got.
struct entry
{
    record_key key;
    /// Number of accepted records of the key, starting at 1.
    std::uint64_t revision = 0;
    /// Log offset of the accepted record.
    std::uint64_t offset = 0;
    identifier change_id;
    std::string operator_name;
    record_body body;

    bool operator==(const entry&) const = default;
};

using entry_ptr = std::shared_ptr<const entry>;

struct record_key_hash
{
    std::size_t operator()(const record_key& key) const;
};

/// All entries in force, with an index of routes by path.
class configuration
{
public:
    /// Offset of the next log record to apply. Never decreases.
    std::uint64_t next_offset() const
    {
        return next_offset_;
    }

    /// Entry of a key, or null.
    entry_ptr find(const record_key& key) const;

    /// Service entry of a schema version. Without a version, the lowest one in
    /// force, since devices that send no version use the oldest.
    entry_ptr find_service(std::string_view name,
                           std::optional<std::uint32_t> version) const;

    /// Route with the longest matching path prefix that has the method.
    /// @param path request path without query
    entry_ptr find_route(std::string_view method, std::string_view path) const;

    /// Workspace limits in force with the highest schema version, or null.
    entry_ptr find_workspace(std::string_view name) const;

    std::size_t size() const
    {
        return entries_.size();
    }

    /// Calls `visit(entry_ptr)` for every entry, in no particular order.
    template <class Visitor>
    void for_each(Visitor visit) const
    {
        entries_.for_each(
            [&](const record_key&, const entry_ptr& it) { visit(it); });
    }

    /// Builds a configuration from a list of entries.
    /// @param entries in any order; of equal keys, the last one is used
    static configuration build(const std::vector<entry_ptr>& entries);

    /// Adds or replaces an accepted entry.
    void put(const entry_ptr& it);

    /// Advances the offset, whether or not the records before it were
    /// accepted.
    void advance_to(std::uint64_t next_offset);

private:
    using entry_list = std::vector<entry_ptr>;

    void index(const entry_ptr& old, const entry_ptr& fresh);
    /// Fills the indexes from entries_.
    void build_indexes();

    sharded_map<record_key, entry_ptr, record_key_hash> entries_;
    /// Service and workspace versions by name; sorted by schema version.
    sharded_map<std::string, entry_list, text_hash> services_;
    sharded_map<std::string, entry_list, text_hash> workspaces_;
    /// Routes by exact path prefix; sorted by name, then schema version.
    sharded_map<std::string, entry_list, text_hash> routes_;
    std::uint64_t next_offset_ = 0;
};

using configuration_ptr = std::shared_ptr<const configuration>;

} // namespace oriolegrade::state

#endif
