// Replies that the system makes itself, with their status, outcome and text.

#ifndef ORIOLEGRADE_STATE_REPLY_REASON_HPP
#define ORIOLEGRADE_STATE_REPLY_REASON_HPP

#include <oriolegrade/state/enum_names.hpp>
#include <oriolegrade/state/run_outcome.hpp>

#include <array>
#include <cstdint>
#include <string_view>

namespace oriolegrade::state {

enum class reply_reason : std::uint8_t
{
    bad_request,
    no_route,
    no_service,
    too_large,
    headers_too_large,
    limited,
    token_needed,
    no_upstream,
    shed,
    not_ready,
    connection_lost,
    deadline_unknown,
    deadline_not_run,
};

template <>
struct enum_names<reply_reason>
{
    static constexpr std::array<std::string_view, 13> value{
        "bad_request",      "no_route",          "no_service",
        "too_large",        "headers_too_large", "limited",
        "token_needed",     "no_upstream",       "shed",
        "not_ready",        "connection_lost",   "deadline_unknown",
        "deadline_not_run",
    };
};

struct reply_row
{
    std::uint16_t status;
    run_outcome outcome;
    std::string_view text;
};

/// Indexed by reply_reason.
inline constexpr std::array<reply_row, enum_size<reply_reason>> reply_table{{
    {400, run_outcome::not_run, "The request is malformed."},
    {404, run_outcome::not_run, "No route matches the request."},
    {404, run_outcome::not_run, "The service has no such schema version."},
    {413, run_outcome::not_run, "The request body is too large."},
    {431, run_outcome::not_run, "The request headers are too large."},
    {429, run_outcome::not_run, "A request limit was reached."},
    {428, run_outcome::not_run, "The request needs a token or a key."},
    {503, run_outcome::not_run, "No upstream is available."},
    {503, run_outcome::not_run, "The service is overloaded."},
    {503, run_outcome::not_run, "The host has no configuration yet."},
    {502, run_outcome::unknown, "The connection to the upstream was lost."},
    {504, run_outcome::unknown, "The deadline passed during the request."},
    {504, run_outcome::not_run, "The deadline passed before the request."},
}};

constexpr const reply_row& row_of(reply_reason reason)
{
    return reply_table[index_of(reason)];
}

} // namespace oriolegrade::state

#endif
