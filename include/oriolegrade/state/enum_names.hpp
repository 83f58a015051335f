// Conversion between enumerators and their names, by one static table beside
// each enum.

#ifndef ORIOLEGRADE_STATE_ENUM_NAMES_HPP
#define ORIOLEGRADE_STATE_ENUM_NAMES_HPP

#include <algorithm>
#include <array>
#include <cassert>
#include <cstddef>
#include <optional>
#include <string_view>

namespace oriolegrade::state {

/// Table of the names of an enum, indexed by enumerator value. Specialisations
/// define a member `value`, a std::array of std::string_view.
template <class Enum>
struct enum_names;

/// Number of enumerators of `Enum`.
template <class Enum>
inline constexpr std::size_t enum_size = enum_names<Enum>::value.size();

/// Index of an enumerator in tables and arrays of counters.
template <class Enum>
constexpr std::size_t index_of(Enum e)
{
    const auto n = static_cast<std::size_t>(e);
    assert(n < enum_size<Enum>);
    return n;
}

template <class Enum>
constexpr std::string_view name_of(Enum e)
{
    return enum_names<Enum>::value[index_of(e)];
}

/// Enumerator with the given name; empty if there is none.
template <class Enum>
constexpr std::optional<Enum> enum_from_name(std::string_view name)
{
    const auto& names = enum_names<Enum>::value;
    const auto it = std::find(names.begin(), names.end(), name);
    if (it == names.end()) {
        return std::nullopt;
    }
    return static_cast<Enum>(it - names.begin());
}

} // namespace oriolegrade::state

#endif
