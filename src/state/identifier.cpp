// Formatting, parsing and generation of identifiers.

#include <oriolegrade/state/identifier.hpp>

#include <openssl/rand.h>

#include <charconv>
#include <cstdio>
#include <cstdlib>

namespace oriolegrade::state {

namespace {

constexpr std::size_t digits_per_half = 16;

std::optional<std::uint64_t> parse_half(std::string_view text)
{
    std::uint64_t value = 0;
    for (const char c : text) {
        const bool digit = c >= '0' && c <= '9';
        const bool letter = c >= 'a' && c <= 'f';
        if (!digit && !letter) {
            return std::nullopt;
        }
        const auto nibble =
            static_cast<std::uint64_t>(digit ? c - '0' : c - 'a' + 10);
        value = (value << 4U) | nibble;
    }
    return value;
}

} // namespace

std::string to_string(const identifier& id)
{
    std::array<char, 2 * digits_per_half + 1> buf{};
    std::snprintf(buf.data(), buf.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(id.high),
                  static_cast<unsigned long long>(id.low));
    return buf.data();
}

std::optional<identifier> identifier_from_string(std::string_view text)
{
    if (text.size() != 2 * digits_per_half) {
        return std::nullopt;
    }
    const auto high = parse_half(text.substr(0, digits_per_half));
    const auto low = parse_half(text.substr(digits_per_half));
    if (!high || !low) {
        return std::nullopt;
    }
    return identifier{*high, *low};
}

identifier random_identifier()
{
    std::array<std::uint64_t, 2> words{};
    // Without a random source, two incarnations could share an id and both run
    // the same token, so the process aborts.
    if (RAND_bytes(reinterpret_cast<unsigned char*>(words.data()),
                   static_cast<int>(sizeof(words))) != 1) {
        std::abort();
    }
    return {words[0], words[1]};
}

} // namespace oriolegrade::state
