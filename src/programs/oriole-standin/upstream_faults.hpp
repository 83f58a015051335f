// Faults of the upstream stand-in and their JSON form.

#ifndef ORIOLEGRADE_PROGRAMS_UPSTREAM_FAULTS_HPP
#define ORIOLEGRADE_PROGRAMS_UPSTREAM_FAULTS_HPP

#include <oriolegrade/state/enum_names.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace oriolegrade::programs {

/// Longest wish for quiet; an hour, as the system takes it for.
inline constexpr double longest_quiet_s = 3600;

enum class truncation : std::uint8_t
{
    none,
    /// The body ends short of its Content-Length.
    content_length,
    /// The chunked body ends without its last chunk.
    chunked,
};

enum class health_report : std::uint8_t
{
    /// 200 when the faults leave most requests working, else 503.
    honest,
    always_ok,
    always_failing,
};

/// Current faults. The default is a healthy upstream.
struct upstream_faults
{
    /// Share of requests that run and are answered with 500.
    double fail_share = 0;
    /// Limits `fail_share` and `hang` to one method and path prefix; empty
    /// matches all.
    std::string fail_method;
    std::string fail_path_prefix;
    /// Multiplies the service time.
    double slow_factor = 1;
    /// Requests run and are not answered until the fault is cleared.
    bool hang = false;
    truncation truncate = truncation::none;
    /// Requests run, then the connection is closed without an answer.
    bool close_before_answer = false;
    /// New connections are reset, except those that ask for /control.
    bool reset_on_accept = false;
    /// Answers say `Oriolegrade-Draining: 1`.
    bool drain = false;
    /// Requests are shed, with the rest of this time in seconds as
    /// `Retry-After`, until it is over.
    double quiet_s = 0;
    bool shed_all = false;
    health_report health = health_report::honest;

    bool matches(std::string_view method, std::string_view path) const
    {
        return (fail_method.empty() || fail_method == method) &&
               path.starts_with(fail_path_prefix);
    }

    /// True when an honest health answer reports a failure.
    bool is_failing() const
    {
        const bool all = fail_method.empty() && fail_path_prefix.empty();
        return drain || shed_all || close_before_answer ||
               truncate != truncation::none ||
               (all && (hang || fail_share >= 0.5));
    }
};

/// Applies a JSON object to the faults: keys that are absent keep their
/// value, `"clear": true` resets all first. Nothing is applied on an error.
/// @return empty, or the error
std::string apply_faults(std::string_view text, upstream_faults& faults);

/// All keys as a JSON object.
std::string to_json(const upstream_faults& faults);

} // namespace oriolegrade::programs

namespace oriolegrade::state {

template <>
struct enum_names<programs::truncation>
{
    static constexpr std::array<std::string_view, 3> value{
        "none", "content_length", "chunked"};
};

template <>
struct enum_names<programs::health_report>
{
    static constexpr std::array<std::string_view, 3> value{
        "honest", "always_ok", "always_failing"};
};

} // namespace oriolegrade::state

#endif
