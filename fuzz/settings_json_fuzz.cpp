// Decoders of settings must refuse or read any input.

#include <oriolegrade/protocol/settings.hpp>

#include <cstdint>
#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    using namespace oriolegrade;
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    const auto entry = protocol::decode_entry_settings(text);
    const auto agent = protocol::decode_agent_settings(text);
    const bool silent =
        (!entry && entry.error().empty()) || (!agent && agent.error().empty());
    if (silent) {
        std::abort();
    }
    return 0;
}
