// Findings: errors in an input, collected with their location and reported
// together instead of one at a time.

#ifndef ORIOLEGRADE_STATE_FINDING_HPP
#define ORIOLEGRADE_STATE_FINDING_HPP

#include <oriolegrade/state/enum_names.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace oriolegrade::state {

enum class finding_code : std::uint8_t
{
    syntax,
    unknown_key,
    missing_key,
    wrong_type,
    out_of_range,
    unknown_name,
    duplicate,
    unknown_schema_version,
    conflict,
    too_large,
};

template <>
struct enum_names<finding_code>
{
    static constexpr std::array<std::string_view, 10> value{
        "syntax",       "unknown_key",  "missing_key", "wrong_type",
        "out_of_range", "unknown_name", "duplicate",   "unknown_schema_version",
        "conflict",     "too_large",
    };
};

/// One error in an input.
struct finding
{
    finding_code code;
    /// Location in the input: a JSON pointer, or `line:column` for syntax
    /// errors.
    std::string place;
    std::string message;

    bool operator==(const finding&) const = default;
};

/// All errors of one input, in the order of their locations.
class findings
{
public:
    void add(finding_code code, std::string place, std::string message)
    {
        items_.push_back({code, std::move(place), std::move(message)});
    }

    bool empty() const
    {
        return items_.empty();
    }
    const std::vector<finding>& items() const
    {
        return items_;
    }

    /// One line per finding: `source:place: code: message`.
    /// @param source name of the input, for example a file name
    std::string to_text(std::string_view source) const;

private:
    std::vector<finding> items_;
};

} // namespace oriolegrade::state

#endif
