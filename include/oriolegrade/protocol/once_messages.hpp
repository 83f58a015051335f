// Bytes of the messages of the at-most-once mechanisms. Decoders are bounded
// and total: any bytes give a value or a finding with its place.

#ifndef ORIOLEGRADE_PROTOCOL_ONCE_MESSAGES_HPP
#define ORIOLEGRADE_PROTOCOL_ONCE_MESSAGES_HPP

#include <oriolegrade/coordination/claim_writer.hpp>
#include <oriolegrade/state/finding.hpp>
#include <oriolegrade/state/once_type.hpp>
#include <oriolegrade/state/reply_reason.hpp>
#include <oriolegrade/state/result.hpp>
#include <oriolegrade/state/token.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oriolegrade::protocol {

template <class Value>
using decoded = state::result<Value, state::finding>;

struct once_limits
{
    static constexpr std::size_t claims_per_batch = 4096;
    static constexpr std::size_t claim_message_bytes = 1U << 20U;
    static constexpr std::size_t headers = 256;
    static constexpr std::size_t header_block_bytes = 128U << 10U;
    static constexpr std::size_t handover_bytes = 128U << 20U;
    static constexpr std::size_t handover_records = 1U << 20U;
    /// Times and lifetimes in messages; a larger one would overflow clocks.
    static constexpr std::uint64_t duration_ms = 1ULL << 42U;
};

/// POST /claims.
struct claim_request
{
    std::uint32_t partition = 0;
    std::vector<state::claim> claims;

    bool operator==(const claim_request&) const = default;
};

/// Answers in the order of the claims.
struct claim_reply
{
    std::vector<coordination::claim_answer> answers;
};

/// Header block of POST /forward.
struct forward_request
{
    std::string method;
    std::string target;
    state::header_list headers;
    std::string caller;
    std::string route;
    std::uint32_t schema_version = 0;
    std::uint64_t deadline_ms = 0;
    /// Exactly one of token and claim.
    std::optional<state::token> token;
    std::optional<state::claim> claim;
    state::identifier fingerprint;

    bool operator==(const forward_request&) const = default;
};

/// Header block of the answer to POST /forward.
struct forward_answer
{
    std::uint16_t status = 0;
    state::header_list headers;
    state::run_outcome outcome = state::run_outcome::unknown;
    /// Set when the owner answers itself and not for an upstream.
    std::optional<state::reply_reason> reason;
    /// Where the requests of the incarnation went, or none.
    state::identifier successor;

    bool operator==(const forward_answer&) const = default;
};

std::string encode(const state::claim_batch& it);
std::string encode(const claim_request& it);
std::string encode(const claim_reply& it);
std::string encode(const forward_request& it);
std::string encode(const forward_answer& it);
std::string encode(const state::handover_state& it);

decoded<state::claim_batch> decode_claim_batch(std::string_view bytes);
decoded<claim_request> decode_claim_request(std::string_view bytes);
decoded<claim_reply> decode_claim_reply(std::string_view bytes);
decoded<forward_request> decode_forward_request(std::string_view bytes);
decoded<forward_answer> decode_forward_answer(std::string_view bytes);
decoded<state::handover_state> decode_handover(std::string_view bytes);

/// Models coordination::claim_codec.
struct claim_batch_codec
{
    std::string encode(const state::claim_batch& it) const
    {
        return protocol::encode(it);
    }

    std::optional<state::claim_batch> decode(std::string_view bytes) const
    {
        auto out = decode_claim_batch(bytes);
        if (!out) {
            return std::nullopt;
        }
        return std::move(out).value();
    }
};

} // namespace oriolegrade::protocol

#endif
