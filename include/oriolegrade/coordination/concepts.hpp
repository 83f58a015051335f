// Concepts of the external interfaces that decisions use. Production types and
// hand-written fakes both model them.

#ifndef ORIOLEGRADE_COORDINATION_CONCEPTS_HPP
#define ORIOLEGRADE_COORDINATION_CONCEPTS_HPP

#include <oriolegrade/state/log_type.hpp>
#include <oriolegrade/state/time_type.hpp>

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace oriolegrade::coordination {

template <class Clock>
concept clock = requires(Clock& c)
{
    {
        c.now()
        } -> std::same_as<state::time_point>;
};

/// Uniform 64-bit random numbers.
template <class Source>
concept random_source = requires(Source& s)
{
    {
        s.next()
        } -> std::same_as<std::uint64_t>;
};

/// The platform's append-only log. Calls block the calling fiber.
template <class Client>
concept log_client = requires(Client& c, std::string_view stream,
                              std::string_view bytes, std::uint64_t from,
                              std::size_t max)
{
    {
        c.append(stream, bytes)
        } -> std::same_as<state::append_result>;
    {
        c.read(stream, from, max)
        } -> std::same_as<state::read_result>;
};

/// The platform's list of live and leaving hosts.
template <class Client>
concept host_list_client = requires(Client& c)
{
    {
        c.hosts()
        } -> std::same_as<state::host_list_result>;
};

} // namespace oriolegrade::coordination

#endif
