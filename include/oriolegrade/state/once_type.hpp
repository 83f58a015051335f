// Data types of at-most-once execution: request ids, stored answers, claims.

#ifndef ORIOLEGRADE_STATE_ONCE_TYPE_HPP
#define ORIOLEGRADE_STATE_ONCE_TYPE_HPP

#include <oriolegrade/state/digest.hpp>
#include <oriolegrade/state/enum_names.hpp>
#include <oriolegrade/state/identifier.hpp>
#include <oriolegrade/state/run_outcome.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace oriolegrade::state {

enum class request_id_kind : std::uint8_t
{
    token,
    claim,
};

template <>
struct enum_names<request_id_kind>
{
    static constexpr std::array<std::string_view, 2> value{"token", "claim"};
};

/// Id of a non-idempotent request within one incarnation: the sequence number
/// of a token (in `value.low`) or the nonce of a claim.
struct request_id
{
    request_id_kind kind = request_id_kind::token;
    identifier value;

    auto operator<=>(const request_id&) const = default;
};

struct request_id_hash
{
    std::size_t operator()(const request_id& id) const
    {
        return identifier_hash()(id.value) * 2 + index_of(id.kind);
    }
};

using header_list = std::vector<std::pair<std::string, std::string>>;

/// Complete answer of an upstream, stored to answer repeated requests.
struct stored_answer
{
    std::uint16_t status = 0;
    header_list headers;
    std::string body;

    bool operator==(const stored_answer&) const = default;

    std::size_t bytes() const
    {
        std::size_t sum = body.size();
        for (const auto& [name, value] : headers) {
            sum += name.size() + value.size();
        }
        return sum;
    }
};

using answer_ptr = std::shared_ptr<const stored_answer>;

/// Result of a run. `ran` without an answer means that the answer is not or no
/// longer stored.
struct run_result
{
    run_outcome outcome = run_outcome::unknown;
    answer_ptr answer;
};

enum class entry_state : std::uint8_t
{
    /// Nonce of a claim that has not started.
    reserved,
    running,
    done,
};

template <>
struct enum_names<entry_state>
{
    static constexpr std::array<std::string_view, 3> value{"reserved",
                                                           "running", "done"};
};

/// Entry of a used table in a hand-over.
struct used_record
{
    request_id id;
    identifier fingerprint;
    std::uint64_t expires_ms = 0;
    entry_state state = entry_state::done;
    run_result result;
};

struct used_table_state
{
    /// Entries of tokens that expire at or before this time may have been
    /// purged.
    std::uint64_t purged_through_ms = 0;
    std::vector<used_record> records;
};

using token_key = std::array<std::uint8_t, 32>;

/// State that a successor needs to verify the tokens of an incarnation.
struct authority_state
{
    identifier incarnation;
    token_key key{};
    /// Age of the incarnation at export.
    std::uint64_t elapsed_ms = 0;
};

/// Complete state handed over from a stopping incarnation to its successor.
struct handover_state
{
    /// Only this incarnation may import the state.
    identifier successor;
    authority_state authority;
    used_table_state used;
};

/// Claim of a key by an incarnation. The nonce identifies the claim.
struct claim
{
    digest256 key;
    identifier incarnation;
    identifier nonce;
    /// Remaining lifetime of the key when the record is written.
    std::uint64_t lifetime_ms = 0;

    bool operator==(const claim&) const = default;
};

/// Copies a winning claim before the log's retention removes it.
struct claim_renewal
{
    claim what;
    /// Offset of the checkpoint to which the renewal belongs.
    std::uint64_t as_of = 0;

    bool operator==(const claim_renewal&) const = default;
};

/// Frees a key whose lifetime has expired. Identifies the claim by its nonce,
/// so that a duplicate release cannot free a later claim.
struct claim_release
{
    digest256 key;
    identifier nonce;

    bool operator==(const claim_release&) const = default;
};

/// Declares that the claims active before `offset` are exactly those renewed
/// with `as_of` equal to `offset`, in records from `offset` up to this one.
struct claim_checkpoint
{
    std::uint64_t offset = 0;

    bool operator==(const claim_checkpoint&) const = default;
};

/// One record of a claims stream. Members are applied in declaration order.
struct claim_batch
{
    std::vector<claim_release> releases;
    std::vector<claim_renewal> renewals;
    std::vector<claim> claims;
    std::optional<claim_checkpoint> checkpoint;

    bool operator==(const claim_batch&) const = default;
};

} // namespace oriolegrade::state

#endif
