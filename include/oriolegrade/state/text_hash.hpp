// Hash by which an unordered table finds a text without a copy of it.

#ifndef ORIOLEGRADE_STATE_TEXT_HASH_HPP
#define ORIOLEGRADE_STATE_TEXT_HASH_HPP

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace oriolegrade::state {

struct text_hash
{
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const
    {
        return std::hash<std::string_view>()(text);
    }
};

template <class Value>
using text_map =
    std::unordered_map<std::string, Value, text_hash, std::equal_to<>>;

} // namespace oriolegrade::state

#endif
