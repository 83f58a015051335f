// Issues and verifies the tokens of one incarnation.

#ifndef ORIOLEGRADE_COORDINATION_TOKEN_AUTHORITY_HPP
#define ORIOLEGRADE_COORDINATION_TOKEN_AUTHORITY_HPP

#include <oriolegrade/state/enum_names.hpp>
#include <oriolegrade/state/once_type.hpp>
#include <oriolegrade/state/time_type.hpp>
#include <oriolegrade/state/token.hpp>

#include <array>
#include <atomic>
#include <cstdint>

namespace oriolegrade::coordination {

enum class token_check : std::uint8_t
{
    valid,
    other_incarnation,
    forged,
    /// Issued to another caller or for another route.
    other_binding,
    expired,
};

/// Creates the identity of a new incarnation: random id and key, age zero.
state::authority_state generate_identity();

/// Thread-safe. Each incarnation has its own key, so a token is valid only in
/// the process that issued it or in the successor that imported the key.
class token_authority
{
public:
    /// Authority of a new or an imported incarnation. The clock of an imported
    /// one continues from the age at export, so the transfer time makes tokens
    /// expire later, never sooner.
    token_authority(const state::authority_state& identity,
                    state::time_point now, state::duration lifetime);

    state::identifier incarnation() const
    {
        return incarnation_;
    }

    state::token mint(const state::identifier& binding, state::time_point now);

    token_check verify(const state::token& it, const state::identifier& binding,
                       state::time_point now) const;

    /// Age of the incarnation. Tokens and the used table measure expiry on this
    /// clock.
    std::uint64_t elapsed_ms(state::time_point now) const;

    state::authority_state export_state(state::time_point now) const;

private:
    state::token_mac mac_of(const state::token& it) const;

    state::identifier incarnation_;
    state::token_key key_{};
    state::time_point start_;
    std::uint64_t lifetime_ms_;
    std::atomic<std::uint64_t> next_sequence_{1};
};

} // namespace oriolegrade::coordination

namespace oriolegrade::state {

template <>
struct enum_names<coordination::token_check>
{
    static constexpr std::array<std::string_view, 5> value{
        "valid", "other_incarnation", "forged", "other_binding", "expired"};
};

} // namespace oriolegrade::state

#endif
