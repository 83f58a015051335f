// SHA-256 over length-prefixed fields.

#include <oriolegrade/state/digest.hpp>

#include <openssl/evp.h>

#include <cstdlib>
#include <memory>

namespace oriolegrade::state {

namespace {

struct context_deleter
{
    void operator()(EVP_MD_CTX* it) const
    {
        EVP_MD_CTX_free(it);
    }
};

} // namespace

digest256 digest_of(std::initializer_list<std::string_view> fields)
{
    const std::unique_ptr<EVP_MD_CTX, context_deleter> context(
        EVP_MD_CTX_new());
    digest256 out;
    bool succeeded =
        context && EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr) == 1;
    for (const auto field : fields) {
        // Hosts compare digests, so the byte order is fixed.
        std::array<std::uint8_t, 8> size{};
        for (std::size_t i = 0; i < size.size(); ++i) {
            size[i] = static_cast<std::uint8_t>(field.size() >> (8 * i));
        }
        succeeded =
            succeeded &&
            EVP_DigestUpdate(context.get(), size.data(), size.size()) == 1 &&
            EVP_DigestUpdate(context.get(), field.data(), field.size()) == 1;
    }
    succeeded = succeeded && EVP_DigestFinal_ex(context.get(), out.bytes.data(),
                                                nullptr) == 1;
    // With a wrong digest two requests could be taken for one, so abort.
    if (!succeeded) {
        std::abort();
    }
    return out;
}

identifier short_digest_of(std::initializer_list<std::string_view> fields)
{
    const auto full = digest_of(fields);
    identifier out;
    std::memcpy(&out.high, full.bytes.data(), sizeof out.high);
    std::memcpy(&out.low, full.bytes.data() + sizeof out.high, sizeof out.low);
    return out;
}

} // namespace oriolegrade::state
