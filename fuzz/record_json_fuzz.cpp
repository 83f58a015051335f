// Decoders of records must refuse or read any input, and what they read must
// survive encoding.

#include <oriolegrade/protocol/record_json.hpp>

#include <cstdint>
#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    using namespace oriolegrade;
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    const auto rec = protocol::decode_record(text);
    if (rec) {
        const auto again =
            protocol::decode_record(protocol::encode_record(rec.value()));
        if (!again || !(again.value() == rec.value())) {
            std::abort();
        }
    } else if (rec.error().empty()) {
        std::abort();
    }
    static_cast<void>(protocol::decode_record_file(text));
    return 0;
}
