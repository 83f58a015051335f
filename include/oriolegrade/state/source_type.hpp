// Results of reading rules, upstreams and hosts from a platform's store.

#ifndef ORIOLEGRADE_STATE_SOURCE_TYPE_HPP
#define ORIOLEGRADE_STATE_SOURCE_TYPE_HPP

#include <oriolegrade/state/enum_names.hpp>
#include <oriolegrade/state/host_member.hpp>
#include <oriolegrade/state/registered_upstream.hpp>
#include <oriolegrade/state/result.hpp>
#include <oriolegrade/state/time_type.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace oriolegrade::state {

enum class source_failure : std::uint8_t
{
    /// No reply, or a malformed one. A write may have been applied.
    unreachable,
    /// The store rejected the call and changed nothing.
    turned_away,
    /// The requested history was trimmed: read the newest state instead.
    trimmed,
};

template <>
struct enum_names<source_failure>
{
    static constexpr std::array<std::string_view, 3> value{
        "unreachable", "turned_away", "trimmed"};
};

template <class Value>
using source_result = result<Value, source_failure>;

struct rules_read
{
    /// Newest document of the part that was read; empty when there is none.
    std::optional<std::string> document;
    /// Offset at which the next read starts.
    std::uint64_t next_offset = 0;
};

struct registry_read
{
    std::vector<registry_change> changes;
    std::uint64_t next_offset = 0;
    /// Time since the register was like this; above 0 only where a host tells
    /// what it holds.
    duration age{};
};

/// The hosts that the directory names.
struct directory_read
{
    std::vector<host_member> hosts;
    /// Offset of the first change that is not included.
    std::uint64_t next_offset = 0;
};

struct host_change
{
    std::string name;
    /// Empty when the host was removed, or its record cannot be read.
    std::optional<host_member> host;
};

struct directory_changes
{
    std::vector<host_change> changes;
    std::uint64_t next_offset = 0;
};

/// A read that one host performs on behalf of another.
enum class source_call : std::uint8_t
{
    newest_rules,
    newest_upstreams,
    read_upstreams,
    /// What the other host holds, without a call to the store.
    known_upstreams,
    /// Documents behind an offset.
    read_rules,
};

template <>
struct enum_names<source_call>
{
    static constexpr std::array<std::string_view, 5> value{
        "newest_rules", "newest_upstreams", "read_upstreams", "known_upstreams",
        "read_rules"};
};

struct source_request
{
    source_call call = source_call::newest_rules;
    /// Offset of the first record, for calls that take one.
    std::uint64_t from = 0;
};

using source_reply = std::variant<source_failure, rules_read, registry_read>;

} // namespace oriolegrade::state

#endif
