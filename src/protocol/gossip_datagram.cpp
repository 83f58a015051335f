// Gossip messages as UDP datagrams.

#include <oriolegrade/protocol/gossip_datagram.hpp>

#include "message_check.hpp"

#include <gossip.pb.h>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <cstdlib>

namespace oriolegrade::protocol {

using state::finding_code;

namespace {

/// HMAC-SHA-256, cut to 128 bits.
constexpr std::size_t code_bytes = 16;

std::string authentication_code(std::string_view bytes, std::string_view key)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> hash{};
    unsigned int size = 0;
    const auto* done =
        HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
             reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
             hash.data(), &size);
    // An uncomputed code would let any datagram pass.
    if (!done || size < code_bytes) {
        std::abort();
    }
    return {reinterpret_cast<const char*>(hash.data()), code_bytes};
}

bool is_authentic(std::string_view bytes, std::string_view code,
                  std::string_view key)
{
    const auto expected = authentication_code(bytes, key);
    return code.size() == expected.size() &&
           CRYPTO_memcmp(code.data(), expected.data(), code.size()) == 0;
}

void to_wire(const state::member_info& from, wire::gossip_member& to)
{
    to.set_name(from.name);
    to.set_data_centre(from.data_centre);
    to.set_gossip(packed(from.gossip));
    to.set_peer(packed(from.peer));
    to.set_forward(packed(from.forward));
    to.set_incarnation(from.incarnation);
    to.set_state(static_cast<std::uint32_t>(index_of(from.state)));
    to.set_leaving(from.leaving);
    to.set_next_offset(from.next_offset);
}

state::member_info from_wire(const wire::gossip_member& from,
                             const message_check& check)
{
    state::member_info to;
    to.name = from.name();
    check.require_name(to.name, "name");
    to.data_centre = from.data_centre();
    check.require_name(to.data_centre, "data_centre");
    to.gossip = check.endpoint(from.gossip(), "gossip");
    to.peer = check.endpoint(from.peer(), "peer");
    to.forward = check.endpoint(from.forward(), "forward");
    to.incarnation = from.incarnation();
    check.require(to.incarnation <= max_incarnation, "incarnation",
                  "is out of range");
    to.state = check.enumerator<state::member_state>(from.state(), "state");
    to.leaving = from.leaving();
    to.next_offset = from.next_offset();
    return to;
}

void write_progress(const state::gossip_message& from, wire::gossip_message& to)
{
    for (const auto& it : from.progress) {
        to.add_progress_claim(it.claim);
        to.add_progress_lag(static_cast<std::int64_t>(from.sender.next_offset -
                                                      it.next_offset));
    }
}

/// Differences wrap around, so that every pair of offsets has one.
void read_progress(const wire::gossip_message& from, const message_check& check,
                   state::gossip_message& to)
{
    const auto count = from.progress_claim_size();
    if (!check.require(count == from.progress_lag_size() &&
                           static_cast<std::size_t>(count) <=
                               max_datagram_progress,
                       "progress_claim", "are too many or unpaired")) {
        return;
    }
    for (int n = 0; n < count; ++n) {
        const auto lag = static_cast<std::uint64_t>(from.progress_lag(n));
        to.progress.push_back(
            {from.progress_claim(n), to.sender.next_offset - lag});
    }
}

state::gossip_message read_message(const wire::gossip_message& from,
                                   state::findings& out)
{
    const message_check check("", out);
    state::gossip_message to;
    to.kind = check.enumerator<state::gossip_kind>(from.kind(), "kind");
    to.sequence = from.sequence();
    if (to.kind == state::gossip_kind::ping_request) {
        to.target = check.endpoint(from.target(), "target");
    }
    to.sender = from_wire(from.sender(), check.below("sender"));
    if (check.require(static_cast<std::size_t>(from.members_size()) <=
                          max_datagram_members,
                      "members", "are too many")) {
        for (const auto& it : from.members()) {
            to.members.push_back(
                from_wire(it, check.below("members").below(to.members.size())));
        }
    }
    read_progress(from, check, to);
    if (check.require(static_cast<std::size_t>(from.wanted_size()) <=
                          max_datagram_progress,
                      "wanted", "are too many")) {
        to.wanted.assign(from.wanted().begin(), from.wanted().end());
    }
    return to;
}

} // namespace

std::string encode_gossip(const state::gossip_message& message,
                          std::string_view fleet_key)
{
    wire::gossip_message to;
    to.set_kind(static_cast<std::uint32_t>(index_of(message.kind)));
    to.set_sequence(message.sequence);
    if (message.kind == state::gossip_kind::ping_request) {
        to.set_target(packed(message.target));
    }
    to_wire(message.sender, *to.mutable_sender());
    for (const auto& it : message.members) {
        to_wire(it, *to.add_members());
    }
    write_progress(message, to);
    to.mutable_wanted()->Add(message.wanted.begin(), message.wanted.end());
    auto datagram = to.SerializeAsString();
    return datagram + authentication_code(datagram, fleet_key);
}

state::result<state::gossip_message, state::findings>
decode_gossip(std::string_view datagram, std::string_view fleet_key)
{
    state::findings out;
    if (datagram.size() < code_bytes || datagram.size() > max_datagram_bytes) {
        report(out, finding_code::out_of_range, "", "has an impossible size");
        return out;
    }
    const auto bytes = datagram.substr(0, datagram.size() - code_bytes);
    if (!is_authentic(bytes, datagram.substr(bytes.size()), fleet_key)) {
        report(out, finding_code::conflict, "", "is not from this fleet");
        return out;
    }
    wire::gossip_message from;
    if (!parse_message(from, bytes, max_datagram_bytes, out)) {
        return out;
    }
    auto message = read_message(from, out);
    if (!out.empty()) {
        return out;
    }
    return message;
}

} // namespace oriolegrade::protocol
