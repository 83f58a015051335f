// Checks of decoded protobuf messages, with the place of each error.

#ifndef ORIOLEGRADE_SRC_PROTOCOL_MESSAGE_CHECK_HPP
#define ORIOLEGRADE_SRC_PROTOCOL_MESSAGE_CHECK_HPP

#include <oriolegrade/protocol/json_document.hpp>
#include <oriolegrade/state/endpoint.hpp>
#include <oriolegrade/state/finding.hpp>
#include <oriolegrade/state/time_type.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>

namespace oriolegrade::protocol {

/// Place in a message together with the findings of the whole message.
class message_check
{
public:
    message_check(std::string place, state::findings& out)
        : place_(std::move(place))
        , out_(out)
    {}

    const std::string& place() const
    {
        return place_;
    }

    message_check below(std::string_view field) const
    {
        return {member_place(place_, field), out_};
    }
    message_check below(std::size_t index) const
    {
        return {element_place(place_, index), out_};
    }

    /// Reports `message` unless `condition` holds. Returns `condition`.
    bool require(bool condition, std::string_view field,
                 std::string_view message) const
    {
        if (!condition) {
            report(out_, state::finding_code::out_of_range,
                   field.empty() ? place_ : member_place(place_, field),
                   std::string(message));
        }
        return condition;
    }

    bool require_name(std::string_view text, std::string_view field) const
    {
        return require(is_name(text), field, "is no valid name");
    }

    /// Enumerator from its index in the table of names.
    template <class Enum>
    Enum enumerator(std::uint64_t index, std::string_view field) const
    {
        if (!require(index < state::enum_size<Enum>, field,
                     "is no known enumerator")) {
            return Enum{};
        }
        return static_cast<Enum>(index);
    }

    state::endpoint endpoint(std::uint64_t packed, std::string_view field) const
    {
        constexpr unsigned port_bits = 16;
        constexpr unsigned used_bits = 48;
        const state::endpoint ep{
            static_cast<std::uint32_t>(packed >> port_bits),
            static_cast<std::uint16_t>(packed)};
        require((packed >> used_bits) == 0 && ep.port != 0 && ep.address != 0,
                field, "is no address of a host");
        return ep;
    }

private:
    std::string place_;
    state::findings& out_;
};

/// A time as a field of 32 bits in units of `Unit`; out of range becomes the
/// nearest value.
template <class Unit>
std::uint32_t wire_time(state::duration d)
{
    const auto n = std::chrono::duration_cast<Unit>(d).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
        n, 0, std::numeric_limits<std::uint32_t>::max()));
}

/// Inverse of message_check::endpoint.
inline std::uint64_t packed(const state::endpoint& ep)
{
    constexpr unsigned port_bits = 16;
    return (std::uint64_t{ep.address} << port_bits) | ep.port;
}

/// Parses a message of at most `max_bytes`; reports what is wrong otherwise.
template <class Message>
bool parse_message(Message& message, std::string_view bytes,
                   std::size_t max_bytes, state::findings& out)
{
    static_assert(sizeof(int) == 4);
    if (bytes.size() > max_bytes ||
        bytes.size() > std::size_t(std::numeric_limits<int>::max())) {
        report(out, state::finding_code::too_large, "",
               "longer than " + std::to_string(max_bytes) + " bytes");
        return false;
    }
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        report(out, state::finding_code::syntax, "",
               "is no protobuf message of this type");
        return false;
    }
    return true;
}

} // namespace oriolegrade::protocol

#endif
