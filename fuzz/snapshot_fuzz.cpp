// Decoders of configuration messages must refuse or read any input. Snapshots
// are also tried with a right digest, so that their content is reached.

#include <oriolegrade/protocol/config_messages.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <string>

namespace {

using namespace oriolegrade;

/// Appends the digest fields (5 and 6, fixed64) to a body.
std::string with_digest(std::string_view body)
{
    const auto hash = XXH3_128bits(body.data(), body.size());
    std::string bytes(body);
    bytes += '\x29';
    bytes.append(reinterpret_cast<const char*>(&hash.high64), 8);
    bytes += '\x31';
    bytes.append(reinterpret_cast<const char*>(&hash.low64), 8);
    return bytes;
}

void check_snapshot(std::string_view bytes)
{
    auto snapshot = protocol::decode_snapshot(bytes);
    if (!snapshot || !snapshot.value().skipped.empty()) {
        return;
    }
    const auto again =
        protocol::decode_snapshot(protocol::encode_snapshot(snapshot.value()));
    if (!again ||
        again.value().entries.size() != snapshot.value().entries.size()) {
        std::abort();
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    check_snapshot(bytes);
    check_snapshot(with_digest(bytes));
    static_cast<void>(protocol::decode_feed_update(bytes));
    static_cast<void>(protocol::decode_feed_request(bytes));
    static_cast<void>(protocol::decode_record_batch(bytes));
    return 0;
}
