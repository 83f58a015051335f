// Protobuf form of the frames between entries and dispatchers. Decoding is
// bounded and total.

#ifndef ORIOLEGRADE_PROTOCOL_DISPATCH_MESSAGES_HPP
#define ORIOLEGRADE_PROTOCOL_DISPATCH_MESSAGES_HPP

#include <oriolegrade/state/dispatch_type.hpp>
#include <oriolegrade/state/finding.hpp>
#include <oriolegrade/state/host_member.hpp>
#include <oriolegrade/state/result.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace oriolegrade::protocol {

inline constexpr std::size_t max_dispatch_frame_bytes = std::size_t{64} * 1024;
inline constexpr std::size_t max_fleet_view_bytes = std::size_t{4} << 20U;

/// Requests in flight at one upstream that were not placed over this stream.
struct adopted_work
{
    std::string service;
    std::string upstream;
    std::uint32_t count = 0;
};

struct entry_hello
{
    std::string host;
    std::string data_centre;
    std::vector<adopted_work> in_flight;
};

/// A request or report with its number, unique on its stream.
template <class What>
struct numbered
{
    std::uint64_t number = 0;
    What what;
};

/// Says that a request waits in line.
struct in_line
{};

/// The sender's rules have this version. A host that has older ones asks for
/// them.
struct rules_notice
{
    std::uint64_t version = 0;
    /// Time since the sender read that there is no newer one, in whole
    /// milliseconds on the wire; empty when it did not.
    std::optional<state::duration> confirmed_age = {};
};

using entry_frame = std::variant<entry_hello, numbered<state::place_request>,
                                 numbered<state::send_report>, rules_notice>;
using dispatcher_frame =
    std::variant<numbered<state::place>, numbered<state::place_refusal>,
                 numbered<in_line>, rules_notice>;

/// What a host tells another one that cannot read the store.
struct fleet_view
{
    /// Empty when the asking host has this version.
    std::string rules_document;
    std::vector<state::host_member> hosts;
    /// The document as it travels; packed by the encoder where it is empty.
    std::string packed_rules = {};
    /// Offset at which the history behind the document begins; empty when that
    /// is not known.
    std::optional<std::uint64_t> next_offset = {};
};

std::string encode_entry_frame(const entry_frame& frame);
/// The host and data centre of place requests are those of the hello.
state::result<entry_frame, state::findings>
decode_entry_frame(std::string_view bytes);

std::string encode_dispatcher_frame(const dispatcher_frame& frame);
state::result<dispatcher_frame, state::findings>
decode_dispatcher_frame(std::string_view bytes);

std::string encode_fleet_view(const fleet_view& view);
state::result<fleet_view, state::findings>
decode_fleet_view(std::string_view bytes);

} // namespace oriolegrade::protocol

#endif
