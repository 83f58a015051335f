// Any bytes decode to findings or to a value that survives a round trip.

#include <oriolegrade/protocol/health_messages.hpp>

#include <cstdint>
#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    using namespace oriolegrade;
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    if (const auto batch = protocol::decode_evidence_batch(bytes)) {
        const auto again =
            protocol::decode_evidence_batch(protocol::encode(batch.value()));
        if (!again || !(again.value() == batch.value())) {
            std::abort();
        }
    }
    if (const auto set = protocol::decode_verdict_set(bytes)) {
        const auto again =
            protocol::decode_verdict_set(protocol::encode(set.value()));
        if (!again || !(again.value() == set.value())) {
            std::abort();
        }
    }
    return 0;
}
