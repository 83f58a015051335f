// Evidence and verdicts as UDP datagrams: type, known sequence, message and
// code, without separators.

#include <oriolegrade/protocol/health_datagram.hpp>

#include <oriolegrade/protocol/health_messages.hpp>

#include <boost/endian/conversion.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <cstdlib>

namespace oriolegrade::protocol {

namespace {

using state::finding_code;

/// HMAC-SHA-256, cut to 128 bits.
constexpr std::size_t code_bytes = 16;
constexpr std::size_t head_bytes = 1 + sizeof(std::uint64_t);
/// Keeps a code of another kind of datagram from passing here.
constexpr std::string_view purpose = "oriolegrade health";

std::string authentication_code(std::string_view bytes, std::string_view key)
{
    std::string text(purpose);
    text += bytes;
    std::array<unsigned char, EVP_MAX_MD_SIZE> hash{};
    unsigned int size = 0;
    const auto* done =
        HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
             reinterpret_cast<const unsigned char*>(text.data()), text.size(),
             hash.data(), &size);
    // An uncomputed code would let any datagram pass.
    if (done == nullptr || size < code_bytes) {
        std::abort();
    }
    return {reinterpret_cast<const char*>(hash.data()), code_bytes};
}

std::string seal(health_datagram_type type, std::uint64_t sequence,
                 const std::string& message, std::string_view key)
{
    std::string bytes(head_bytes, '\0');
    bytes[0] = static_cast<char>(state::index_of(type));
    boost::endian::store_big_u64(
        reinterpret_cast<unsigned char*>(bytes.data() + 1), sequence);
    bytes += message;
    bytes += authentication_code(bytes, key);
    return bytes.size() <= max_health_datagram_bytes ? bytes : std::string();
}

state::findings refused(finding_code code, const char* why)
{
    state::findings found;
    found.add(code, "", why);
    return found;
}

} // namespace

std::string encode_datagram(const evidence_datagram& evidence,
                            std::string_view fleet_key)
{
    return seal(health_datagram_type::evidence, evidence.known_sequence,
                encode(evidence.batch), fleet_key);
}

std::string encode_datagram(const state::verdict_set& set,
                            std::string_view fleet_key)
{
    return seal(health_datagram_type::verdicts, 0, encode(set), fleet_key);
}

state::result<health_datagram, state::findings>
decode_health_datagram(std::string_view datagram, std::string_view fleet_key)
{
    if (datagram.size() < head_bytes + code_bytes ||
        datagram.size() > max_health_datagram_bytes) {
        return refused(finding_code::too_large, "not the size of a datagram");
    }
    const auto bytes = datagram.substr(0, datagram.size() - code_bytes);
    const auto code = datagram.substr(bytes.size());
    const auto expected = authentication_code(bytes, fleet_key);
    if (CRYPTO_memcmp(code.data(), expected.data(), code_bytes) != 0) {
        return refused(finding_code::syntax, "sent with another key");
    }
    const auto message = bytes.substr(head_bytes);
    if (bytes[0] ==
        static_cast<char>(state::index_of(health_datagram_type::verdicts))) {
        auto set = decode_verdict_set(message);
        if (!set) {
            return set.error();
        }
        return health_datagram(std::move(set.value()));
    }
    if (bytes[0] !=
        static_cast<char>(state::index_of(health_datagram_type::evidence))) {
        return refused(finding_code::unknown_name, "no such datagram");
    }
    auto batch = decode_evidence_batch(message);
    if (!batch) {
        return batch.error();
    }
    const auto sequence = boost::endian::load_big_u64(
        reinterpret_cast<const unsigned char*>(bytes.data() + 1));
    return health_datagram(
        evidence_datagram{std::move(batch.value()), sequence});
}

} // namespace oriolegrade::protocol
