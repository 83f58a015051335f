// Mix of requests that the load tool sends.

#ifndef ORIOLEGRADE_PROGRAMS_LOAD_MIX_HPP
#define ORIOLEGRADE_PROGRAMS_LOAD_MIX_HPP

#include <oriolegrade/state/enum_names.hpp>
#include <oriolegrade/state/result.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace oriolegrade::programs {

enum class load_class : std::uint8_t
{
    idempotent,
    /// Non-idempotent, sent with a token of the fleet.
    token,
    /// Non-idempotent, sent with the caller's own key.
    key,
    /// Non-idempotent, sent once with neither.
    plain,
};

struct request_kind
{
    double weight = 1;
    std::string method = "GET";
    std::string path;
    std::uint64_t body_bytes = 0;
    load_class type = load_class::idempotent;
    std::vector<std::pair<std::string, std::string>> headers;
};

/// Parses `{"requests":[{"weight","method","path","body_bytes","class",
/// "headers":{}}]}`; comments are allowed.
state::result<std::vector<request_kind>, std::string>
parse_mix(std::string_view text);

} // namespace oriolegrade::programs

namespace oriolegrade::state {

template <>
struct enum_names<programs::load_class>
{
    static constexpr std::array<std::string_view, 4> value{
        "idempotent", "token", "key", "plain"};
};

} // namespace oriolegrade::state

#endif
