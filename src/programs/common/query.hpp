// Query of a request target.

#ifndef ORIOLEGRADE_PROGRAMS_COMMON_QUERY_HPP
#define ORIOLEGRADE_PROGRAMS_COMMON_QUERY_HPP

#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>

namespace oriolegrade::programs {

/// Value of a key; percent signs are not decoded.
inline std::optional<std::string_view> query_value(std::string_view target,
                                                   std::string_view key)
{
    auto at = target.find('?');
    while (at != std::string_view::npos) {
        target.remove_prefix(at + 1);
        at = target.find('&');
        const auto pair = target.substr(0, at);
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) == key) {
            return equals == std::string_view::npos ? ""
                                                    : pair.substr(equals + 1);
        }
    }
    return std::nullopt;
}

/// Number of a key, or `fallback` when it is absent or no number.
inline std::uint64_t query_number(std::string_view target, std::string_view key,
                                  std::uint64_t fallback)
{
    const auto text = query_value(target, key).value_or("");
    std::uint64_t n = 0;
    const auto result =
        std::from_chars(text.data(), text.data() + text.size(), n);
    return result.ec == std::errc() && !text.empty() ? n : fallback;
}

} // namespace oriolegrade::programs

#endif
