// Token MACs: HMAC-SHA-256 truncated to 128 bits.

#include <oriolegrade/coordination/token_authority.hpp>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <algorithm>
#include <cstdlib>

namespace oriolegrade::coordination {

namespace {

std::uint64_t to_ms(state::duration it)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(it).count());
}

} // namespace

state::authority_state generate_identity()
{
    state::authority_state out;
    out.incarnation = state::random_identifier();
    // A guessable key would let callers forge tokens.
    if (RAND_bytes(out.key.data(), static_cast<int>(out.key.size())) != 1) {
        std::abort();
    }
    return out;
}

token_authority::token_authority(const state::authority_state& identity,
                                 state::time_point now,
                                 state::duration lifetime)
    : incarnation_(identity.incarnation)
    , key_(identity.key)
    , start_(now - std::chrono::milliseconds(identity.elapsed_ms))
    , lifetime_ms_(to_ms(lifetime))
{}

state::token token_authority::mint(const state::identifier& binding,
                                   state::time_point now)
{
    state::token out;
    out.incarnation = incarnation_;
    out.sequence = next_sequence_.fetch_add(1, std::memory_order_relaxed);
    out.expires_ms = elapsed_ms(now) + lifetime_ms_;
    out.binding = binding;
    out.mac = mac_of(out);
    return out;
}

token_check token_authority::verify(const state::token& it,
                                    const state::identifier& binding,
                                    state::time_point now) const
{
    if (it.incarnation != incarnation_) {
        return token_check::other_incarnation;
    }
    const auto mac = mac_of(it);
    if (CRYPTO_memcmp(mac.data(), it.mac.data(), mac.size()) != 0) {
        return token_check::forged;
    }
    if (it.binding != binding) {
        return token_check::other_binding;
    }
    return it.expires_ms <= elapsed_ms(now) ? token_check::expired
                                            : token_check::valid;
}

std::uint64_t token_authority::elapsed_ms(state::time_point now) const
{
    return now <= start_ ? 0 : to_ms(now - start_);
}

state::authority_state
token_authority::export_state(state::time_point now) const
{
    return {incarnation_, key_, elapsed_ms(now)};
}

state::token_mac token_authority::mac_of(const state::token& it) const
{
    const auto bytes = state::signed_bytes(it);
    std::array<std::uint8_t, EVP_MAX_MD_SIZE> full{};
    unsigned size = 0;
    if (HMAC(EVP_sha256(), key_.data(), static_cast<int>(key_.size()),
             bytes.data(), bytes.size(), full.data(), &size) == nullptr) {
        std::abort();
    }
    state::token_mac out{};
    std::copy_n(full.begin(), out.size(), out.begin());
    return out;
}

} // namespace oriolegrade::coordination
