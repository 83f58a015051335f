// Checked conversion of single protobuf fields, shared by the decoders of
// once_messages.

#ifndef ORIOLEGRADE_PROTOCOL_ONCE_FIELDS_HPP
#define ORIOLEGRADE_PROTOCOL_ONCE_FIELDS_HPP

#include "once.pb.h"

#include <oriolegrade/protocol/once_messages.hpp>
#include <oriolegrade/state/enum_names.hpp>

#include <cstring>
#include <limits>

namespace oriolegrade::protocol::detail {

inline std::string bytes_of(const state::identifier& id)
{
    std::string out;
    for (const auto half : {id.high, id.low}) {
        for (unsigned shift = 64; shift > 0; shift -= 8) {
            out += static_cast<char>(half >> (shift - 8));
        }
    }
    return out;
}

template <std::size_t Size>
std::string bytes_of(const std::array<std::uint8_t, Size>& from)
{
    return {from.begin(), from.end()};
}

/// Converts fields and keeps the first finding. After a finding the values
/// are meaningless and the caller returns the finding.
class field_reader
{
public:
    bool good() const
    {
        return !first_;
    }

    state::finding error() const
    {
        return *first_;
    }

    void fail(state::finding_code code, std::string place, std::string message)
    {
        if (!first_) {
            first_ = {code, std::move(place), std::move(message)};
        }
    }

    /// Message of at most `most` bytes that protobuf accepts.
    template <class Message>
    void parse(Message& out, std::string_view bytes, std::size_t most)
    {
        if (bytes.size() > most) {
            fail(state::finding_code::too_large, "",
                 "message exceeds " + std::to_string(most) + " bytes");
        } else if (!out.ParseFromArray(bytes.data(),
                                       static_cast<int>(bytes.size()))) {
            fail(state::finding_code::syntax, "", "not a protobuf message");
        }
    }

    state::identifier id(const std::string& from, const std::string& place)
    {
        state::identifier out;
        if (from.size() != 16) {
            fail(state::finding_code::out_of_range, place, "needs 16 bytes");
            return out;
        }
        for (std::size_t i = 0; i < 16; ++i) {
            auto& half = i < 8 ? out.high : out.low;
            half = (half << 8U) | static_cast<std::uint8_t>(from[i]);
        }
        return out;
    }

    state::identifier optional_id(const std::string& from,
                                  const std::string& place)
    {
        return from.empty() ? state::identifier{} : id(from, place);
    }

    std::array<std::uint8_t, 32> bytes32(const std::string& from,
                                         const std::string& place)
    {
        std::array<std::uint8_t, 32> out{};
        if (from.size() != out.size()) {
            fail(state::finding_code::out_of_range, place, "needs 32 bytes");
        } else {
            std::memcpy(out.data(), from.data(), out.size());
        }
        return out;
    }

    std::uint64_t at_most(std::uint64_t value, std::uint64_t most,
                          const std::string& place)
    {
        if (value > most) {
            fail(state::finding_code::out_of_range, place,
                 "exceeds " + std::to_string(most));
        }
        return value;
    }

    template <class Enum>
    Enum enumerator(std::uint32_t value, const std::string& place)
    {
        if (value >= state::enum_size<Enum>) {
            fail(state::finding_code::unknown_name, place,
                 "no enumerator " + std::to_string(value));
            return Enum{};
        }
        return static_cast<Enum>(value);
    }

    std::uint16_t status(std::uint32_t value, const std::string& place)
    {
        if (value < 100 || value > 599) {
            fail(state::finding_code::out_of_range, place,
                 "not an HTTP status");
        }
        return static_cast<std::uint16_t>(value);
    }

    template <class Lines>
    state::header_list headers(const Lines& from, const std::string& place)
    {
        state::header_list out;
        at_most(static_cast<std::uint64_t>(from.size()), once_limits::headers,
                place);
        for (const auto& it : from) {
            if (!good()) {
                break;
            }
            if (it.name().empty() || has_control(it.name()) ||
                has_control(it.value())) {
                // A line break would let a header value forge a header.
                fail(state::finding_code::syntax,
                     place + "/" + std::to_string(out.size()),
                     "empty name or control character");
            }
            out.emplace_back(it.name(), it.value());
        }
        return out;
    }

    state::claim claim(const wire::Claim& from, const std::string& place)
    {
        state::claim out;
        out.key.bytes = bytes32(from.key(), place + "/key");
        out.incarnation = id(from.incarnation(), place + "/incarnation");
        out.nonce = id(from.nonce(), place + "/nonce");
        out.lifetime_ms = at_most(from.lifetime_ms(), once_limits::duration_ms,
                                  place + "/lifetime_ms");
        return out;
    }

    /// Converts each element; stops at the first finding.
    template <class Value, class Field, class Convert>
    std::vector<Value> list(const Field& from, std::size_t most,
                            const std::string& place, Convert convert)
    {
        std::vector<Value> out;
        at_most(static_cast<std::uint64_t>(from.size()), most, place);
        if (!good()) {
            return out;
        }
        out.reserve(static_cast<std::size_t>(from.size()));
        for (const auto& it : from) {
            out.push_back(
                convert(it, place + "/" + std::to_string(out.size())));
            if (!good()) {
                break;
            }
        }
        return out;
    }

    static bool has_control(std::string_view text)
    {
        for (const char c : text) {
            const auto byte = static_cast<unsigned char>(c);
            if ((byte < 0x20 && c != '\t') || byte == 0x7f) {
                return true;
            }
        }
        return false;
    }

private:
    std::optional<state::finding> first_;
};

} // namespace oriolegrade::protocol::detail

#endif
